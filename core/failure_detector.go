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
	rules     FailureDetectorRules
	monitored map[string]*intervalStats
	reported  map[string]time.Time
}

type intervalStats struct {
	lastHeartbeat time.Time
	mean          float64
	variance      float64
}

// intervalWeight is the weight of the newest interval.
const intervalWeight = 0.1

// NewFailureDetector starts with no box watched.
func NewFailureDetector(rules FailureDetectorRules) *FailureDetector {
	return &FailureDetector{
		rules:     rules,
		monitored: make(map[string]*intervalStats),
		reported:  make(map[string]time.Time),
	}
}

// Step applies one event.
func (d *FailureDetector) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HeartbeatExpected:
		if d.monitored[e.Box] == nil {
			d.monitored[e.Box] = &intervalStats{
				lastHeartbeat: now,
				mean:          1,
			}
		}
	case HeartbeatReceived:
		d.recordHeartbeat(now, e.Box)
	case SuspectsReported:
		for _, box := range e.Boxes {
			d.reported[box] = now
		}
	}
	return nil
}

func (d *FailureDetector) recordHeartbeat(now time.Time, box string) {
	delete(d.reported, box)
	stats := d.monitored[box]
	if stats == nil {
		stats = &intervalStats{mean: 1}
		d.monitored[box] = stats
	} else if !stats.lastHeartbeat.IsZero() {
		deviation := now.Sub(stats.lastHeartbeat).Seconds() - stats.mean
		stats.mean += intervalWeight * deviation
		stats.variance += intervalWeight * (deviation*deviation - stats.variance)
	}
	stats.lastHeartbeat = now
}

// Retain stops watching all but the named boxes.
func (d *FailureDetector) Retain(boxes []string) {
	for name := range d.monitored {
		if !slices.Contains(boxes, name) {
			delete(d.monitored, name)
		}
	}
}

// OwnSuspects gives the boxes that this box itself finds silent.
func (d *FailureDetector) OwnSuspects(now time.Time) []string {
	var silent []string
	for name, stats := range d.monitored {
		maxSilence := stats.mean + d.rules.MaxDeviations*math.Sqrt(stats.variance)
		if silence := now.Sub(stats.lastHeartbeat); silence > d.rules.MinSilence && silence.Seconds() > maxSilence {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// Suspects gives the boxes that this box or a peer suspects; one's own fresh sight
// of a box goes before a peer's suspicion.
func (d *FailureDetector) Suspects(now time.Time) []string {
	all := d.OwnSuspects(now)
	for name, at := range d.reported {
		if now.Sub(at) > d.rules.ReportLifetime {
			delete(d.reported, name)
			continue
		}
		if stats := d.monitored[name]; stats != nil && now.Sub(stats.lastHeartbeat) < d.rules.MinSilence {
			continue
		}
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}
