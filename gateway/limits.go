package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// limits keeps the limits that endpoints name in their answers.
type limits struct {
	mu  sync.Mutex
	all map[string]*endpointLimit // by the endpoint's id
}

type endpointLimit struct {
	perSecond float64 // requests that the endpoint takes from all boxes together
	since     time.Time
	named     time.Time // last
}

func newLimits() *limits {
	return &limits{all: make(map[string]*endpointLimit)}
}

// Noticed takes what an endpoint says of itself in an answer.
func (g *Gateway) Noticed(now time.Time, endpoint string, n Notice) {
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	known := g.limits.all[endpoint]
	if !n.Limited {
		if known != nil {
			delete(g.limits.all, endpoint)
			g.log.Info("endpoint names no limit any more",
				zap.String("endpoint", endpoint),
				zap.Float64("per_second", known.perSecond),
				zap.Duration("after", now.Sub(known.since)),
				zap.Duration("last_named", now.Sub(known.named)),
			)
		}
		return
	}
	g.counts.limited.Inc()
	if known == nil || known.perSecond != n.Limit {
		g.log.Info("endpoint names a limit", zap.String("endpoint", endpoint), zap.Float64("per_second", n.Limit))
	}
	if known == nil {
		known = &endpointLimit{since: now}
		g.limits.all[endpoint] = known
	}
	known.perSecond = n.Limit
	known.named = now
}
