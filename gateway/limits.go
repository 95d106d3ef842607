package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// checkPart is the part of this box's sends to a limited endpoint that questions for its
// load may take; requests need the rest.
const checkPart = 0.25

// limitedSends keeps this box's requests of all kinds to endpoints that named a limit
// within its share of it. A box that kept the whole limit by itself would let the fleet
// send it once for each box, and requests that aren't first sends reach the endpoint too.
type limitedSends struct {
	mu    sync.Mutex
	named *fleet.Limits
	share func(endpoint string, units int) int
	all   map[string]*limitedEndpoint // by the endpoint's id
}

type limitedEndpoint struct {
	pace      *core.RateLimiter
	perSecond float64
	share     int
	each      time.Duration
	sharedAt  time.Time
	checkedAt time.Time // when it was asked for its load last
}

func newLimitedSends(limits *fleet.Limits) *limitedSends {
	return &limitedSends{
		named: limits,
		share: func(_ string, units int) int { return units },
		all:   make(map[string]*limitedEndpoint),
	}
}

// bound gives the pace of an endpoint that named a limit, or nil for any other.
func (l *limitedSends) bound(now time.Time, endpoint string) *limitedEndpoint {
	perSecond, limited := l.named.Lookup(now, endpoint)
	if !limited {
		return nil
	}
	known := l.all[endpoint]
	if known == nil {
		known = &limitedEndpoint{pace: core.NewRateLimiter(core.DefaultRateLimiterRules(), rand.Float64)}
		l.all[endpoint] = known
	}
	if known.perSecond != perSecond || now.Sub(known.sharedAt) > shareMemory {
		units, each := core.DefaultRateLimiterRules().SplitRate(perSecond)
		known.perSecond = perSecond
		known.each = each
		known.share = l.share(endpoint, units)
		known.sharedAt = now
		known.pace.Set(now, known.share, each)
	}
	return known
}

// limited tells whether an endpoint named a limit.
func (l *limitedSends) limited(now time.Time, endpoint string) bool {
	_, limited := l.named.Lookup(now, endpoint)
	return limited
}

// spent tells whether an endpoint is known to have no place left for this box now. It
// works no share out.
func (l *limitedSends) spent(now time.Time, endpoint string) bool {
	if !l.limited(now, endpoint) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.all[endpoint]
	return known != nil && now.Sub(known.sharedAt) <= shareMemory && !known.pace.CanReserve(now)
}

// hold keeps a place for a request that is planned; false says that there is none.
func (l *limitedSends) hold(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.bound(now, endpoint)
	return known == nil || known.pace.Reserve(now)
}

// drop gives a place back whose request isn't sent.
func (l *limitedSends) drop(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.all[endpoint]; known != nil {
		known.pace.CancelReservation()
	}
}

// send counts a request that goes out now; false says that it may not.
func (l *limitedSends) send(now time.Time, endpoint string, held bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.bound(now, endpoint)
	return known == nil || known.pace.Acquire(now, held)
}

// check counts a question for an endpoint's load; false says that it may not be asked now.
func (l *limitedSends) check(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.bound(now, endpoint)
	if known == nil {
		return true
	}
	if known.share == 0 {
		return false
	}
	every := time.Duration(float64(known.each) / (float64(known.share) * checkPart))
	if now.Sub(known.checkedAt) < every || !known.pace.Acquire(now, false) {
		return false
	}
	known.checkedAt = now
	return true
}

// freeIn gives when this box has a place again at an endpoint; false says that it has no
// share.
func (l *limitedSends) freeIn(now time.Time, endpoint string) (time.Duration, bool) {
	if !l.limited(now, endpoint) {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.all[endpoint]
	if known == nil {
		return 0, true
	}
	return known.pace.Next(now)
}

// sweep forgets endpoints that name no limit any more and that nothing was sent to lately.
func (l *limitedSends) sweep(now time.Time) {
	l.named.DropExpired(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, known := range l.all {
		if !l.limited(now, id) && known.pace.IsIdle(now) {
			delete(l.all, id)
		}
	}
}

// AllowLoadQuery tells whether an endpoint may be asked for its load now, and counts that.
func (g *Gateway) AllowLoadQuery(now time.Time, e routing.Endpoint) bool { return g.gate.check(now, e) }
