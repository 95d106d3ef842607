package gateway

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readBufferBytes is the buffer for the head of an endpoint's answer; larger reads of the body
// bypass it.
const readBufferBytes = 4 << 10

// maxHeadBytes is the size of the largest head of an answer.
const maxHeadBytes = 32 << 10

// endpointConn is a connection to one incarnation of an endpoint; it carries one request at
// a time.
type endpointConn struct {
	net.Conn
	reader       *bufio.Reader
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
		reader: bufio.NewReaderSize(limit, readBufferBytes),
		limit:  limit,
		isNew:  true,
	}
}

// errHeadTooLarge reports that the head of an answer is larger than maxHeadBytes.
var errHeadTooLarge = errors.Errorf("the answer's head is larger than %d bytes", maxHeadBytes)

// headLimit reads from a connection and, while a head is read, limits the bytes.
type headLimit struct {
	conn      net.Conn
	isReading bool // a head is being read
	left      int  // bytes that may still be read of it
}

// Read implements io.Reader.
func (l *headLimit) Read(into []byte) (int, error) {
	if !l.isReading {
		return l.conn.Read(into)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(into[:min(len(into), l.left)])
	l.left -= n
	return n, err
}

// readHead reads the head of the answer to a request. The interim heads before it count against
// its size.
func (conn *endpointConn) readHead(r *http.Request) (*http.Response, error) {
	conn.limit.isReading, conn.limit.left = true, maxHeadBytes
	defer func() { conn.limit.isReading = false }()
	for {
		head, err := http.ReadResponse(conn.reader, r)
		if err != nil || head.StatusCode >= http.StatusOK {
			return head, err
		}
	}
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
