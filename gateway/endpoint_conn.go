package gateway

import (
	"bytes"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/engine"
)

// readBufferBytes is the buffer for the head of an endpoint's answer; larger reads of the body
// bypass it.
const readBufferBytes = 4 << 10

const (
	// maxHeadBytes is the size of the largest head of an answer.
	maxHeadBytes = 32 << 10
	// maxHeadLines is the number of lines of the longest head. A decoded header takes far more memory
	// than its bytes.
	maxHeadLines = 256
	// smallHeadBytes is the size up to which no memory is reserved for a head.
	smallHeadBytes = 4 << 10
)

// endpointConn is a connection to one incarnation of an endpoint; it carries one request at
// a time.
type endpointConn struct {
	net.Conn
	reader       *engine.HeadReader
	limit        *headLimit // of what reader reads
	writtenBytes int        // of the current request
	idle         time.Time  // start of the current idle time
	expiresAt    time.Time  // when to stop using it, before the endpoint closes it
	isNew        bool       // no request was answered on it yet
}

func newEndpointConn(c net.Conn) *endpointConn {
	limit := &headLimit{conn: c}
	return &endpointConn{
		Conn:   c,
		reader: engine.NewHeadReader(limit, readBufferBytes),
		limit:  limit,
		isNew:  true,
	}
}

// Errors of heads that are not read to their ends.
var (
	errHeadTooLarge    = errors.Errorf("the answer's head is larger than %d bytes or %d lines", maxHeadBytes, maxHeadLines)
	errNoMemoryForHead = errors.New("no memory is left for a large head")
)

// headLimit reads from a connection and, while a head is read, limits the bytes and lines.
type headLimit struct {
	conn      net.Conn
	isReading bool        // a head is being read
	left      int         // bytes that may still be read of it
	linesLeft int         // lines that may still be read of it
	reserve   func() bool // reserves memory for a large head; nil once that is done
}

// Read implements io.Reader.
func (l *headLimit) Read(into []byte) (int, error) {
	if !l.isReading {
		return l.conn.Read(into)
	}
	if l.left == 0 || l.linesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	if l.left <= maxHeadBytes-smallHeadBytes && l.reserve != nil {
		if !l.reserve() {
			return 0, errNoMemoryForHead
		}
		l.reserve = nil
	}
	n, err := l.conn.Read(into[:min(len(into), l.left)])
	l.left -= n
	l.linesLeft -= bytes.Count(into[:n], []byte{'\n'}) // also of a body that was read with the head
	return n, err
}

// readHead reads the head of the answer to a request. The interim heads before it count against
// its size. The function reserve reserves memory for a large one and reports whether there was enough.
func (conn *endpointConn) readHead(r *http.Request, reserve func() bool) (*http.Response, error) {
	*conn.limit = headLimit{
		conn:      conn.limit.conn,
		isReading: true,
		left:      maxHeadBytes,
		linesLeft: maxHeadLines,
		reserve:   reserve,
	}
	defer func() {
		conn.limit.isReading = false
		conn.limit.reserve = nil
	}()
	return conn.reader.ReadHead(r)
}

// hasReadHead reports whether any byte was read for the last readHead.
func (conn *endpointConn) hasReadHead() bool { return conn.limit.left < maxHeadBytes }

// Write writes to the connection and counts the bytes written.
func (conn *endpointConn) Write(p []byte) (int, error) {
	n, err := conn.Conn.Write(p)
	conn.writtenBytes += n
	return n, err
}

// isUsable reports whether an idle connection is still open and has nothing to read:
// unread bytes belong to no request.
func (conn *endpointConn) isUsable() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	t, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	isUsable := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isUsable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && isUsable
}
