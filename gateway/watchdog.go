package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// stallFactor is the multiple of the route's target for pauses between events after
	// which a stream counts as stalled. minStallTime is the least such time; it exceeds
	// the pauses of a busy engine.
	stallFactor  = 2
	minStallTime = 300 * time.Millisecond
	// pingTimeout is how long an engine may take to answer a ping.
	pingTimeout = 250 * time.Millisecond
)

// watchdog detects engines that died without closing their connections. When a stream
// stalls, its engine is pinged; if it doesn't answer, the connection is closed so that the
// stream can continue from its copy. If it answers, the stream is kept: the run was
// preempted or waits.
type watchdog struct {
	proxiedRequest *proxiedRequest
	engine         routing.Endpoint
	endpointConn   *endpointConn
	stallTime      time.Duration // time without an event after which the engine is pinged
	timer          *time.Timer
}

// startWatchdog starts a watchdog for a stream with a backup copy; without one the watchdog
// never fires, since the stream could not continue.
func (p *proxiedRequest) startWatchdog(conn *endpointConn) *watchdog {
	w := &watchdog{
		proxiedRequest: p,
		engine:         p.endpoint,
		endpointConn:   conn,
		stallTime:      max(stallFactor*p.route.PauseTarget, minStallTime),
	}
	if p.backup.ID != "" && p.route.PauseTarget > 0 {
		w.timer = time.AfterFunc(w.stallTime, w.onStall)
	}
	return w
}

// reset restarts the timer after an event.
func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.stallTime)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) onStall() {
	p := w.proxiedRequest
	if !p.gateway.sendGate.allowLoadQuery(time.Now(), w.engine) {
		w.timer.Reset(w.stallTime)
		return
	}
	ctx, cancel := context.WithTimeout(p.request.Context(), pingTimeout)
	defer cancel()
	pingedAt := time.Now()
	err := p.gateway.mover.Ping(ctx, w.engine)
	if err == nil || p.request.Context().Err() != nil {
		w.timer.Reset(w.stallTime)
		return
	}
	p.logAsync("engine did not answer a ping; its stream's connection is closed",
		zap.String("endpoint", w.engine.ID),
		zap.Duration("silent_for", w.stallTime),
		zap.Duration("asked_for", time.Since(pingedAt)),
		zap.Error(err),
	)
	p.gateway.balancer.Failed(time.Now(), w.engine.ID, true)
	_ = w.endpointConn.Close()
}
