package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxLoadQueryShare is the part of this box's sends to a limited endpoint that questions for its
// load may take; requests need the rest.
const maxLoadQueryShare = 0.25

// rateLimiter keeps this box's requests of all kinds to endpoints that named a limit
// within its share of it. A box that kept the whole limit by itself would let the fleet
// send it once for each box, and requests that aren't first sends reach the endpoint too.
type rateLimiter struct {
	mu        sync.Mutex
	announced *fleet.Limits
	share     func(endpoint string, units int) int
	endpoints map[string]*limitedEndpoint // by the endpoint's id
}

type limitedEndpoint struct {
	limiter        *core.Pace
	perSecond      float64
	share          int
	shareInterval  time.Duration
	shareUpdatedAt time.Time
	loadQueriedAt  time.Time // when it was asked for its load last
}

func newRateLimiter(limits *fleet.Limits) *rateLimiter {
	return &rateLimiter{
		announced: limits,
		share:     func(_ string, units int) int { return units },
		endpoints: make(map[string]*limitedEndpoint),
	}
}

// state gives the pace of an endpoint that named a limit, or nil for any other.
func (l *rateLimiter) state(now time.Time, endpoint string) *limitedEndpoint {
	perSecond, limited := l.announced.Of(now, endpoint)
	if !limited {
		return nil
	}
	known := l.endpoints[endpoint]
	if known == nil {
		known = &limitedEndpoint{limiter: core.NewPace(core.DefaultPaceRules(), rand.Float64)}
		l.endpoints[endpoint] = known
	}
	if known.perSecond != perSecond || now.Sub(known.shareUpdatedAt) > shareTTL {
		units, shareInterval := core.DefaultPaceRules().Units(perSecond)
		known.perSecond = perSecond
		known.shareInterval = shareInterval
		known.share = l.share(endpoint, units)
		known.shareUpdatedAt = now
		known.limiter.Set(now, known.share, shareInterval)
	}
	return known
}

// isLimited tells whether an endpoint named a limit.
func (l *rateLimiter) isLimited(now time.Time, endpoint string) bool {
	_, isLimited := l.announced.Of(now, endpoint)
	return isLimited
}

// isExhausted tells whether an endpoint is known to have no place left for this box now. It
// works no share out.
func (l *rateLimiter) isExhausted(now time.Time, endpoint string) bool {
	if !l.isLimited(now, endpoint) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.endpoints[endpoint]
	return known != nil && now.Sub(known.shareUpdatedAt) <= shareTTL && !known.limiter.Free(now)
}

// reserve keeps a place for a request that is planned; false says that there is none.
func (l *rateLimiter) reserve(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.state(now, endpoint)
	return known == nil || known.limiter.Hold(now)
}

// release gives a place back whose request isn't sent.
func (l *rateLimiter) release(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.endpoints[endpoint]; known != nil {
		known.limiter.Drop()
	}
}

// send counts a request that goes out now; false says that it may not.
func (l *rateLimiter) send(now time.Time, endpoint string, held bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.state(now, endpoint)
	return known == nil || known.limiter.Send(now, held)
}

// allowLoadQuery counts a question for an endpoint's load; false says that it may not be asked now.
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
	if now.Sub(known.loadQueriedAt) < every || !known.limiter.Send(now, false) {
		return false
	}
	known.loadQueriedAt = now
	return true
}

// nextSendIn gives when this box has a place again at an endpoint; false says that it has no
// share.
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

// sweep forgets endpoints that name no limit any more and that nothing was sent to lately.
func (l *rateLimiter) sweep(now time.Time) {
	l.announced.Sweep(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, known := range l.endpoints {
		if !l.isLimited(now, id) && known.limiter.Idle(now) {
			delete(l.endpoints, id)
		}
	}
}

// AllowLoadQuery tells whether an endpoint may be asked for its load now, and counts that.
func (g *Gateway) AllowLoadQuery(now time.Time, e routing.Endpoint) bool {
	return g.sendGate.allowLoadQuery(now, e)
}
