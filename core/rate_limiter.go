package core

import "time"

// RateLimiterRules configure how a rate is divided into units and enforced.
type RateLimiterRules struct {
	UnitInterval        time.Duration // approximate interval between two uses of a unit
	MaxUnits            int           // maximum number of units, to keep dividing them cheap
	ReservationLifetime time.Duration // age at which an unused reservation expires
}

// DefaultRateLimiterRules returns rules for endpoints that enforce their limits over
// windows of four seconds: with a longer UnitInterval no unit counts twice in a window.
// ReservationLifetime is that of DefaultSendBudgetRules.
func DefaultRateLimiterRules() RateLimiterRules {
	return RateLimiterRules{
		UnitInterval:        5 * time.Second,
		MaxUnits:            256,
		ReservationLifetime: 4500 * time.Millisecond,
	}
}

// SplitRate divides a rate into units. It returns their number and the interval after which
// each may be used again.
func (r RateLimiterRules) SplitRate(perSecond float64) (units int, interval time.Duration) {
	if perSecond <= 0 {
		return 0, r.UnitInterval
	}
	units = int(min(perSecond*r.UnitInterval.Seconds(), float64(r.MaxUnits)))
	units = max(units, 1)
	seconds := min(float64(units)/perSecond, maxUnitInterval.Seconds())
	return units, time.Duration(seconds * float64(time.Second))
}

// maxUnitInterval bounds the interval between sends for very low rates.
const maxUnitInterval = 10 * time.Minute

// RateLimiter limits one box's sends to an endpoint to its share of a rate. The share is a
// number of units, each good for one send per interval. Units become free one after the
// other, so neither a new limit nor the end of an idle period causes a burst.
type RateLimiter struct {
	rules        RateLimiterRules
	random       func() float64
	interval     time.Duration
	lastUsed     []time.Time // last use of each unit
	reservations []time.Time // when each was made, oldest first
}

// NewRateLimiter returns a limiter without units. The function random returns numbers in
// [0, 1), which spread the sends of different boxes over the interval.
func NewRateLimiter(rules RateLimiterRules, random func() float64) *RateLimiter {
	return &RateLimiter{
		rules:  rules,
		random: random,
	}
}

// Set changes the box's number of units and the interval after which each may be used again.
func (l *RateLimiter) Set(now time.Time, share int, interval time.Duration) {
	l.interval = interval
	for len(l.lastUsed) > share {
		l.dropLeastRecentlyUsed()
	}
	// Another box may just have used an added unit, so each waits for part of an interval.
	added := share - len(l.lastUsed)
	for i := range added {
		elapsed := (float64(i) + l.random()) / float64(added)
		l.lastUsed = append(l.lastUsed, now.Add(-time.Duration(elapsed*float64(interval))))
	}
}

// dropLeastRecentlyUsed removes the unit that was used longest ago, so that recent sends
// still count.
func (l *RateLimiter) dropLeastRecentlyUsed() {
	oldest := 0
	for i, at := range l.lastUsed {
		if at.Before(l.lastUsed[oldest]) {
			oldest = i
		}
	}
	l.lastUsed = append(l.lastUsed[:oldest], l.lastUsed[oldest+1:]...)
}

// CanReserve reports whether a unit is free for one more send.
func (l *RateLimiter) CanReserve(now time.Time) bool {
	l.reservations = dropUntil(l.reservations, now.Add(-l.rules.ReservationLifetime))
	return l.countReady(now) > len(l.reservations)
}

// countReady returns the number of units that may be used again.
func (l *RateLimiter) countReady(now time.Time) int {
	n := 0
	for _, at := range l.lastUsed {
		if now.Sub(at) >= l.interval {
			n++
		}
	}
	return n
}

// Reserve reserves a unit for a planned send and reports whether one was free.
func (l *RateLimiter) Reserve(now time.Time) bool {
	if !l.CanReserve(now) {
		return false
	}
	l.reservations = append(l.reservations, now)
	return true
}

// CancelReservation cancels the oldest reservation.
func (l *RateLimiter) CancelReservation() {
	if len(l.reservations) > 0 {
		l.reservations = l.reservations[1:]
	}
}

// Acquire uses a unit for a send, in place of a reservation if there is one for it. It
// reports false if no unit is free.
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

// Next returns the time until a unit may be free, or false if the box has no unit.
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

// IsIdle reports whether all units are free and none is reserved.
func (l *RateLimiter) IsIdle(now time.Time) bool {
	return l.CanReserve(now) && len(l.reservations) == 0 && l.countReady(now) == len(l.lastUsed)
}
