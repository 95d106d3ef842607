package box

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Left is closed when the box may end.
func (b *Box) Left() <-chan struct{} { return b.left }

// Stop begins the planned stop; a second call changes nothing.
func (b *Box) Stop() {
	b.once.Do(func() {
		b.stopping.Store(true)
		b.log.Info("stop", zap.Int("active", b.gateway.Active()))
		limit := time.Now().Add(b.settings.Grace - graceMargin)
		b.gateway.Stop(limit)
		b.peers.MarkLeaving()
		go b.leave(limit)
	})
}

// leave waits until the balancer sends no more callers and the requests under
// way have ended, but not beyond the time of the kill.
func (b *Box) leave(limit time.Time) {
	time.Sleep(min(balancerTime, time.Until(limit)))
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := b.front.Shutdown(ctx); err != nil {
		b.log.Warn("requests were still under way at the end", zap.Int("active", b.gateway.Active()), zap.Error(err))
	}
	b.cancel()
	b.log.Info("left", zap.Int64("log_lines_left_out", b.sink.DroppedLines()))
	close(b.left)
}
