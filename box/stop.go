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
		b.gateway.Stop(time.Now().Add(balancerDelay), limit.Add(-answerTime))
		b.peers.MarkLeaving()
		go b.shutDown(limit)
	})
}

// shutDown waits until the balancer opens no more connections and running requests
// have finished, up to the limit, and then stops the box.
func (b *Box) shutDown(limit time.Time) {
	ending := time.AfterFunc(time.Until(limit)-answerTime, b.gateway.End)
	defer ending.Stop()
	time.Sleep(min(balancerDelay, time.Until(limit)-lastRequestTime))
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	b.drainCallers(ctx, limit)
	b.awaitForwarded(ctx)
	if active := b.gateway.Active(); active > 0 {
		b.log.Warn("stopping with unfinished requests", zap.Int("active", active))
	}
	b.cancel()
	b.callers.logEnds()
	_ = b.frontServer.Close()
	b.log.Info("stopped", zap.Int64("log_lines_left_out", b.sink.DroppedLines()))
	close(b.done)
}

const (
	// drainInterval is the interval at which a stopping box closes idle connections.
	drainInterval = 20 * time.Millisecond
	// lastRequestTime is the time before its end in which a stopping box accepts no connections.
	lastRequestTime = time.Second
)

// drainCallers closes callers' connections once they are idle, and then the listener, until all are
// closed or ctx is done. http.Server.Shutdown would drop requests that were read but not parsed.
func (b *Box) drainCallers(ctx context.Context, limit time.Time) {
	b.closeIdleUntil(ctx, func(now time.Time) bool { return b.callers.isDrained(now) || limit.Sub(now) < lastRequestTime })
	_ = b.callers.Close()
	b.closeIdleUntil(ctx, func(time.Time) bool { return b.callers.openCount() == 0 })
}

// closeIdleUntil closes callers' connections once they are idle, until isDone returns true or ctx is
// done.
func (b *Box) closeIdleUntil(ctx context.Context, isDone func(time.Time) bool) {
	for !isDone(time.Now()) && ctx.Err() == nil {
		b.callers.closeIdle(time.Now())
		fleet.Sleep(ctx, drainInterval)
	}
}

// forwardedPollInterval is how often a stopping box checks whether forwarded requests remain.
const forwardedPollInterval = 20 * time.Millisecond

// awaitForwarded waits until the requests that other boxes forwarded have finished, or ctx is done.
func (b *Box) awaitForwarded(ctx context.Context) {
	for b.gateway.Active() > 0 && ctx.Err() == nil {
		fleet.Sleep(ctx, forwardedPollInterval)
	}
}
