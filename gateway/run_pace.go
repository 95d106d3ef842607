package gateway

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/fleet"
)

const (
	// paceIntervals is the number of intervals at the beginning of a run from which the pace
	// of its engine is computed.
	paceIntervals = 15
	// minPaceIntervals is the number of intervals that a shorter run must have.
	minPaceIntervals = 4
	// maxPassTime is how long passing an event to the caller may take in a run that is observed.
	// It takes longer if the caller reads slowly, and then the next intervals aren't the engine's.
	maxPassTime = 10 * time.Millisecond
)

// runPace observes how fast and steadily the engine of the current run generates.
type runPace struct {
	isCounted   bool // the run counts as a pause-sensitive stream that has met its target so far
	isObserved  bool // the run's intervals are observed
	isExposed   bool // no pause of the run has exceeded the target, so its exposures are counted
	prompts     int  // sent to the engine before the run's first event
	lastEventAt time.Time
	intervals   []time.Duration // the run's first ones, up to paceIntervals
	isLearned   bool            // this box has learned the pace
	unsent      time.Duration   // the pace that the group is notified of when the run ends
}

// addTargets adds to a requirement what the cost of missed targets needs, if endpoints of the
// service report slowdowns. It is safe for concurrent use with the stream.
func (p *proxiedRequest) addTargets(req *admission.Requirements) {
	now := time.Now()
	if !p.gateway.slowdowns.isRecent(now, p.service.Name) {
		return
	}
	passed := int(p.sharedEvents.Load())
	req.Size = p.expectedOutput()
	req.ExpectedEvents = max(req.Size/max(p.service.Engine.EventTokens, 1)-passed, 1)
	req.PauseSensitive = p.route.PauseTarget > 0 && !p.missedPause.Load()
	if p.route.LatencyTarget > 0 && passed == 0 {
		req.LatencyTarget = max(p.route.LatencyTarget-now.Sub(p.start), 0)
	}
}

// isPauseSensitive reports whether the pauses of the current run are observed. The run of a
// prompt of unknown size is not: it can't be announced to the group.
func (p *proxiedRequest) isPauseSensitive(now time.Time) bool {
	return p.announcedTokens > 0 && p.route.PauseTarget > 0 && p.gateway.slowdowns.isRecent(now, p.service.Name)
}

// beginPace begins the observation of a run that was just announced, and reports whether it is
// a pause-sensitive one whose stream has met its target so far.
func (p *proxiedRequest) beginPace(now time.Time) bool {
	p.pace = runPace{isCounted: p.isPauseSensitive(now) && !p.missedPause.Load()}
	if p.pace.isCounted {
		p.gateway.balancer.BeginStream(now, p.endpoint.ID, p.announcedTokens, p.expectedOutput(), false)
	}
	return p.pace.isCounted
}

// recordPassTime records how long an event of the run took from its receipt until it was passed
// to the caller. It ends the observation of the run if the caller reads slowly.
func (p *proxiedRequest) recordPassTime(took time.Duration) {
	if took > maxPassTime {
		p.pace.isObserved = false
		p.pace.isExposed = false
	}
}

// recordPace records an event of the run, which was received at a time.
func (p *proxiedRequest) recordPace(now time.Time) {
	r := &p.pace
	gap := now.Sub(r.lastEventAt)
	isFirst := r.lastEventAt.IsZero()
	r.lastEventAt = now
	switch {
	case isFirst:
		r.isObserved = p.isPauseSensitive(now)
		r.isExposed = r.isObserved
		r.prompts = p.gateway.balancer.PromptCount(p.endpoint.ID)
		if r.isCounted && p.missedPause.Load() {
			// The pause was between two runs, so it says nothing about an engine.
			p.announcePause(now, fleet.EnginePace{Broken: true})
		}
	case r.isObserved:
		p.observeInterval(now, gap)
		if len(r.intervals) < paceIntervals {
			r.intervals = append(r.intervals, gap)
			if len(r.intervals) == paceIntervals {
				p.learnPace(now)
			}
		}
		if r.isExposed && gap > p.route.PauseTarget {
			p.announcePause(now, p.endExposure(now, p.endpoint.ID, true))
		}
	}
}

// learnPace learns the engine's pace from the run's first intervals. The group is notified at
// once if the pace is new to this box, and with the run's end otherwise.
func (p *proxiedRequest) learnPace(now time.Time) {
	p.pace.isLearned = true
	interval := p.pace.interval()
	if p.gateway.learnPace(now, p.service.Name, p.endpoint.ID, interval) {
		p.gateway.onPlaced(fleet.Placement{
			Endpoint: p.endpoint.ID,
			Pace:     &fleet.EnginePace{EventInterval: interval},
		})
		return
	}
	p.pace.unsent = interval
}

// announcePause notifies the group at once of a stream's first pause beyond the target, since
// further prompts at its engine do it no harm.
func (p *proxiedRequest) announcePause(now time.Time, pace fleet.EnginePace) {
	p.gateway.onPlaced(fleet.Placement{
		Endpoint:  p.endpoint.ID,
		Tokens:    p.announcedTokens,
		Pace:      &pace,
		Sensitive: p.stopCounting(now, p.endpoint.ID),
	})
}

// stopCounting ends the run's count as a stream that met its target so far, and reports
// whether it counted.
func (p *proxiedRequest) stopCounting(now time.Time, endpoint string) bool {
	if !p.pace.isCounted {
		return false
	}
	p.pace.isCounted = false
	p.gateway.balancer.EndStream(now, endpoint, p.announcedTokens, false)
	return true
}

// endExposure records the exposures of the run at an engine, up to now, and returns them.
func (p *proxiedRequest) endExposure(now time.Time, endpoint string, broken bool) fleet.EnginePace {
	p.pace.isExposed = false
	pace := fleet.EnginePace{
		Exposures: max(p.gateway.balancer.PromptCount(endpoint)-p.pace.prompts, 0),
		Broken:    broken,
		Ended:     true,
	}
	class, known := p.gateway.balancer.ObserveStream(now, p.service.Name, endpoint, pace.Exposures, broken)
	p.gateway.counters.observePauses(class, known, pace.Exposures, broken)
	return pace
}

// endPace ends the observation of a run, and adds its result to the message of the run's end.
func (p *proxiedRequest) endPace(now time.Time, placement *fleet.Placement) {
	var pace fleet.EnginePace
	if p.pace.isObserved && !p.pace.isLearned && len(p.pace.intervals) >= minPaceIntervals {
		p.pace.isLearned = true
		p.pace.unsent = p.pace.interval()
		p.gateway.learnPace(now, p.service.Name, placement.Endpoint, p.pace.unsent)
	}
	if p.pace.isExposed {
		pace = p.endExposure(now, placement.Endpoint, false)
	}
	pace.EventInterval = p.pace.unsent
	if pace != (fleet.EnginePace{}) {
		placement.Pace = &pace
	}
	placement.Sensitive = p.stopCounting(now, placement.Endpoint)
}

// interval returns the lower quartile of the intervals: the engine's pace without the effects
// of prompts and of other workloads on its machine.
func (r *runPace) interval() time.Duration {
	sorted := slices.Sorted(slices.Values(r.intervals))
	return sorted[len(sorted)/4]
}
