package gateway

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// placeTries bounds the endpoints that one request asks for a place: a thousand may be cold
// or limited at once, and to work out this box's share of each takes time.
const placeTries = 8

// gate stands before everything that this box sends to an endpoint: first and second
// sends, moves, sends that go on from a copy, questions for its load. What endpoints take
// is kept there, and nowhere else.
type gate struct {
	rests  *rests
	cold   *coldSends
	limits *limitedSends
}

func newGate(allowance routing.ColdAllowance, limits *fleet.Limits) *gate {
	return &gate{
		rests:  newRests(),
		cold:   newColdSends(allowance),
		limits: newLimitedSends(limits),
	}
}

// spent tells whether an endpoint is known to take nothing from this box now.
func (g *gate) spent(now time.Time, e routing.Endpoint) bool {
	return g.resting(now, e) || g.cold.spent(now, e) || g.limits.spent(now, e.ID)
}

// resting tells whether an endpoint wants nothing from this box now.
func (g *gate) resting(now time.Time, e routing.Endpoint) bool { return g.rests.left(now, e.ID) > 0 }

// restrained tells whether an endpoint has asked for fewer requests, or for none.
func (g *gate) restrained(now time.Time, e routing.Endpoint) bool {
	return g.resting(now, e) || g.limits.limited(now, e.ID)
}

// bounded tells whether an endpoint takes only some requests for now, or none.
func (g *gate) bounded(now time.Time, e routing.Endpoint) bool {
	return e.ColdAt(now) || g.restrained(now, e)
}

// hold keeps a place for a request that is planned; false says that there is none.
func (g *gate) hold(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	if g.resting(now, e) || !g.cold.hold(now, s, e) {
		return false
	}
	if !g.limits.hold(now, e.ID) {
		g.cold.drop(e)
		return false
	}
	return true
}

// drop gives a place back whose request isn't sent.
func (g *gate) drop(e routing.Endpoint) {
	g.cold.drop(e)
	g.limits.drop(e.ID)
}

// send counts a request that goes out now, for which a place was kept; false says that it
// may not.
func (g *gate) send(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	if g.resting(now, e) {
		g.drop(e)
		return false
	}
	if !g.limits.send(now, e.ID, true) {
		g.cold.drop(e)
		return false
	}
	return g.cold.send(now, s, e)
}

// move counts a call for a run's move at the engine that runs it; false says that the
// engine takes none now. A cold engine may be asked: that is no request to run.
func (g *gate) move(now time.Time, e routing.Endpoint) bool {
	return !g.resting(now, e) && g.limits.send(now, e.ID, false)
}

// check counts a question for an endpoint's load; false says that it may not be asked now.
func (g *gate) check(now time.Time, e routing.Endpoint) bool {
	return !g.resting(now, e) && g.limits.check(now, e.ID)
}

// freeIn gives when the first of some endpoints takes a request from this box again, or 0
// where this box can't tell.
func (g *gate) freeIn(now time.Time, all []routing.Endpoint) time.Duration {
	var first time.Duration
	for _, e := range all {
		in, ok := g.limits.freeIn(now, e.ID)
		in = max(in, g.rests.left(now, e.ID))
		if ok && in == 0 {
			return 0
		}
		if ok && (first == 0 || in < first) {
			first = in
		}
	}
	return first
}

func (g *gate) sweep(now time.Time) {
	g.rests.sweep(now)
	g.cold.sweep(now)
	g.limits.sweep(now)
}

// candidates gives the endpoints of the request's homes that may take it now.
func (p *passage) candidates(now time.Time) []routing.Endpoint {
	return p.allowed(func(e routing.Endpoint) bool { return !p.gateway.gate.spent(now, e) })
}

// unbounded gives the endpoints of the request's homes that take any number of requests.
func (p *passage) unbounded(now time.Time) []routing.Endpoint {
	return p.allowed(func(e routing.Endpoint) bool { return !p.gateway.gate.bounded(now, e) })
}

func (p *passage) allowed(fits func(routing.Endpoint) bool) []routing.Endpoint {
	all := p.gateway.view().Serving(p.service.Name)
	kept := func(e routing.Endpoint) bool { return p.homes.AllowsZone(e.Zone) && fits(e) }
	if !slices.ContainsFunc(all, func(e routing.Endpoint) bool { return !kept(e) }) {
		return all
	}
	return filter(all, kept)
}
