package gateway

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer holds an endpoint's answer while it is parsed; heads are well
	// below it and bodies pass through.
	readBuffer = 4 << 10
	// unackedTime ends a connection whose sent bytes nobody confirms: behind a
	// cut it would hang otherwise.
	unackedTime = 3 * time.Second
	// tcpUserTimeout is the socket option of Linux by that name.
	tcpUserTimeout = 18
)

// link is one connection to one incarnation of an endpoint; it carries one
// request at a time.
type link struct {
	net.Conn
	reader  *bufio.Reader
	written int // bytes of the current request that left
	rested  time.Time
	expires time.Time // the endpoint closes it about then
	fresh   bool      // nothing was sent on it yet
}

func newLink(c net.Conn) *link {
	bound(c)
	return &link{
		Conn:   c,
		reader: bufio.NewReaderSize(c, readBuffer),
		fresh:  true,
	}
}

// bound limits how long sent bytes may stay unconfirmed. A failure leaves the
// request's own deadline as the only bound, which is safe.
func bound(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTime.Milliseconds()))
	})
}

// Write counts the bytes that left.
func (l *link) Write(p []byte) (int, error) {
	n, err := l.Conn.Write(p)
	l.written += n
	return n, err
}

// quiet tells whether a resting connection is open with nothing to read; bytes
// that wait there belong to no request.
func (l *link) quiet() bool {
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
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
