package admission

import (
	"math"
	"time"
)

const (
	// flowWindow is the time over which a flow is averaged: some prompts of even a small
	// group, and short against the minutes in which callers come and go.
	flowWindow = 2 * time.Second
	// maxUnreportedAge bounds the age of what is known of an engine of another group. Its
	// reports come round in about a second; without any it may have joined just now.
	maxUnreportedAge = 1500 * time.Millisecond
	// unreportedFraction is how much of what came unseen still waits: some of it has been read
	// since. In virtual time, late first events with zones alike, and with one of 1.7
	// times the callers: 0.017 and 0.051 with 0, 0.000 and 0.004 with 0.5, 0.000 and
	// 0.026 with 1, at which the hot zone uses others' engines too seldom.
	unreportedFraction = 0.5
)

// flow is how much came in the last moments, exponentially averaged.
type flow struct {
	sum float64
	at  time.Time
}

func (f *flow) add(now time.Time, amount float64) {
	f.sum = f.sum*f.decayFactor(now) + amount
	f.at = now
}

// decayFactor gives the part of the sum that still counts.
func (f *flow) decayFactor(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(f.at)) / float64(flowWindow))
}

// perSecond gives the flow.
func (f *flow) perSecond(now time.Time) float64 {
	return f.sum * f.decayFactor(now) / flowWindow.Seconds()
}

// unreportedPromptTokens estimates the tokens of prompts that the boxes of another group have placed on
// one of their engines since its last report, as if they had as many as this group has:
// nobody tells this box of those. Taken for as empty as their last reports say, engines of
// other zones are crowded, those that have just joined above all.
func (s *Balancer) unreportedPromptTokens(now time.Time, l *endpointLoad) float64 {
	age := min(now.Sub(l.reportAt), maxUnreportedAge)
	perEngine := s.flow.perSecond(now) / float64(max(len(s.groupEngines), 1))
	return unreportedFraction * perEngine * age.Seconds()
}
