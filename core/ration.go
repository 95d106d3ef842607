package core

import "time"

// RationRules say how what an endpoint bears is counted.
type RationRules struct {
	Window time.Duration // in which no more than the share are sent
	Hold   time.Duration // how long a send that was planned keeps its place
}

// DefaultRationRules count a second and what two sends' ways to an endpoint may differ by.
// A planned send keeps its place as long as the longest plan lasts: a run's move, of 2.5 s,
// and the wait for its copy.
func DefaultRationRules() RationRules {
	return RationRules{
		Window: 1100 * time.Millisecond,
		Hold:   4500 * time.Millisecond,
	}
}

// Ration counts one box's sends to one endpoint that bears only some in a second.
type Ration struct {
	rules RationRules
	sent  []time.Time // in the last window, oldest first
	held  []time.Time // when planned ones took their places, oldest first
}

// NewRation builds a ration of which nothing is spent.
func NewRation(rules RationRules) *Ration { return &Ration{rules: rules} }

// Free tells whether one more send fits into the box's share.
func (r *Ration) Free(now time.Time, share int) bool {
	r.sent = since(r.sent, now.Add(-r.rules.Window))
	r.held = since(r.held, now.Add(-r.rules.Hold))
	return len(r.sent)+len(r.held) < share
}

// Hold keeps a place for a send that is planned, if one is free.
func (r *Ration) Hold(now time.Time, share int) bool {
	if !r.Free(now, share) {
		return false
	}
	r.held = append(r.held, now)
	return true
}

// Drop gives a place back that was kept.
func (r *Ration) Drop() {
	if len(r.held) > 0 {
		r.held = r.held[1:]
	}
}

// Send counts a send, which takes a place that was kept for it or a free one; false says
// that there is none.
func (r *Ration) Send(now time.Time, share int, held bool) bool {
	if held {
		r.Drop()
	}
	if !r.Free(now, share) {
		return false
	}
	r.sent = append(r.sent, now)
	return true
}

// Idle tells whether nothing is counted any more.
func (r *Ration) Idle(now time.Time) bool {
	r.Free(now, 0)
	return len(r.sent)+len(r.held) == 0
}

// since drops the times that aren't after a time.
func since(times []time.Time, after time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(after) {
		times = times[1:]
	}
	return times
}
