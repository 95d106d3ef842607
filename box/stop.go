package box

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
)

// Done returns a channel that is closed when the box has stopped.
func (b *Box) Done() <-chan struct{} { return b.done }

// Stop begins a planned stop. Further calls have no effect.
func (b *Box) Stop() {
	b.stopOnce.Do(func() {
		b.stopping.Store(true)
		b.log.Info("stop", zap.Int("active", b.gateway.Active()))
		limit := time.Now().Add(b.settings.Grace - killMargin)
		b.gateway.Stop(limit)
		b.peers.MarkLeaving()
		go b.shutDown(limit)
	})
}

// shutDown waits until the balancer opens no more connections and running requests
// have finished, up to the limit, and then stops the box.
func (b *Box) shutDown(limit time.Time) {
	time.Sleep(min(balancerDelay, time.Until(limit)))
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := b.frontServer.Shutdown(ctx); err != nil {
		b.log.Warn("stopping with unfinished requests", zap.Int("active", b.gateway.Active()), zap.Error(err))
	}
	b.awaitForwarded(ctx)
	b.cancel()
	b.callers.logEnds()
	b.log.Info("stopped", zap.Int64("log_lines_left_out", b.sink.DroppedLines()))
	close(b.done)
}

// forwardedPollInterval is how often a stopping box checks whether forwarded requests remain.
const forwardedPollInterval = 20 * time.Millisecond

// awaitForwarded waits until the requests that other boxes forwarded have finished, or ctx is done.
func (b *Box) awaitForwarded(ctx context.Context) {
	for b.gateway.Active() > 0 && ctx.Err() == nil {
		fleet.Sleep(ctx, forwardedPollInterval)
	}
}
