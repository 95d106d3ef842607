package core

import (
	"math"
	"slices"
	"time"
)

// FailureDetectorRules configure when a silent box is suspected.
type FailureDetectorRules struct {
	MinSilence     time.Duration // a shorter silence is never suspicious
	MaxDeviations  float64       // standard deviations above the mean heartbeat interval that are tolerated
	ReportLifetime time.Duration // how long a peer's report of a suspect counts
}

// DefaultFailureDetectorRules returns the rules used in production.
func DefaultFailureDetectorRules() FailureDetectorRules {
	return FailureDetectorRules{
		MinSilence:     2500 * time.Millisecond,
		MaxDeviations:  6,
		ReportLifetime: 5 * time.Second,
	}
}

// HeartbeatReceived reports that a box answered a heartbeat.
type HeartbeatReceived struct {
	EventBase
	Box string
}

// HeartbeatExpected reports that heartbeats of a box are expected from now on.
type HeartbeatExpected struct {
	EventBase
	Box string
}

// SuspectsReported reports the boxes that a peer suspects by its own observation.
type SuspectsReported struct {
	EventBase
	From  string
	Boxes []string
}

// FailureDetector suspects boxes that have been silent for too long, compared with the
// mean and variance of their own heartbeat intervals instead of a fixed timeout.
type FailureDetector struct {
	rules     FailureDetectorRules
	monitored map[string]*intervalStats
	reported  map[string]time.Time // when a peer last reported the box as suspect
}

// intervalStats holds moving averages of a box's heartbeat interval, in seconds.
type intervalStats struct {
	lastHeartbeat time.Time
	mean          float64
	variance      float64
}

// intervalWeight is the weight of the newest interval in the moving averages.
const intervalWeight = 0.1

// NewFailureDetector returns a detector that monitors no box.
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

// Retain stops monitoring all boxes but the named ones.
func (d *FailureDetector) Retain(boxes []string) {
	for name := range d.monitored {
		if !slices.Contains(boxes, name) {
			delete(d.monitored, name)
		}
	}
}

// OwnSuspects returns the boxes that this box itself finds silent, sorted.
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

// Suspects returns the boxes that this box or a peer suspects, sorted. A peer's report is
// ignored for a box that this one heard of within MinSilence.
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
