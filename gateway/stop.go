package gateway

import (
	"context"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Stop begins a planned stop that lasts until end. Answers from now on ask callers to close
// their connections, and requests that would still run at the end are refused, as are all streams
// from lastStreams on: their length is a guess.
//
// Requests that wait for room are sent at once, since little time is left for them.
func (g *Gateway) Stop(lastStreams, end time.Time) {
	g.lastStreams.Store(&lastStreams)
	g.stopAt.Store(&end)
	g.waits.notify()
}

// End ends all requests whose answer has not begun, so that their callers get an answer before
// the process ends.
func (g *Gateway) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasEnded = true
	for p, cancel := range g.requests {
		if !p.isAnswering.Load() {
			cancel()
		}
	}
}

// isEnding reports whether End was called.
func (g *Gateway) isEnding() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasEnded
}

// register gives a request its context. The returned function must be called when the request has
// ended.
func (g *Gateway) register(p *proxiedRequest) (unregister func()) {
	ctx, cancel := context.WithCancel(p.request.Context())
	p.ctx = ctx
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests[p] = cancel
	if g.hasEnded {
		cancel()
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.requests, p)
		cancel()
		g.answerBytes.Add(-p.answerBytes)
	}
}

// outlastsStop reports whether a request would still be running at the end of a planned stop.
// Such a request is refused before anything is sent, so that its caller can try another box.
// New requests arrive for about 2 s after the stop has begun.
func (p *proxiedRequest) outlastsStop() bool {
	stopAt := p.gateway.stopAt.Load()
	if stopAt == nil {
		return false
	}
	expected := p.gateway.usualAnswerTimes.mean(p.route.Name)
	if p.route.Kind == routing.Streaming && p.start.After(*p.gateway.lastStreams.Load()) {
		return true
	}
	if engine := p.service.Engine; engine != nil && p.route.Kind == routing.Streaming {
		expected = p.expectedStreamTime(engine)
	}
	return p.start.Add(expected).After(*stopAt)
}

// expectedStreamTime estimates the time from sending the request to the end of its stream.
func (p *proxiedRequest) expectedStreamTime(engine *routing.Engine) time.Duration {
	events := p.expectedOutput() / max(engine.EventTokens, 1)
	return p.gateway.usualAnswerTimes.mean(p.route.Name) + time.Duration(events)*p.gateway.eventIntervals.mean(p.service.Name)
}
