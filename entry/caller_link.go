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
	// callerBuffer bounds what the system's buffers take for a caller that does
	// not read: without it they grow to megabytes, minutes of a stream, and only
	// then would the caller be found slow.
	callerBuffer = 64 << 10
	// lastRoom is the buffer's size once the caller was found slow, so that the
	// end of its answer can be left there for it.
	lastRoom = 4 * callerBuffer
	// lastWrite bounds the write into that room.
	lastWrite = 100 * time.Millisecond
	// defaultPatience holds until a request's configuration is known.
	defaultPatience = 10 * time.Second
)

var errSlowCaller = errors.New("the caller read nothing of its answer for the time slow_caller; read faster or continue the stream")

// callerLink is a caller's connection. A caller that takes nothing for the time
// of its patience is found slow: what was being written goes into a larger
// buffer, and the answer must come to its end.
type callerLink struct {
	net.Conn
	patience atomic.Int64
	slow     atomic.Bool
}

func newCallerLink(c net.Conn) *callerLink {
	l := &callerLink{Conn: c}
	l.patience.Store(int64(defaultPatience))
	l.setBuffer(callerBuffer)
	return l
}

func (l *callerLink) setBuffer(size int) {
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(size)
	}
}

// Write waits for the caller as long as it takes something now and then.
func (l *callerLink) Write(p []byte) (int, error) {
	written := 0
	for {
		_ = l.SetWriteDeadline(time.Now().Add(time.Duration(l.patience.Load())))
		n, err := l.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			continue
		}
		if l.slow.Swap(true) {
			return written, errSlowCaller
		}
		l.patience.Store(int64(lastWrite))
		l.setBuffer(lastRoom)
	}
}

type linkKey struct{}

// callerListener accepts callers' connections as links.
type callerListener struct{ net.Listener }

// Accept gives the next caller's connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerLink(c), nil
}

// withLink lets a request find the connection that it came by.
func withLink(c net.Conn) context.Context {
	return context.WithValue(context.Background(), linkKey{}, c)
}

// linkOf gives the connection of a request.
func linkOf(ctx context.Context) *callerLink {
	l, _ := ctx.Value(linkKey{}).(*callerLink)
	return l
}
