package wire

import (
	"context"
	"io"
	"time"
)

// CallWithIdleTimeout is Call with a bound on each pause, in which no byte comes on the
// connection, in place of one on the whole: a large answer takes as long as its link
// asks, and a link that stalls is given up.
func CallWithIdleTimeout[A Message](ctx context.Context, c *Conn, q Message, pause time.Duration) (A, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.noteProgress()
	go func() {
		for left := pause; left > 0; left = pause - c.sinceProgress() {
			select {
			case <-time.After(left):
			case <-ctx.Done():
				return
			}
		}
		cancel(context.DeadlineExceeded)
	}()
	answer, err := Call[A](ctx, c, q)
	if err != nil && context.Cause(ctx) != nil {
		return answer, context.Cause(ctx)
	}
	return answer, err
}

// noteProgress notes that bytes came, by the time since the connection began: the time of
// day may jump.
func (c *Conn) noteProgress() { c.progress.Store(int64(time.Since(c.began))) }

func (c *Conn) sinceProgress() time.Duration {
	return time.Since(c.began) - time.Duration(c.progress.Load())
}

// progressing notes when bytes came.
type progressing struct {
	from io.Reader
	conn *Conn
}

// Read gives what came.
func (p progressing) Read(into []byte) (int, error) {
	n, err := p.from.Read(into)
	p.conn.noteProgress()
	return n, err
}
