package core

import (
	"math"
	"slices"
	"time"
)

// FailureDetectorRules bound when a silent box is suspected.
type FailureDetectorRules struct {
	MinSilence     time.Duration // silence that is never suspect
	MaxDeviations  float64       // silence in deviations of the usual interval
	ReportLifetime time.Duration // how long another's suspicion counts
}

// DefaultFailureDetectorRules gives the bounds that the processes use.
func DefaultFailureDetectorRules() FailureDetectorRules {
	return FailureDetectorRules{
		MinSilence:     2500 * time.Millisecond,
		MaxDeviations:  6,
		ReportLifetime: 5 * time.Second,
	}
}

// HeartbeatReceived tells that a box answered a heartbeat.
type HeartbeatReceived struct {
	EventBase
	Box string
}

// HeartbeatExpected tells that a box is watched from now on.
type HeartbeatExpected struct {
	EventBase
	Box string
}

// SuspectsReported tells whom a peer suspects from its own observation.
type SuspectsReported struct {
	EventBase
	From  string
	Boxes []string
}

// FailureDetector says which boxes are likely dead: by the rhythm of each box's own
// heartbeats and not by one time-out for all.
type FailureDetector struct {
	rules   FailureDetectorRules
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

// NewFailureDetector starts with no box watched.
func NewFailureDetector(rules FailureDetectorRules) *FailureDetector {
	return &FailureDetector{
		rules:   rules,
		watched: make(map[string]*rhythm),
		heard:   make(map[string]time.Time),
	}
}

// Step applies one event.
func (s *FailureDetector) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HeartbeatExpected:
		if s.watched[e.Box] == nil {
			s.watched[e.Box] = &rhythm{
				last: now,
				mean: 1,
			}
		}
	case HeartbeatReceived:
		s.seen(now, e.Box)
	case SuspectsReported:
		for _, box := range e.Boxes {
			s.heard[box] = now
		}
	}
	return nil
}

func (s *FailureDetector) seen(now time.Time, box string) {
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

// Retain stops watching all but the named boxes.
func (s *FailureDetector) Retain(boxes []string) {
	for name := range s.watched {
		if !slices.Contains(boxes, name) {
			delete(s.watched, name)
		}
	}
}

// OwnSuspects gives the boxes that this box itself finds silent.
func (s *FailureDetector) OwnSuspects(now time.Time) []string {
	var silent []string
	for name, r := range s.watched {
		limit := r.mean + s.rules.MaxDeviations*math.Sqrt(r.variance)
		if silence := now.Sub(r.last); silence > s.rules.MinSilence && silence.Seconds() > limit {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// Suspects gives the boxes that this box or a peer suspects; one's own fresh sight
// of a box goes before a peer's suspicion.
func (s *FailureDetector) Suspects(now time.Time) []string {
	all := s.OwnSuspects(now)
	for name, at := range s.heard {
		if now.Sub(at) > s.rules.ReportLifetime {
			delete(s.heard, name)
			continue
		}
		if r := s.watched[name]; r != nil && now.Sub(r.last) < s.rules.MinSilence {
			continue
		}
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}
