package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// stallPauses is after how many of the route's pauses between events a
	// stream counts as stalled; stallLeast is the least such time, above what a
	// busy engine needs between two events.
	stallPauses = 2
	stallLeast  = 300 * time.Millisecond
	// aliveTime is how long an engine may take to say that it is alive; it
	// answers in milliseconds.
	aliveTime = 250 * time.Millisecond
)

// watchdog finds out engines that died without a word: when a stream stalls,
// its engine is asked for its load. One that doesn't answer either is taken for
// dead and its connection is closed, so that the stream can go on from its copy.
// One that answers keeps the stream: the run was preempted or waits.
type watchdog struct {
	passage *passage
	engine  routing.Endpoint
	link    *link
	after   time.Duration
	timer   *time.Timer
}

// watch starts a watchdog for a stream with a copy to go on from; without one,
// there is nothing to gain.
func (p *passage) watch(l *link) *watchdog {
	d := &watchdog{
		passage: p,
		engine:  p.endpoint,
		link:    l,
		after:   max(stallPauses*p.route.PauseTarget, stallLeast),
	}
	if p.backup.ID != "" && p.route.PauseTarget > 0 {
		d.timer = time.AfterFunc(d.after, d.stalled)
	}
	return d
}

// fed says that an event came.
func (d *watchdog) fed() {
	if d.timer != nil {
		d.timer.Reset(d.after)
	}
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

func (d *watchdog) stalled() {
	p := d.passage
	if !p.gateway.gate.check(time.Now(), d.engine) {
		d.timer.Reset(d.after)
		return
	}
	ctx, cancel := context.WithTimeout(p.request.Context(), aliveTime)
	defer cancel()
	begun := time.Now()
	err := p.gateway.mover.Ping(ctx, d.engine)
	if err == nil || p.request.Context().Err() != nil {
		d.timer.Reset(d.after)
		return
	}
	p.note("engine taken for dead",
		zap.String("endpoint", d.engine.ID),
		zap.Duration("silent_for", d.after),
		zap.Duration("asked_for", time.Since(begun)),
		zap.Error(err),
	)
	p.gateway.spread.Failed(time.Now(), d.engine.ID, true)
	_ = d.link.Close()
}
