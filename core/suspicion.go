package core

import (
	"math"
	"slices"
	"time"
)

// SuspicionRules bound when a silent box is suspected.
type SuspicionRules struct {
	Least      time.Duration // silence that is never suspect
	Deviations float64       // silence in deviations of the usual interval
	HeardFor   time.Duration // how long another's suspicion counts
}

// DefaultSuspicionRules gives the bounds that the processes use.
func DefaultSuspicionRules() SuspicionRules {
	return SuspicionRules{
		Least:      2500 * time.Millisecond,
		Deviations: 6,
		HeardFor:   5 * time.Second,
	}
}

// HeartbeatSeen tells that a box answered a heartbeat.
type HeartbeatSeen struct {
	EventBase
	Box string
}

// HeartbeatAwaited tells that a box is watched from now on.
type HeartbeatAwaited struct {
	EventBase
	Box string
}

// SuspectsHeard tells whom a peer suspects from its own observation.
type SuspectsHeard struct {
	EventBase
	From  string
	Boxes []string
}

// Suspicion says which boxes are likely dead: by the rhythm of each box's own
// heartbeats and not by one time-out for all.
type Suspicion struct {
	rules   SuspicionRules
	watched map[string]*rhythm
	heard   map[string]time.Time
}

type rhythm struct {
	last     time.Time
	mean     float64
	variance float64
}

// rhythmWeight is the weight of the newest interval.
const rhythmWeight = 0.1

// NewSuspicion starts with no box watched.
func NewSuspicion(rules SuspicionRules) *Suspicion {
	return &Suspicion{
		rules:   rules,
		watched: make(map[string]*rhythm),
		heard:   make(map[string]time.Time),
	}
}

// Step applies one event.
func (s *Suspicion) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HeartbeatAwaited:
		if s.watched[e.Box] == nil {
			s.watched[e.Box] = &rhythm{
				last: now,
				mean: 1,
			}
		}
	case HeartbeatSeen:
		s.seen(now, e.Box)
	case SuspectsHeard:
		for _, box := range e.Boxes {
			s.heard[box] = now
		}
	}
	return nil
}

func (s *Suspicion) seen(now time.Time, box string) {
	delete(s.heard, box)
	r := s.watched[box]
	if r == nil {
		r = &rhythm{mean: 1}
		s.watched[box] = r
	} else if !r.last.IsZero() {
		off := now.Sub(r.last).Seconds() - r.mean
		r.mean += rhythmWeight * off
		r.variance += rhythmWeight * (off*off - r.variance)
	}
	r.last = now
}

// Keep stops watching all but the named boxes.
func (s *Suspicion) Keep(boxes []string) {
	for name := range s.watched {
		if !slices.Contains(boxes, name) {
			delete(s.watched, name)
		}
	}
}

// Own gives the boxes that this box itself finds silent.
func (s *Suspicion) Own(now time.Time) []string {
	var silent []string
	for name, r := range s.watched {
		limit := r.mean + s.rules.Deviations*math.Sqrt(r.variance)
		if silence := now.Sub(r.last); silence > s.rules.Least && silence.Seconds() > limit {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// All gives the boxes that this box or a peer suspects; one's own fresh sight
// of a box goes before a peer's suspicion.
func (s *Suspicion) All(now time.Time) []string {
	all := s.Own(now)
	for name, at := range s.heard {
		if now.Sub(at) > s.rules.HeardFor {
			delete(s.heard, name)
			continue
		}
		if r := s.watched[name]; r != nil && now.Sub(r.last) < s.rules.Least {
			continue
		}
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}
