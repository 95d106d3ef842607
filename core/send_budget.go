package core

import "time"

// SendBudgetRules configure how sends to an endpoint are counted.
type SendBudgetRules struct {
	Window              time.Duration // sliding window of the budget
	ReservationLifetime time.Duration // age at which an unused reservation expires
}

// DefaultSendBudgetRules returns rules for budgets per second. The window is a little
// longer, since sends may take different times to reach the endpoint. ReservationLifetime
// covers the longest delay between plan and send: the move of a running request, which may
// take 2.5 s (the gateway's moveTimeout), and the wait for its copy.
func DefaultSendBudgetRules() SendBudgetRules {
	return SendBudgetRules{
		Window:              1100 * time.Millisecond,
		ReservationLifetime: 4500 * time.Millisecond,
	}
}

// SendBudget limits the number of one box's sends to an endpoint within a sliding window.
type SendBudget struct {
	rules        SendBudgetRules
	sent         []time.Time // sends within the window, oldest first
	reservations []time.Time // when each was made, oldest first
}

// NewSendBudget returns a budget of which nothing is spent.
func NewSendBudget(rules SendBudgetRules) *SendBudget { return &SendBudget{rules: rules} }

// CanReserve reports whether the box's share has room for one more send.
func (b *SendBudget) CanReserve(now time.Time, share int) bool {
	b.sent = dropUntil(b.sent, now.Add(-b.rules.Window))
	b.reservations = dropUntil(b.reservations, now.Add(-b.rules.ReservationLifetime))
	return len(b.sent)+len(b.reservations) < share
}

// Reserve reserves room for a planned send and reports whether there was any.
func (b *SendBudget) Reserve(now time.Time, share int) bool {
	if !b.CanReserve(now, share) {
		return false
	}
	b.reservations = append(b.reservations, now)
	return true
}

// CancelReservation cancels the oldest reservation.
func (b *SendBudget) CancelReservation() {
	if len(b.reservations) > 0 {
		b.reservations = b.reservations[1:]
	}
}

// Acquire counts a send, in place of a reservation if there is one for it. It reports false
// if the share has no room.
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

// IsIdle reports whether there are neither sends in the window nor reservations.
func (b *SendBudget) IsIdle(now time.Time) bool {
	b.CanReserve(now, 0)
	return len(b.sent)+len(b.reservations) == 0
}

// dropUntil removes leading times up to and including the cutoff.
func dropUntil(times []time.Time, cutoff time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(cutoff) {
		times = times[1:]
	}
	return times
}
