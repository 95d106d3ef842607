package entry

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// callerBufferSize is the socket write buffer of a caller's connection. Automatic
	// sizing could grow it to megabytes and delay the detection of a slow caller by minutes.
	callerBufferSize = 64 << 10
	// finalBufferSize is the write buffer after the caller was found to be slow. It has
	// room for the end of the response.
	finalBufferSize = 4 * callerBufferSize
	// finalWriteTimeout limits the write of the end of the response to a slow caller.
	finalWriteTimeout = 100 * time.Millisecond
	// defaultStallTimeout applies until the configuration of the request is known.
	defaultStallTimeout = 10 * time.Second
)

var errSlowCaller = errors.New("the caller read nothing of its answer for the time slow_caller; read faster or continue the stream")

// callerConn is a caller's connection. When a write makes no progress for stallTimeout, the
// caller is marked as slow and the write buffer is enlarged once, so that the response can
// be ended.
type callerConn struct {
	net.Conn
	stallTimeout atomic.Int64
	isSlow       atomic.Bool
}

func newCallerConn(c net.Conn) *callerConn {
	l := &callerConn{Conn: c}
	l.stallTimeout.Store(int64(defaultStallTimeout))
	l.setBuffer(callerBufferSize)
	return l
}

func (c *callerConn) setBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(size)
	}
}

// Write writes p and waits as long as the caller reads at least one byte per stallTimeout.
func (c *callerConn) Write(p []byte) (int, error) {
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(time.Duration(c.stallTimeout.Load())))
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			continue
		}
		if c.isSlow.Swap(true) {
			return written, errSlowCaller
		}
		c.stallTimeout.Store(int64(finalWriteTimeout))
		c.setBuffer(finalBufferSize)
	}
}

type connKey struct{}

// callerListener wraps accepted connections in callerConn.
type callerListener struct{ net.Listener }

// Accept returns the next caller's connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(c), nil
}

// withConn returns a context that holds the connection, for connOf.
func withConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

// connOf returns the connection on which a request arrived.
func connOf(ctx context.Context) *callerConn {
	l, _ := ctx.Value(connKey{}).(*callerConn)
	return l
}
