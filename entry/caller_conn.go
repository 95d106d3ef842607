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
	// callerBufferSize bounds what the system's buffers take for a caller that does
	// not read: without it they grow to megabytes, minutes of a stream, and only
	// then would the caller be found slow.
	callerBufferSize = 64 << 10
	// finalBufferSize is the buffer's size once the caller was found slow, so that the
	// end of its answer can be left there for it.
	finalBufferSize = 4 * callerBufferSize
	// finalWriteTimeout bounds the write into that room.
	finalWriteTimeout = 100 * time.Millisecond
	// defaultStallTimeout holds until a request's configuration is known.
	defaultStallTimeout = 10 * time.Second
)

var errSlowCaller = errors.New("the caller read nothing of its answer for the time slow_caller; read faster or continue the stream")

// callerConn is a caller's connection. A caller that takes nothing for the time
// of its patience is found slow: what was being written goes into a larger
// buffer, and the answer must come to its end.
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

func (l *callerConn) setBuffer(size int) {
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(size)
	}
}

// Write waits for the caller as long as it takes something now and then.
func (l *callerConn) Write(p []byte) (int, error) {
	written := 0
	for {
		_ = l.SetWriteDeadline(time.Now().Add(time.Duration(l.stallTimeout.Load())))
		n, err := l.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			continue
		}
		if l.isSlow.Swap(true) {
			return written, errSlowCaller
		}
		l.stallTimeout.Store(int64(finalWriteTimeout))
		l.setBuffer(finalBufferSize)
	}
}

type connKey struct{}

// callerListener accepts callers' connections as links.
type callerListener struct{ net.Listener }

// Accept gives the next caller's connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(c), nil
}

// withConn lets a request find the connection that it came by.
func withConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

// connOf gives the connection of a request.
func connOf(ctx context.Context) *callerConn {
	l, _ := ctx.Value(connKey{}).(*callerConn)
	return l
}
