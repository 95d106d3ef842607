package wire

import (
	"context"
	"io"
	"time"
)

// CallWithIdleTimeout is Call with a bound on each pause, in which no byte comes on the
// connection, in place of one on the whole: a large answer takes as long as its link
// asks, and a link that stalls is given up.
func CallWithIdleTimeout[A Message](ctx context.Context, c *Conn, request Message, idleTimeout time.Duration) (A, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.recordRead()
	go func() {
		for left := idleTimeout; left > 0; left = idleTimeout - c.sinceLastRead() {
			select {
			case <-time.After(left):
			case <-ctx.Done():
				return
			}
		}
		cancel(context.DeadlineExceeded)
	}()
	answer, err := Call[A](ctx, c, request)
	if err != nil && context.Cause(ctx) != nil {
		return answer, context.Cause(ctx)
	}
	return answer, err
}

// recordRead notes that bytes came, by the time since the connection began: the time of
// day may jump.
func (c *Conn) recordRead() { c.lastReadNanos.Store(int64(time.Since(c.openedAt))) }

func (c *Conn) sinceLastRead() time.Duration {
	return time.Since(c.openedAt) - time.Duration(c.lastReadNanos.Load())
}

// progressReader notes when bytes came.
type progressReader struct {
	source io.Reader
	conn   *Conn
}

// Read gives what came.
func (p progressReader) Read(buffer []byte) (int, error) {
	n, err := p.source.Read(buffer)
	p.conn.recordRead()
	return n, err
}
