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
	rules SendBudgetRules
	sent  []time.Time // in the last window, oldest first
	held  []time.Time // when planned ones took their places, oldest first
}

// NewSendBudget builds a ration of which nothing is spent.
func NewSendBudget(rules SendBudgetRules) *SendBudget { return &SendBudget{rules: rules} }

// CanReserve tells whether one more send fits into the box's share.
func (r *SendBudget) CanReserve(now time.Time, share int) bool {
	r.sent = since(r.sent, now.Add(-r.rules.Window))
	r.held = since(r.held, now.Add(-r.rules.ReservationLifetime))
	return len(r.sent)+len(r.held) < share
}

// Reserve keeps a place for a send that is planned, if one is free.
func (r *SendBudget) Reserve(now time.Time, share int) bool {
	if !r.CanReserve(now, share) {
		return false
	}
	r.held = append(r.held, now)
	return true
}

// CancelReservation gives a place back that was kept.
func (r *SendBudget) CancelReservation() {
	if len(r.held) > 0 {
		r.held = r.held[1:]
	}
}

// Acquire counts a send, which takes a place that was kept for it or a free one; false says
// that there is none.
func (r *SendBudget) Acquire(now time.Time, share int, held bool) bool {
	if held {
		r.CancelReservation()
	}
	if !r.CanReserve(now, share) {
		return false
	}
	r.sent = append(r.sent, now)
	return true
}

// IsIdle tells whether nothing is counted any more.
func (r *SendBudget) IsIdle(now time.Time) bool {
	r.CanReserve(now, 0)
	return len(r.sent)+len(r.held) == 0
}

// since drops the times that aren't after a time.
func since(times []time.Time, after time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(after) {
		times = times[1:]
	}
	return times
}
