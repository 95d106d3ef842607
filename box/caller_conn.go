package box

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// callerConn is a caller's connection. It tracks whether bytes of a request were read that
// has no answer yet. The HTTP server's own state doesn't tell: it counts a connection as idle
// until the head of a request is parsed.
type callerConn struct {
	*net.TCPConn
	conns *callerConns

	mu         sync.Mutex
	resting    bool      // nothing was read since the connection was opened or the last answer ended
	since      time.Time // start of the current rest or request
	isAnswered bool      // part of an answer to the current request was written
	callerLeft bool      // the caller closed or reset the connection
	readAhead  bool      // the first byte of the next request was read
	isClosed   bool
}

// Read reads from the connection.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.TCPConn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.recordRead(n, len(into))
	}
	if err != nil && !isTimeout(err) && !errors.Is(err, net.ErrClosed) {
		c.callerLeft = true
	}
	return n, err
}

// recordRead records that n bytes were read into a buffer. While a request is served, the HTTP
// server reads a single byte to detect whether the caller leaves.
func (c *callerConn) recordRead(n, buffer int) {
	if c.resting {
		c.resting = false
		c.isAnswered = false
		c.since = time.Now()
	} else if n == 1 && buffer == 1 {
		c.readAhead = true
	}
}

// Write writes to the connection.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.isAnswered = true
	c.mu.Unlock()
	return c.TCPConn.Write(p)
}

// rest records the end of an answer.
func (c *callerConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = !c.readAhead
	c.readAhead = false
	c.isAnswered = false
	c.since = time.Now()
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.mu.Lock()
	wasClosed, end := c.isClosed, c.end()
	c.isClosed = true
	took := time.Since(c.since)
	c.mu.Unlock()
	if !wasClosed {
		c.conns.remove(c, end, took)
	}
	return c.TCPConn.Close()
}

// connEnd is the state in which a caller's connection was closed.
type connEnd string

// The states.
const (
	endedResting    connEnd = "resting"     // no byte of a request was read
	endedAnswered   connEnd = "answered"    // the answer to the last request was written, at least in part
	endedByCaller   connEnd = "caller left" // the caller closed or reset it
	endedUnanswered connEnd = "unanswered"  // bytes of a request were read and none of an answer written
)

// end returns the state in which the connection would be closed now.
func (c *callerConn) end() connEnd {
	switch {
	case c.callerLeft:
		return endedByCaller
	case c.resting:
		return endedResting
	case c.isAnswered:
		return endedAnswered
	}
	return endedUnanswered
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
