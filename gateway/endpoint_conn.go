package gateway

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBufferBytes holds an endpoint's answer while it is parsed; heads are well
	// below it and bodies pass through.
	readBufferBytes = 4 << 10
	// ackTimeout ends a connection whose sent bytes nobody confirms: behind a
	// cut it would hang otherwise.
	ackTimeout = 3 * time.Second
	// tcpUserTimeout is the socket option of Linux by that name.
	tcpUserTimeout = 18
)

// endpointConn is one connection to one incarnation of an endpoint; it carries one
// request at a time.
type endpointConn struct {
	net.Conn
	reader       *bufio.Reader
	writtenBytes int // bytes of the current request that left
	idle         time.Time
	expiresAt    time.Time // the endpoint closes it about then
	isNew        bool      // nothing was sent on it yet
}

func newEndpointConn(c net.Conn) *endpointConn {
	setAckTimeout(c)
	return &endpointConn{
		Conn:   c,
		reader: bufio.NewReaderSize(c, readBufferBytes),
		isNew:  true,
	}
}

// setAckTimeout limits how long sent bytes may stay unconfirmed. A failure leaves the
// request's own deadline as the only bound, which is safe.
func setAckTimeout(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
}

// Write counts the bytes that left.
func (l *endpointConn) Write(p []byte) (int, error) {
	n, err := l.Conn.Write(p)
	l.writtenBytes += n
	return n, err
}

// isUsable tells whether a resting connection is open with nothing to read; bytes
// that wait there belong to no request.
func (l *endpointConn) isUsable() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	t, ok := l.Conn.(*net.TCPConn)
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
