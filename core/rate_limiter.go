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
func (r RateLimiterRules) SplitRate(perSecond float64) (units int, interval time.Duration) {
	if perSecond <= 0 {
		return 0, r.UnitInterval
	}
	units = int(min(perSecond*r.UnitInterval.Seconds(), float64(r.MaxUnits)))
	units = max(units, 1)
	seconds := min(float64(units)/perSecond, maxUnitInterval.Seconds())
	return units, time.Duration(seconds * float64(time.Second))
}

// maxUnitInterval bounds the time between two sends to an endpoint that takes next to nothing.
const maxUnitInterval = 10 * time.Minute

// RateLimiter keeps one box's sends to an endpoint that takes a rate only: each of the box's
// units is used once in a while, and the units take turns, so that neither the begin of a
// limit nor the end of a lull sends all at once.
type RateLimiter struct {
	rules        RateLimiterRules
	random       func() float64
	interval     time.Duration
	lastUsed     []time.Time // when each unit was used last
	reservations []time.Time // when planned sends took theirs, oldest first
}

// NewRateLimiter builds one without units. Draw gives numbers from 0 to 1 that set the turns of
// boxes apart.
func NewRateLimiter(rules RateLimiterRules, random func() float64) *RateLimiter {
	return &RateLimiter{
		rules:  rules,
		random: random,
	}
}

// Set takes how many units are this box's, and after how long each may be used again.
func (l *RateLimiter) Set(now time.Time, share int, interval time.Duration) {
	l.interval = interval
	for len(l.lastUsed) > share {
		l.dropLeastRecentlyUsed()
	}
	// Another box may have used a unit a moment ago.
	added := share - len(l.lastUsed)
	for i := range added {
		elapsed := (float64(i) + l.random()) / float64(added)
		l.lastUsed = append(l.lastUsed, now.Add(-time.Duration(elapsed*float64(interval))))
	}
}

// dropLeastRecentlyUsed gives up the unit that was used longest ago: what was sent lately counts on.
func (l *RateLimiter) dropLeastRecentlyUsed() {
	oldest := 0
	for i, at := range l.lastUsed {
		if at.Before(l.lastUsed[oldest]) {
			oldest = i
		}
	}
	l.lastUsed = append(l.lastUsed[:oldest], l.lastUsed[oldest+1:]...)
}

// CanReserve tells whether one more send may be planned.
func (l *RateLimiter) CanReserve(now time.Time) bool {
	l.reservations = dropUntil(l.reservations, now.Add(-l.rules.ReservationLifetime))
	return l.countReady(now) > len(l.reservations)
}

func (l *RateLimiter) countReady(now time.Time) int {
	n := 0
	for _, at := range l.lastUsed {
		if now.Sub(at) >= l.interval {
			n++
		}
	}
	return n
}

// Reserve keeps a unit for a send that is planned, if one is free.
func (l *RateLimiter) Reserve(now time.Time) bool {
	if !l.CanReserve(now) {
		return false
	}
	l.reservations = append(l.reservations, now)
	return true
}

// CancelReservation gives a unit back that was kept.
func (l *RateLimiter) CancelReservation() {
	if len(l.reservations) > 0 {
		l.reservations = l.reservations[1:]
	}
}

// Acquire uses a unit, which was kept for the send or is free; false says that there is none.
func (l *RateLimiter) Acquire(now time.Time, reserved bool) bool {
	if reserved {
		l.CancelReservation()
	}
	if !l.CanReserve(now) {
		return false
	}
	for i, at := range l.lastUsed {
		if now.Sub(at) >= l.interval {
			l.lastUsed[i] = now
			break
		}
	}
	return true
}

// Next gives when one more send may be planned, or tells that the box has no unit.
func (l *RateLimiter) Next(now time.Time) (time.Duration, bool) {
	if len(l.lastUsed) == 0 {
		return 0, false
	}
	if l.CanReserve(now) {
		return 0, true
	}
	next := maxUnitInterval
	for _, at := range l.lastUsed {
		if remaining := l.interval - now.Sub(at); remaining > 0 {
			next = min(next, remaining)
		}
	}
	return min(next, l.interval), true
}

// IsIdle tells whether nothing is counted any more.
func (l *RateLimiter) IsIdle(now time.Time) bool {
	return l.CanReserve(now) && len(l.reservations) == 0 && l.countReady(now) == len(l.lastUsed)
}
