package gateway

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxReserveAttempts bounds the limited endpoints that are tried for one send: there may be
// a thousand, and computing this box's share of each takes time.
const maxReserveAttempts = 8

// sendGate enforces the endpoints' limits on everything that this box sends to them: first
// sends, retries, continuations, moves and load queries.
type sendGate struct {
	backoffs *backoffs
	cold     *coldLimiter
	limits   *rateLimiter
	brittle  *brittleLimiter
}

func newSendGate(allowance routing.ColdAllowance, limits *fleet.Limits) *sendGate {
	return &sendGate{
		backoffs: newBackoffs(),
		cold:     newColdLimiter(allowance),
		limits:   newRateLimiter(limits),
		brittle:  newBrittleLimiter(),
	}
}

// isExhausted reports whether an endpoint is known to take no send from this box now.
func (g *sendGate) isExhausted(now time.Time, e routing.Endpoint) bool {
	return g.isBackingOff(now, e) || g.cold.isExhausted(now, e) || g.limits.isExhausted(now, e.ID) || g.brittle.isExhausted(now, e)
}

// isBackingOff reports whether the endpoint asked this box to send nothing until later.
func (g *sendGate) isBackingOff(now time.Time, e routing.Endpoint) bool {
	return g.backoffs.remaining(now, e.ID) > 0
}

// isThrottled reports whether an endpoint announced a rate limit or asked this box to back off.
func (g *sendGate) isThrottled(now time.Time, e routing.Endpoint) bool {
	return g.isBackingOff(now, e) || g.limits.isLimited(now, e.ID)
}

// isLimited reports whether an endpoint is throttled or cold.
func (g *sendGate) isLimited(now time.Time, e routing.Endpoint) bool {
	return e.ColdAt(now) || g.isThrottled(now, e) || g.brittle.isExhausted(now, e)
}

// reserve reserves a send for a planned request and reports whether one was left.
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

// release returns a reserved send that is not used.
func (g *sendGate) release(e routing.Endpoint) {
	g.cold.release(e)
	g.limits.release(e.ID)
}

// send spends a reserved send on a request that goes out now and reports whether it may go
// out; continues is set if it continues from a copy. If it may, answered must be called for it; otherwise the reservation is released.
func (g *sendGate) send(now time.Time, s *routing.Service, e routing.Endpoint, continues bool) bool {
	if g.isBackingOff(now, e) || !g.brittle.send(now, e, continues) {
		g.release(e)
		return false
	}
	if !g.limits.send(now, e.ID, true) {
		g.cold.release(e)
		g.brittle.answered(now, e, false)
		return false
	}
	if !g.cold.send(now, s, e) {
		g.brittle.answered(now, e, false)
		return false
	}
	return true
}

// answered records that the answer to a request has begun, or that none will come.
func (g *sendGate) answered(now time.Time, e routing.Endpoint, isRejected bool) {
	g.brittle.answered(now, e, isRejected)
}

// allowMove spends a send on a request to an engine to move one of its runs, and reports
// whether it may be made. The limit of cold engines does not apply: a move starts no run there.
func (g *sendGate) allowMove(now time.Time, e routing.Endpoint) bool {
	return !g.isBackingOff(now, e) && g.limits.send(now, e.ID, false)
}

// allowLoadQuery spends a send on a load query and reports whether it may be made.
func (g *sendGate) allowLoadQuery(now time.Time, e routing.Endpoint) bool {
	return !g.isBackingOff(now, e) && g.limits.allowLoadQuery(now, e.ID)
}

// beginStatusCheck spends a send on a status check and reports whether it may be made. If it may,
// answered must be called for it.
func (g *sendGate) beginStatusCheck(now time.Time, e routing.Endpoint) bool {
	return g.allowLoadQuery(now, e) && g.brittle.send(now, e, false)
}

// nextSendIn returns the time until the first of some endpoints takes a request from this
// box. It is 0 if one takes a request now, or if this box has no share at any.
func (g *sendGate) nextSendIn(now time.Time, all []routing.Endpoint) time.Duration {
	var first time.Duration
	for _, e := range all {
		wait, ok := g.limits.nextSendIn(now, e.ID)
		wait = max(wait, g.backoffs.remaining(now, e.ID))
		if ok && wait == 0 {
			return 0
		}
		if ok && (first == 0 || wait < first) {
			first = wait
		}
	}
	return first
}

func (g *sendGate) sweep(now time.Time) {
	g.backoffs.sweep(now)
	g.cold.sweep(now)
	g.limits.sweep(now)
	g.brittle.sweep(now)
}

// candidates returns the endpoints in the request's allowed regions that may take it now.
func (p *proxiedRequest) candidates(now time.Time) []routing.Endpoint {
	return p.allowedEndpoints(func(e routing.Endpoint) bool { return !p.gateway.sendGate.isExhausted(now, e) })
}

// unlimitedEndpoints returns the endpoints in the request's allowed regions without send limits.
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
