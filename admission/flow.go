package admission

import (
	"math"
	"time"
)

const (
	// flowTime is the time over which a flow is averaged: some prompts of even a small
	// group, and short against the minutes in which callers come and go.
	flowTime = 2 * time.Second
	// unseenMost bounds the age of what is known of an engine of another group. Its
	// reports come round in about a second; without any it may have joined just now.
	unseenMost = 1500 * time.Millisecond
	// unseenPart is how much of what came unseen still waits: some of it has been read
	// since. In virtual time, late first events with zones alike, and with one of 1.7
	// times the callers: 0.017 and 0.051 with 0, 0.000 and 0.004 with 0.5, 0.000 and
	// 0.026 with 1, at which the hot zone uses others' engines too seldom.
	unseenPart = 0.5
)

// flow is how much came in the last moments, exponentially averaged.
type flow struct {
	sum float64
	at  time.Time
}

func (f *flow) add(now time.Time, amount float64) {
	f.sum = f.sum*f.left(now) + amount
	f.at = now
}

// left gives the part of the sum that still counts.
func (f *flow) left(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(f.at)) / float64(flowTime))
}

// perSecond gives the flow.
func (f *flow) perSecond(now time.Time) float64 {
	return f.sum * f.left(now) / flowTime.Seconds()
}

// unseen estimates the tokens of prompts that the boxes of another group have placed on
// one of their engines since its last report, as if they had as many as this group has:
// nobody tells this box of those. Taken for as empty as their last reports say, engines of
// other zones are crowded, those that have just joined above all.
func (s *Balancer) unseen(now time.Time, l *endpointLoad) float64 {
	age := min(now.Sub(l.memoryAt), unseenMost)
	perEngine := s.flow.perSecond(now) / float64(max(len(s.share), 1))
	return unseenPart * perEngine * age.Seconds()
}
