package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxLoadQueryShare is the part of this box's sends to a rate-limited endpoint that load
// queries may use.
const maxLoadQueryShare = 0.25

// rateLimiter keeps this box's sends of all kinds to endpoints that announced a rate limit
// within its share of that limit, which is for all boxes together.
type rateLimiter struct {
	mu        sync.Mutex
	announced *fleet.Limits
	share     func(endpoint string, units int) int
	endpoints map[string]*limitedEndpoint // by endpoint ID
}

type limitedEndpoint struct {
	limiter        *core.RateLimiter
	perSecond      float64
	share          int
	shareInterval  time.Duration
	shareUpdatedAt time.Time
	loadQueriedAt  time.Time
}

func newRateLimiter(limits *fleet.Limits) *rateLimiter {
	return &rateLimiter{
		announced: limits,
		share:     func(_ string, units int) int { return units },
		endpoints: make(map[string]*limitedEndpoint),
	}
}

// state returns the state of a rate-limited endpoint, or nil for any other.
func (l *rateLimiter) state(now time.Time, endpoint string) *limitedEndpoint {
	perSecond, limited := l.announced.Lookup(now, endpoint)
	if !limited {
		return nil
	}
	known := l.endpoints[endpoint]
	if known == nil {
		known = &limitedEndpoint{limiter: core.NewRateLimiter(core.DefaultRateLimiterRules(), rand.Float64)}
		l.endpoints[endpoint] = known
	}
	if known.perSecond != perSecond || now.Sub(known.shareUpdatedAt) > shareTTL {
		units, shareInterval := core.DefaultRateLimiterRules().SplitRate(perSecond)
		known.perSecond = perSecond
		known.shareInterval = shareInterval
		known.share = l.share(endpoint, units)
		known.shareUpdatedAt = now
		known.limiter.Set(now, known.share, shareInterval)
	}
	return known
}

// isLimited reports whether an endpoint announced a rate limit.
func (l *rateLimiter) isLimited(now time.Time, endpoint string) bool {
	_, isLimited := l.announced.Lookup(now, endpoint)
	return isLimited
}

// isExhausted reports whether this box has no send left for an endpoint now, by its last
// computed share; it does not compute a new one.
func (l *rateLimiter) isExhausted(now time.Time, endpoint string) bool {
	if !l.isLimited(now, endpoint) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.endpoints[endpoint]
	return known != nil && now.Sub(known.shareUpdatedAt) <= shareTTL && !known.limiter.CanReserve(now)
}

// reserve reserves a send for a planned request and reports whether one was left.
func (l *rateLimiter) reserve(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.state(now, endpoint)
	return known == nil || known.limiter.Reserve(now)
}

// release returns a reserved send that is not used.
func (l *rateLimiter) release(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.endpoints[endpoint]; known != nil {
		known.limiter.CancelReservation()
	}
}

// send spends a send, reserved before if held is set, and reports whether it may be made.
func (l *rateLimiter) send(now time.Time, endpoint string, held bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.state(now, endpoint)
	return known == nil || known.limiter.Acquire(now, held)
}

// allowLoadQuery spends a send on a load query and reports whether it may be made.
func (l *rateLimiter) allowLoadQuery(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.state(now, endpoint)
	if known == nil {
		return true
	}
	if known.share == 0 {
		return false
	}
	every := time.Duration(float64(known.shareInterval) / (float64(known.share) * maxLoadQueryShare))
	if now.Sub(known.loadQueriedAt) < every || !known.limiter.Acquire(now, false) {
		return false
	}
	known.loadQueriedAt = now
	return true
}

// nextSendIn returns the time until this box has a send left for an endpoint; false means
// that it has no share of the limit.
func (l *rateLimiter) nextSendIn(now time.Time, endpoint string) (time.Duration, bool) {
	if !l.isLimited(now, endpoint) {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.endpoints[endpoint]
	if known == nil {
		return 0, true
	}
	return known.limiter.Next(now)
}

// sweep removes endpoints that are no longer limited and that nothing was sent to lately.
func (l *rateLimiter) sweep(now time.Time) {
	l.announced.Sweep(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, known := range l.endpoints {
		if !l.isLimited(now, id) && known.limiter.IsIdle(now) {
			delete(l.endpoints, id)
		}
	}
}

// AllowLoadQuery reports whether an endpoint's load may be queried now, and counts the query.
func (g *Gateway) AllowLoadQuery(now time.Time, e routing.Endpoint) bool {
	return g.sendGate.allowLoadQuery(now, e)
}
