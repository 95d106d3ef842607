package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

// HandleNotice takes what an endpoint says of itself in an answer to this box.
func (g *Gateway) HandleNotice(now time.Time, e routing.Endpoint, n Notice) {
	if n.Limited {
		g.counts.limited.Inc()
	}
	if n.Leaving {
		g.counts.leaving.Inc()
		// The store may not know yet, or not take the endpoint's word for as long as it is away.
		g.onLeaving(e.ID)
	}
	if n.Backoff > 0 {
		g.counts.rests.Inc()
		g.gate.rests.ask(now, e.ID, n.Backoff)
		g.log.Info("endpoint asks this box for rest", zap.String("endpoint", e.ID), zap.Duration("for", n.Backoff))
	}
	g.gate.limits.named.RecordAnswer(now, e.ID, n.Limited, n.Limit)
}

// Throttle is what an endpoint has asked for.
type Throttle struct {
	Endpoint  string
	PerSecond float64       // requests that it takes from all boxes together, if it named a limit
	Limited   bool          // whether it did
	Backoff   time.Duration // how much longer it wants nothing from this box; 0 if it doesn't rest
}

// Throttles gives the endpoints that have asked for fewer requests or for rest, by id.
func (g *Gateway) Throttles(now time.Time) []Throttle {
	var all []Throttle
	resting := g.gate.rests.all(now)
	for _, w := range g.gate.limits.named.All(now) {
		all = append(all, Throttle{
			Endpoint:  w.Endpoint,
			PerSecond: w.PerSecond,
			Limited:   true,
			Backoff:   resting[w.Endpoint],
		})
		delete(resting, w.Endpoint)
	}
	for endpoint, left := range resting {
		all = append(all, Throttle{
			Endpoint: endpoint,
			Backoff:  left,
		})
	}
	slices.SortFunc(all, func(a, b Throttle) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
