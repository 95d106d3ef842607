package core

import "time"

// SendBudgetRules say how what an endpoint bears is counted.
type SendBudgetRules struct {
	Window              time.Duration // in which no more than the share are sent
	ReservationLifetime time.Duration // how long a send that was planned keeps its place
}

// DefaultSendBudgetRules count a second and what two sends' ways to an endpoint may differ by.
// A planned send keeps its place as long as the longest plan lasts: a run's move, of 2.5 s,
// and the wait for its copy.
func DefaultSendBudgetRules() SendBudgetRules {
	return SendBudgetRules{
		Window:              1100 * time.Millisecond,
		ReservationLifetime: 4500 * time.Millisecond,
	}
}

// SendBudget counts one box's sends to one endpoint that bears only some in a second.
type SendBudget struct {
	rules        SendBudgetRules
	sent         []time.Time // in the last window, oldest first
	reservations []time.Time // when planned ones took their places, oldest first
}

// NewSendBudget builds a ration of which nothing is spent.
func NewSendBudget(rules SendBudgetRules) *SendBudget { return &SendBudget{rules: rules} }

// CanReserve tells whether one more send fits into the box's share.
func (b *SendBudget) CanReserve(now time.Time, share int) bool {
	b.sent = dropUntil(b.sent, now.Add(-b.rules.Window))
	b.reservations = dropUntil(b.reservations, now.Add(-b.rules.ReservationLifetime))
	return len(b.sent)+len(b.reservations) < share
}

// Reserve keeps a place for a send that is planned, if one is free.
func (b *SendBudget) Reserve(now time.Time, share int) bool {
	if !b.CanReserve(now, share) {
		return false
	}
	b.reservations = append(b.reservations, now)
	return true
}

// CancelReservation gives a place back that was kept.
func (b *SendBudget) CancelReservation() {
	if len(b.reservations) > 0 {
		b.reservations = b.reservations[1:]
	}
}

// Acquire counts a send, which takes a place that was kept for it or a free one; false says
// that there is none.
func (b *SendBudget) Acquire(now time.Time, share int, reserved bool) bool {
	if reserved {
		b.CancelReservation()
	}
	if !b.CanReserve(now, share) {
		return false
	}
	b.sent = append(b.sent, now)
	return true
}

// IsIdle tells whether nothing is counted any more.
func (b *SendBudget) IsIdle(now time.Time) bool {
	b.CanReserve(now, 0)
	return len(b.sent)+len(b.reservations) == 0
}

// dropUntil drops the times that aren't after a time.
func dropUntil(times []time.Time, cutoff time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(cutoff) {
		times = times[1:]
	}
	return times
}
