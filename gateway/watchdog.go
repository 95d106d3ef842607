package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/engine"
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
	// pingInterval is the time between two pings of an engine that didn't answer.
	pingInterval = 250 * time.Millisecond
)

// watchdog detects engines that died without closing their connections. When a stream
// stalls, its engine is pinged; if it doesn't answer until it has been silent for longer than a
// sound engine may be, the connection is closed so that the stream can continue from its copy. If
// it answers, the stream is kept: the run was preempted or waits.
type watchdog struct {
	proxiedRequest *proxiedRequest
	engine         routing.Endpoint
	endpointConn   *endpointConn
	stallTime      time.Duration // time without an event after which the engine is pinged
	timer          *time.Timer
	events         atomic.Int64 // number of resets
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
	w.events.Add(1)
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
	events := w.events.Load()
	silentSince := time.Now().Add(-w.stallTime)
	for {
		if !p.gateway.sendGate.allowLoadQuery(time.Now(), w.engine) {
			w.timer.Reset(w.stallTime)
			return
		}
		err := w.ping()
		if p.ctx.Err() != nil || w.events.Load() != events {
			return // the stream has ended, or an event restarted the timer
		}
		if err == nil {
			w.timer.Reset(w.stallTime)
			return
		}
		if time.Since(silentSince) >= engine.MaxSoundSilence {
			w.closeConn(time.Since(silentSince), err)
			return
		}
		time.Sleep(pingInterval)
	}
}

// ping pings the engine.
func (w *watchdog) ping() error {
	ctx, cancel := context.WithTimeout(w.proxiedRequest.ctx, pingTimeout)
	defer cancel()
	return w.proxiedRequest.gateway.mover.Ping(ctx, w.engine)
}

// closeConn closes the connection to an engine that is taken for lost.
func (w *watchdog) closeConn(silence time.Duration, err error) {
	p := w.proxiedRequest
	p.logAsync("engine did not answer a ping; its stream's connection is closed",
		zap.String("endpoint", w.engine.ID),
		zap.Duration("silent_for", silence),
		zap.Error(err),
	)
	p.gateway.balancer.Failed(time.Now(), w.engine.ID, true)
	_ = w.endpointConn.Close()
}
