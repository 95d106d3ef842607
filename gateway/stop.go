package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Stop begins a planned stop: callers are asked to close their connections with the
// answers that follow, and streams that would be cut at the end aren't begun.
func (g *Gateway) Stop(end time.Time) { g.stopAt.Store(&end) }

// outlastsStop tells whether a stream would still run when the box ends. Nothing of
// it was sent, and its caller reaches another box at once: new streams come for two
// seconds after a planned stop began, and those longer than the grace would be cut.
func (p *proxiedRequest) outlastsStop() bool {
	stopAt := p.gateway.stopAt.Load()
	engine := p.service.Engine
	if stopAt == nil || engine == nil || p.route.Kind != routing.Streaming {
		return false
	}
	events := p.expectedOutput() / max(engine.EventTokens, 1)
	duration := p.gateway.usualAnswer.mean(p.route.Name) + time.Duration(events)*p.gateway.eventIntervals.mean(p.service.Name)
	return p.start.Add(duration).After(*stopAt)
}
