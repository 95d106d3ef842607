package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

// HandleNotice handles an endpoint's notice in an answer to this box.
func (g *Gateway) HandleNotice(now time.Time, e routing.Endpoint, n Notice) {
	g.reachability.recordAnswer(now, e)
	if n.Limited {
		g.counters.limitNotices.Inc()
	}
	if n.Brittle {
		g.counters.brittleNotices.Inc()
	}
	if n.Leaving {
		g.counters.leavingNotices.Inc()
		// The store may not list it as leaving yet, or may be unavailable.
		g.onLeaving(e.ID)
	}
	if n.Backoff > 0 {
		g.counters.backoffs.Inc()
		g.sendGate.backoffs.extend(now, e.ID, n.Backoff)
		g.log.Info("endpoint asked this box to back off", zap.String("endpoint", e.ID), zap.Duration("for", n.Backoff))
	}
	g.sendGate.limits.announced.RecordAnswer(now, e.ID, n.Limited, n.Limit)
	g.sendGate.brittle.recordAnswer(e.Service, n.Brittle, n.Rejections)
}

// Throttle holds the limits on sends that an endpoint asked for.
type Throttle struct {
	Endpoint  string
	PerSecond float64       // the announced rate limit in requests per second, for all boxes together
	Limited   bool          // a rate limit was announced
	Backoff   time.Duration // for how much longer this box must not send to it; 0 if it may
}

// Throttles returns the limits that endpoints asked for, sorted by endpoint ID.
func (g *Gateway) Throttles(now time.Time) []Throttle {
	var all []Throttle
	remaining := g.sendGate.backoffs.all(now)
	for _, limit := range g.sendGate.limits.announced.All(now) {
		all = append(all, Throttle{
			Endpoint:  limit.Endpoint,
			PerSecond: limit.PerSecond,
			Limited:   true,
			Backoff:   remaining[limit.Endpoint],
		})
		delete(remaining, limit.Endpoint)
	}
	for endpoint, left := range remaining {
		all = append(all, Throttle{
			Endpoint: endpoint,
			Backoff:  left,
		})
	}
	slices.SortFunc(all, func(a, b Throttle) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
