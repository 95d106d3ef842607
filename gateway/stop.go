package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Stop begins a planned stop that lasts until end. Answers from now on ask callers to close
// their connections, and streams that would be cut at the end are refused.
//
// Requests that wait for room are sent at once, since little time is left for them.
func (g *Gateway) Stop(end time.Time) {
	g.stopAt.Store(&end)
	g.waits.notify()
}

// outlastsStop reports whether a stream would still be running at the end of a planned stop.
// Such a stream is refused before anything is sent, so that its caller can try another box.
// New streams arrive for about 2 s after the stop has begun.
func (p *proxiedRequest) outlastsStop() bool {
	stopAt := p.gateway.stopAt.Load()
	engine := p.service.Engine
	if stopAt == nil || engine == nil || p.route.Kind != routing.Streaming {
		return false
	}
	return p.start.Add(p.expectedStreamTime(engine)).After(*stopAt)
}

// expectedStreamTime estimates the time from sending the request to the end of its stream.
func (p *proxiedRequest) expectedStreamTime(engine *routing.Engine) time.Duration {
	events := p.expectedOutput() / max(engine.EventTokens, 1)
	return p.gateway.usualAnswerTimes.mean(p.route.Name) + time.Duration(events)*p.gateway.eventIntervals.mean(p.service.Name)
}
