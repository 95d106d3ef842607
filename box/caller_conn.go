package box

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstRequestDelay is how long a stopping box waits for the first request on a connection.
	firstRequestDelay = time.Second
	// maxWriteStall is how long a caller may leave its answer unread before it counts as gone.
	maxWriteStall = 30 * time.Second
	// maxLingerTime and maxLingerBytes bound what is read of a caller that sends after its answer.
	maxLingerTime  = 2 * time.Second
	maxLingerBytes = 16 << 20
	// maxHeadLines is the number of lines of the longest head of a request. A decoded header takes
	// far more memory than its bytes, which the HTTP server limits.
	maxHeadLines = 256
)

// errHeadTooLong reports a head of more than maxHeadLines lines, which the HTTP server answers with 400.
var errHeadTooLong = errors.Errorf("the head of a request has more than %d lines", maxHeadLines)

// callerConn is a caller's connection. It tracks whether bytes of a request were read that
// has no answer yet. The HTTP server's own state doesn't tell: it counts a connection as idle
// until the head of a request is parsed. Only the goroutine that reads a connection closes it.
type callerConn struct {
	*net.TCPConn
	conns *callerConns

	mu         sync.Mutex
	idle       bool      // nothing was read since the connection was opened or the last answer ended
	since      time.Time // start of the current idle time or request
	isAnswered bool      // part of an answer to the current request was written
	callerLeft bool      // the caller closed or reset the connection
	readAhead  bool      // the first byte of the next request was read
	isServed   bool      // the head of the current request was read to its end
	headLines  int       // lines that were read of it, and perhaps of what follows it
	isClosed   bool
	isNew      bool // no answer was written yet
	isClosing  bool // the idle time is to end with the connection

	writeLimitSet time.Time // when the deadline of writes was last set
}

// Read reads from the connection.
func (c *callerConn) Read(into []byte) (int, error) {
	for {
		if c.isHeadTooLong() {
			return 0, errHeadTooLong
		}
		n, err := c.TCPConn.Read(into)
		c.countHeadLines(into[:n])
		if !c.handleRead(n, len(into), err) {
			return n, err
		}
	}
}

// isHeadTooLong reports whether more lines were read of a head that hasn't ended than it may have.
func (c *callerConn) isHeadTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isServed && c.headLines > maxHeadLines
}

// countHeadLines counts the lines in what was read of a head.
func (c *callerConn) countHeadLines(read []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isServed {
		c.headLines += bytes.Count(read, []byte{'\n'})
	}
}

// handleRead records the result of a read into a buffer, and reports whether to read again.
func (c *callerConn) handleRead(n, buffer int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasIdle, wasClosing := c.idle, c.isClosing
	if n > 0 {
		c.recordRead(n, buffer)
	}
	if err != nil && !isTimeout(err) && !errors.Is(err, net.ErrClosed) {
		c.callerLeft = true
	}
	// A process that got no processor time sees the end of the idle time before the request that came
	// in time.
	isLate := wasIdle && n == 0 && isTimeout(err) && c.hasUnread()
	if isLate || (wasIdle && wasClosing && n > 0) {
		c.isClosing = false
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}
	return isLate
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *callerConn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	unread := 0
	err = raw.Control(func(fd uintptr) {
		unread, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

// SetReadDeadline sets the deadline of reads, unless the connection is closing.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing && c.idle {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// closeIdle ends the read that waits for a request, so that the connection is closed. A connection
// on which a byte of a request was read or has arrived stays open.
func (c *callerConn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.isClosing || (c.isNew && now.Sub(c.since) < firstRequestDelay) {
		return
	}
	c.isClosing = true
	_ = c.TCPConn.SetReadDeadline(now)
}

// recordRead records that n bytes were read into a buffer. While a request is served, the HTTP
// server reads a single byte to detect whether the caller leaves.
func (c *callerConn) recordRead(n, buffer int) {
	if c.idle {
		c.idle = false
		c.isAnswered = false
		c.isServed = false
		c.since = time.Now()
	} else if n == 1 && buffer == 1 {
		c.readAhead = true
	}
}

// Write writes to the connection. It fails if the caller has not read for maxWriteStall.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.isAnswered = true
	if now := time.Now(); now.After(c.writeLimitSet.Add(time.Second)) {
		c.writeLimitSet = now
		_ = c.SetWriteDeadline(now.Add(maxWriteStall))
	}
	c.mu.Unlock()
	return c.TCPConn.Write(p)
}

// SetWriteDeadline sets the deadline of writes.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return nil // net/http clears it after each answer
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// becomeIdle records the end of an answer.
func (c *callerConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = !c.readAhead
	c.readAhead = false
	c.isNew = false
	c.isAnswered = false
	c.isServed = false
	c.headLines = 0
	c.since = time.Now()
}

// serve records that the head of a request was read to its end.
func (c *callerConn) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isServed = true
}

// Close closes the connection. If the caller still sends, it does so in the background once the
// caller has closed its side: a socket that is closed with unread bytes is reset, and the end of
// the answer may be lost with it.
func (c *callerConn) Close() error {
	c.mu.Lock()
	wasClosed, end, took := c.isClosed, c.end(), time.Since(c.since)
	c.isClosed = true
	c.mu.Unlock()
	switch {
	case wasClosed:
		return net.ErrClosed
	case end == endedAnswered && c.hasUnread():
		go c.closeAfterCaller(end, took)
		return nil
	}
	c.conns.remove(c, end, took)
	return c.TCPConn.Close()
}

// closeAfterCaller reads and drops what the caller sends until it closes its side, up to
// maxLingerBytes and maxLingerTime, and closes the connection.
func (c *callerConn) closeAfterCaller(end connEnd, took time.Duration) {
	_ = c.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(maxLingerTime))
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	_ = c.TCPConn.Close()
	c.conns.remove(c, end, took)
}

// connEnd is the state in which a caller's connection was closed.
type connEnd string

// The states.
const (
	endedIdle       connEnd = "idle"        // no byte of a request was read
	endedAnswered   connEnd = "answered"    // the answer to the last request was written, at least in part
	endedByCaller   connEnd = "caller left" // the caller closed or reset it
	endedIncomplete connEnd = "incomplete"  // part of the head of a request was read
	endedUnanswered connEnd = "unanswered"  // a request was read, its body perhaps in part, and no byte of an answer written
)

// end returns the state in which the connection would be closed now.
func (c *callerConn) end() connEnd {
	switch {
	case c.callerLeft:
		return endedByCaller
	case c.idle:
		return endedIdle
	case c.isAnswered:
		return endedAnswered
	case !c.isServed:
		return endedIncomplete
	}
	return endedUnanswered
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
