package gateway

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readBufferBytes is the buffer for the head of an endpoint's answer; larger reads of the body
// bypass it.
const readBufferBytes = 4 << 10

// endpointConn is a connection to one incarnation of an endpoint; it carries one request at
// a time.
type endpointConn struct {
	net.Conn
	reader       *bufio.Reader
	writtenBytes int       // of the current request
	idle         time.Time // start of the current idle time
	expiresAt    time.Time // when to stop using it, before the endpoint closes it
	isNew        bool      // no request was answered on it yet
}

func newEndpointConn(c net.Conn) *endpointConn {
	return &endpointConn{
		Conn:   c,
		reader: bufio.NewReaderSize(c, readBufferBytes),
		isNew:  true,
	}
}

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
