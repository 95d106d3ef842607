package gateway

import (
	"cmp"
	"slices"
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
	g.gate.limits.named.Answered(now, e.ID, n.Limited, n.Limit)
}

// Restraint is what an endpoint has asked for.
type Restraint struct {
	Endpoint  string
	PerSecond float64       // requests that it takes from all boxes together, if it named a limit
	Limited   bool          // whether it did
	Rest      time.Duration // how much longer it wants nothing from this box; 0 if it doesn't rest
}

// Restraints gives the endpoints that have asked for fewer requests or for rest, by id.
func (g *Gateway) Restraints(now time.Time) []Restraint {
	var all []Restraint
	resting := g.gate.rests.all(now)
	for _, w := range g.gate.limits.named.All(now) {
		all = append(all, Restraint{
			Endpoint:  w.Endpoint,
			PerSecond: w.PerSecond,
			Limited:   true,
			Rest:      resting[w.Endpoint],
		})
		delete(resting, w.Endpoint)
	}
	for endpoint, left := range resting {
		all = append(all, Restraint{
			Endpoint: endpoint,
			Rest:     left,
		})
	}
	slices.SortFunc(all, func(a, b Restraint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
