package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxLoadQueryShare is the fraction of this box's sends to a rate-limited endpoint that load
// queries may use; requests need the rest.
const maxLoadQueryShare = 0.25

// rateLimiter keeps this box's sends of all kinds to endpoints that announced a rate limit
// within its share of that limit, which is for all boxes together.
type rateLimiter struct {
	mu        sync.Mutex
	announced *fleet.Limits
	share     func(endpoint string, units int) int // returns how many of an endpoint's units are this box's
	endpoints map[string]*limitedEndpoint          // by endpoint ID
}

// limitedEndpoint is this box's share of the rate limit of one endpoint.
type limitedEndpoint struct {
	limiter        *core.RateLimiter
	perSecond      float64       // the rate limit for all boxes together
	share          int           // how many of the shares that the limit is split into are this box's
	shareInterval  time.Duration // each share allows one send in this time
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
	entry := l.endpoints[endpoint]
	if entry == nil {
		entry = &limitedEndpoint{limiter: core.NewRateLimiter(core.DefaultRateLimiterRules(), rand.Float64)}
		l.endpoints[endpoint] = entry
	}
	if entry.perSecond != perSecond || now.Sub(entry.shareUpdatedAt) > shareTTL {
		units, shareInterval := core.DefaultRateLimiterRules().SplitRate(perSecond)
		entry.perSecond = perSecond
		entry.shareInterval = shareInterval
		entry.share = l.share(endpoint, units)
		entry.shareUpdatedAt = now
		entry.limiter.Set(now, entry.share, shareInterval)
	}
	return entry
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
	entry := l.endpoints[endpoint]
	return entry != nil && now.Sub(entry.shareUpdatedAt) <= shareTTL && !entry.limiter.CanReserve(now)
}

// reserve reserves a send for a planned request and reports whether one was left.
func (l *rateLimiter) reserve(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.state(now, endpoint)
	return entry == nil || entry.limiter.Reserve(now)
}

// release returns a reserved send that is not used.
func (l *rateLimiter) release(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.endpoints[endpoint]; entry != nil {
		entry.limiter.CancelReservation()
	}
}

// send spends a send and reports whether it may be made. The send was reserved before if
// reserved is set.
func (l *rateLimiter) send(now time.Time, endpoint string, reserved bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.state(now, endpoint)
	return entry == nil || entry.limiter.Acquire(now, reserved)
}

// allowLoadQuery spends a send on a load query and reports whether it may be made.
func (l *rateLimiter) allowLoadQuery(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.state(now, endpoint)
	if entry == nil {
		return true
	}
	if entry.share == 0 {
		return false
	}
	interval := time.Duration(float64(entry.shareInterval) / (float64(entry.share) * maxLoadQueryShare))
	if now.Sub(entry.loadQueriedAt) < interval || !entry.limiter.Acquire(now, false) {
		return false
	}
	entry.loadQueriedAt = now
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
	entry := l.endpoints[endpoint]
	if entry == nil {
		return 0, true
	}
	return entry.limiter.Next(now)
}

// sweep removes endpoints that are no longer limited and that nothing was sent to lately.
func (l *rateLimiter) sweep(now time.Time) {
	l.announced.DropExpired(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, entry := range l.endpoints {
		if !l.isLimited(now, id) && entry.limiter.IsIdle(now) {
			delete(l.endpoints, id)
		}
	}
}

// AllowLoadQuery reports whether an endpoint's load may be queried now, and counts the query.
func (g *Gateway) AllowLoadQuery(now time.Time, e routing.Endpoint) bool {
	return g.sendGate.allowLoadQuery(now, e)
}
