package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

// Noticed takes what an endpoint says of itself in an answer to this box.
func (g *Gateway) Noticed(now time.Time, e routing.Endpoint, n Notice) {
	if n.Limited {
		g.counts.limited.Inc()
	}
	if n.Leaving {
		g.counts.leaving.Inc()
		// The store may not know yet, or not take the endpoint's word for as long as it is away.
		g.onLeaving(e.ID)
	}
	if n.Rest > 0 {
		g.counts.rests.Inc()
		g.gate.rests.ask(now, e.ID, n.Rest)
		g.log.Info("endpoint asks this box for rest", zap.String("endpoint", e.ID), zap.Duration("for", n.Rest))
	}
	g.gate.limits.limits.Answered(now, e.ID, n.Limited, n.Limit)
}
