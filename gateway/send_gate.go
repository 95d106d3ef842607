package gateway

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxReserveAttempts bounds the endpoints that one request asks for a place: a thousand may be cold
// or limited at once, and to work out this box's share of each takes time.
const maxReserveAttempts = 8

// sendGate stands before everything that this box sends to an endpoint: first and second
// sends, moves, sends that go on from a copy, questions for its load. What endpoints take
// is kept there, and nowhere else.
type sendGate struct {
	backoffs *backoffs
	cold     *coldLimiter
	limits   *rateLimiter
}

func newSendGate(allowance routing.ColdAllowance, limits *fleet.Limits) *sendGate {
	return &sendGate{
		backoffs: newBackoffs(),
		cold:     newColdLimiter(allowance),
		limits:   newRateLimiter(limits),
	}
}

// isExhausted tells whether an endpoint is known to take nothing from this box now.
func (g *sendGate) isExhausted(now time.Time, e routing.Endpoint) bool {
	return g.isBackingOff(now, e) || g.cold.isExhausted(now, e) || g.limits.isExhausted(now, e.ID)
}

// isBackingOff tells whether an endpoint wants nothing from this box now.
func (g *sendGate) isBackingOff(now time.Time, e routing.Endpoint) bool {
	return g.backoffs.remaining(now, e.ID) > 0
}

// isThrottled tells whether an endpoint has asked for fewer requests, or for none.
func (g *sendGate) isThrottled(now time.Time, e routing.Endpoint) bool {
	return g.isBackingOff(now, e) || g.limits.isLimited(now, e.ID)
}

// isLimited tells whether an endpoint takes only some requests for now, or none.
func (g *sendGate) isLimited(now time.Time, e routing.Endpoint) bool {
	return e.ColdAt(now) || g.isThrottled(now, e)
}

// reserve keeps a place for a request that is planned; false says that there is none.
func (g *sendGate) reserve(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	if g.isBackingOff(now, e) || !g.cold.reserve(now, s, e) {
		return false
	}
	if !g.limits.reserve(now, e.ID) {
		g.cold.release(e)
		return false
	}
	return true
}

// release gives a place back whose request isn't sent.
func (g *sendGate) release(e routing.Endpoint) {
	g.cold.release(e)
	g.limits.release(e.ID)
}

// send counts a request that goes out now, for which a place was kept; false says that it
// may not.
func (g *sendGate) send(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	if g.isBackingOff(now, e) {
		g.release(e)
		return false
	}
	if !g.limits.send(now, e.ID, true) {
		g.cold.release(e)
		return false
	}
	return g.cold.send(now, s, e)
}

// allowMove counts a call for a run's move at the engine that runs it; false says that the
// engine takes none now. A cold engine may be asked: that is no request to run.
func (g *sendGate) allowMove(now time.Time, e routing.Endpoint) bool {
	return !g.isBackingOff(now, e) && g.limits.send(now, e.ID, false)
}

// allowLoadQuery counts a question for an endpoint's load; false says that it may not be asked now.
func (g *sendGate) allowLoadQuery(now time.Time, e routing.Endpoint) bool {
	return !g.isBackingOff(now, e) && g.limits.allowLoadQuery(now, e.ID)
}

// nextSendIn gives when the first of some endpoints takes a request from this box again, or 0
// where this box can't tell.
func (g *sendGate) nextSendIn(now time.Time, all []routing.Endpoint) time.Duration {
	var first time.Duration
	for _, e := range all {
		in, ok := g.limits.nextSendIn(now, e.ID)
		in = max(in, g.backoffs.remaining(now, e.ID))
		if ok && in == 0 {
			return 0
		}
		if ok && (first == 0 || in < first) {
			first = in
		}
	}
	return first
}

func (g *sendGate) sweep(now time.Time) {
	g.backoffs.sweep(now)
	g.cold.sweep(now)
	g.limits.sweep(now)
}

// candidates gives the endpoints of the request's homes that may take it now.
func (p *proxiedRequest) candidates(now time.Time) []routing.Endpoint {
	return p.allowedEndpoints(func(e routing.Endpoint) bool { return !p.gateway.sendGate.isExhausted(now, e) })
}

// unlimitedEndpoints gives the endpoints of the request's homes that take any number of requests.
func (p *proxiedRequest) unlimitedEndpoints(now time.Time) []routing.Endpoint {
	return p.allowedEndpoints(func(e routing.Endpoint) bool { return !p.gateway.sendGate.isLimited(now, e) })
}

func (p *proxiedRequest) allowedEndpoints(fits func(routing.Endpoint) bool) []routing.Endpoint {
	all := p.gateway.view().Serving(p.service.Name)
	matches := func(e routing.Endpoint) bool { return p.allowedRegions.AllowsZone(e.Zone) && fits(e) }
	if !slices.ContainsFunc(all, func(e routing.Endpoint) bool { return !matches(e) }) {
		return all
	}
	return filterEndpoints(all, matches)
}
