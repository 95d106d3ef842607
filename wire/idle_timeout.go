package wire

import (
	"context"
	"io"
	"time"
)

// CallWithIdleTimeout is like Call, but fails when the connection receives no bytes for
// idleTimeout. It sets no limit on the total time, so that large answers can complete on
// slow links.
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

// recordRead records that the connection received bytes. It stores the monotonic time since
// openedAt, because the wall clock may jump.
func (c *Conn) recordRead() { c.lastReadNanos.Store(int64(time.Since(c.openedAt))) }

func (c *Conn) sinceLastRead() time.Duration {
	return time.Since(c.openedAt) - time.Duration(c.lastReadNanos.Load())
}

// progressReader records on its connection when bytes are read.
type progressReader struct {
	source io.Reader
	conn   *Conn
}

// Read implements io.Reader.
func (p progressReader) Read(buffer []byte) (int, error) {
	n, err := p.source.Read(buffer)
	p.conn.recordRead()
	return n, err
}
