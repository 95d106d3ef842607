package core

import "time"

// RateLimiterRules say how a rate that is divided among boxes is kept.
type RateLimiterRules struct {
	UnitInterval        time.Duration // about how long one unit, a send, lasts
	MaxUnits            int           // units at most, so that to divide them stays cheap
	ReservationLifetime time.Duration // how long a send that was planned keeps its unit
}

// DefaultRateLimiterRules keep rates that endpoints judge over four seconds: a unit lasts longer
// than that, so that none counts twice. A planned send keeps its unit as long as the
// longest plan lasts, as in DefaultRationRules.
func DefaultRateLimiterRules() RateLimiterRules {
	return RateLimiterRules{
		UnitInterval:        5 * time.Second,
		MaxUnits:            256,
		ReservationLifetime: 4500 * time.Millisecond,
	}
}

// SplitRate divides a rate: into how many sends, and after how long each may be repeated.
func (r RateLimiterRules) SplitRate(perSecond float64) (units int, each time.Duration) {
	if perSecond <= 0 {
		return 0, r.UnitInterval
	}
	units = int(min(perSecond*r.UnitInterval.Seconds(), float64(r.MaxUnits)))
	units = max(units, 1)
	seconds := min(float64(units)/perSecond, mostPause.Seconds())
	return units, time.Duration(seconds * float64(time.Second))
}

// mostPause bounds the time between two sends to an endpoint that takes next to nothing.
const mostPause = 10 * time.Minute

// RateLimiter keeps one box's sends to an endpoint that takes a rate only: each of the box's
// units is used once in a while, and the units take turns, so that neither the begin of a
// limit nor the end of a lull sends all at once.
type RateLimiter struct {
	rules RateLimiterRules
	draw  func() float64
	each  time.Duration
	used  []time.Time // when each unit was used last
	held  []time.Time // when planned sends took theirs, oldest first
}

// NewRateLimiter builds one without units. Draw gives numbers from 0 to 1 that set the turns of
// boxes apart.
func NewRateLimiter(rules RateLimiterRules, draw func() float64) *RateLimiter {
	return &RateLimiter{
		rules: rules,
		draw:  draw,
	}
}

// Set takes how many units are this box's, and after how long each may be used again.
func (p *RateLimiter) Set(now time.Time, share int, each time.Duration) {
	p.each = each
	for len(p.used) > share {
		p.dropIdlest()
	}
	// Another box may have used a unit a moment ago.
	added := share - len(p.used)
	for i := range added {
		rest := (float64(i) + p.draw()) / float64(added)
		p.used = append(p.used, now.Add(-time.Duration(rest*float64(each))))
	}
}

// dropIdlest gives up the unit that was used longest ago: what was sent lately counts on.
func (p *RateLimiter) dropIdlest() {
	idlest := 0
	for i, at := range p.used {
		if at.Before(p.used[idlest]) {
			idlest = i
		}
	}
	p.used = append(p.used[:idlest], p.used[idlest+1:]...)
}

// CanReserve tells whether one more send may be planned.
func (p *RateLimiter) CanReserve(now time.Time) bool {
	p.held = since(p.held, now.Add(-p.rules.ReservationLifetime))
	return p.ready(now) > len(p.held)
}

func (p *RateLimiter) ready(now time.Time) int {
	n := 0
	for _, at := range p.used {
		if now.Sub(at) >= p.each {
			n++
		}
	}
	return n
}

// Reserve keeps a unit for a send that is planned, if one is free.
func (p *RateLimiter) Reserve(now time.Time) bool {
	if !p.CanReserve(now) {
		return false
	}
	p.held = append(p.held, now)
	return true
}

// CancelReservation gives a unit back that was kept.
func (p *RateLimiter) CancelReservation() {
	if len(p.held) > 0 {
		p.held = p.held[1:]
	}
}

// Acquire uses a unit, which was kept for the send or is free; false says that there is none.
func (p *RateLimiter) Acquire(now time.Time, held bool) bool {
	if held {
		p.CancelReservation()
	}
	if !p.CanReserve(now) {
		return false
	}
	for i, at := range p.used {
		if now.Sub(at) >= p.each {
			p.used[i] = now
			break
		}
	}
	return true
}

// Next gives when one more send may be planned, or tells that the box has no unit.
func (p *RateLimiter) Next(now time.Time) (time.Duration, bool) {
	if len(p.used) == 0 {
		return 0, false
	}
	if p.CanReserve(now) {
		return 0, true
	}
	next := mostPause
	for _, at := range p.used {
		if left := p.each - now.Sub(at); left > 0 {
			next = min(next, left)
		}
	}
	return min(next, p.each), true
}

// IsIdle tells whether nothing is counted any more.
func (p *RateLimiter) IsIdle(now time.Time) bool {
	return p.CanReserve(now) && len(p.held) == 0 && p.ready(now) == len(p.used)
}
