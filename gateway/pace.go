package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/fleet"
)

const (
	// paceEvents is the number of events at the beginning of a run from which the pace of its
	// engine is computed.
	paceEvents = 16
	// minPaceIntervals is the number of intervals that a shorter run must have.
	minPaceIntervals = 4
	// slowdownReportTTL is how long a service counts as one whose endpoints report slowdowns.
	slowdownReportTTL = time.Minute
)

// slowdownReports records which services have endpoints that report slowdowns.
type slowdownReports struct {
	mu sync.Mutex
	at map[string]time.Time // last report, by service
}

func newSlowdownReports() *slowdownReports {
	return &slowdownReports{at: make(map[string]time.Time)}
}

func (r *slowdownReports) record(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[service] = now
}

// isRecent reports whether an endpoint of a service reported a slowdown of late, be it as usual.
func (r *slowdownReports) isRecent(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.at[service]
	return known && now.Sub(at) < slowdownReportTTL
}

// runPace observes how fast and steadily the engine of the current run generates.
type runPace struct {
	isCounted    bool // the run counts as a pause-sensitive stream that has met its target so far
	isObserved   bool // exposures are being counted
	prompts      int  // sent to the engine before the run's first event
	lastEventAt  time.Time
	intervals    []time.Duration // between the run's first events
	isPacePlaced bool            // the group has been notified of the interval
}

// isPauseSensitive reports whether the pauses of the request's stream are observed and taken
// into account by the choice of an engine.
func (p *proxiedRequest) isPauseSensitive(now time.Time) bool {
	return p.service.Engine != nil && p.route.PauseTarget > 0 && p.gateway.slowdowns.isRecent(now, p.service.Name)
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

// beginPace begins the observation of a run, and reports whether it is a pause-sensitive one
// that has met its target so far.
func (p *proxiedRequest) beginPace(now time.Time) bool {
	p.pace = runPace{isCounted: p.isPauseSensitive(now) && !p.missedPause.Load()}
	if p.pace.isCounted {
		p.gateway.balancer.BeginStream(now, p.endpoint.ID, p.announcedTokens, p.expectedOutput(), false)
	}
	return p.pace.isCounted
}

// recordPace records an event of the run: the pace of its engine, and whether a pause exceeded
// the target.
func (p *proxiedRequest) recordPace(now time.Time) {
	o := &p.pace
	if o.lastEventAt.IsZero() {
		o.lastEventAt = now
		o.isObserved = p.isPauseSensitive(now)
		o.prompts = p.gateway.balancer.PromptCount(p.endpoint.ID)
		if o.isCounted && p.missedPause.Load() {
			// The pause was between two runs, so it says nothing about an engine.
			p.recordMissedPause(now, fleet.EnginePace{Broken: true})
		}
		return
	}
	gap := now.Sub(o.lastEventAt)
	o.lastEventAt = now
	if !o.isObserved {
		return
	}
	if len(o.intervals) < paceEvents-1 {
		o.intervals = append(o.intervals, gap)
	}
	if gap > p.route.PauseTarget {
		p.recordMissedPause(now, *p.paceResult(p.endpoint.ID, true))
		return
	}
	if len(o.intervals) == paceEvents-1 && !o.isPacePlaced {
		o.isPacePlaced = true
		p.placePace(now, fleet.EnginePace{EventInterval: o.interval()})
	}
}

// recordMissedPause notifies the group at once of a stream's first pause beyond the target,
// since further prompts at its engine do it no harm.
func (p *proxiedRequest) recordMissedPause(now time.Time, pace fleet.EnginePace) {
	p.placePace(now, pace)
	if p.pace.isCounted {
		p.gateway.balancer.EndStream(now, p.endpoint.ID, p.announcedTokens, false)
	}
	p.pace.isCounted = false
}

// placePace applies an observation and notifies the group of it.
func (p *proxiedRequest) placePace(now time.Time, pace fleet.EnginePace) {
	placement := fleet.Placement{
		Endpoint:  p.endpoint.ID,
		Tokens:    p.announcedTokens,
		Pace:      &pace,
		Sensitive: p.pace.isCounted,
	}
	p.gateway.observePace(now, p.service.Name, placement, true)
	p.gateway.onPlaced(placement)
}

// paceResult ends the observation of a run at an engine and returns its result, or nil if
// there is none.
func (p *proxiedRequest) paceResult(endpoint string, broken bool) *fleet.EnginePace {
	o := &p.pace
	if !o.isObserved {
		return nil
	}
	o.isObserved = false
	result := &fleet.EnginePace{
		Exposures: max(p.gateway.balancer.PromptCount(endpoint)-o.prompts, 0),
		Broken:    broken,
		Ended:     true,
	}
	if !o.isPacePlaced && len(o.intervals) >= minPaceIntervals {
		o.isPacePlaced = true
		result.EventInterval = o.interval()
	}
	return result
}

// endPace ends the observation of a run, adds the result to the message of the run's end and
// returns the message.
func (p *proxiedRequest) endPace(now time.Time, placement fleet.Placement) fleet.Placement {
	placement.Sensitive = p.pace.isCounted
	placement.Pace = p.paceResult(placement.Endpoint, false)
	if p.pace.isCounted {
		p.pace.isCounted = false
		p.gateway.balancer.EndStream(now, placement.Endpoint, placement.Tokens, false)
	}
	if placement.Pace != nil {
		p.gateway.observePace(now, p.service.Name, placement, true)
	}
	return placement
}

// interval returns the lower quartile of the intervals: the engine's pace without the effects
// of prompts and of other workloads on its machine.
func (o *runPace) interval() time.Duration {
	sorted := slices.Sorted(slices.Values(o.intervals))
	return sorted[len(sorted)/4]
}

// observePace applies an observation of an engine's pace by this box or another one. Only own
// ones are counted, so that the sum of all boxes' counters counts each stream once.
func (g *Gateway) observePace(now time.Time, service string, placement fleet.Placement, own bool) {
	pace := placement.Pace
	if pace.EventInterval > 0 {
		change, changed := g.balancer.ObservePace(now, service, placement.Endpoint, pace.EventInterval)
		if changed {
			g.logPaceChange(service, placement.Endpoint, change)
		}
	}
	if !pace.Ended {
		return
	}
	class, known := g.balancer.ObserveStream(now, service, placement.Endpoint, pace.Exposures, pace.Broken)
	if own {
		g.counters.observePauses(class, known, pace.Exposures, pace.Broken)
	}
}

func (g *Gateway) logPaceChange(service, endpoint string, change admission.PaceChange) {
	before := "unknown"
	if change.WasKnown {
		before = change.Before.String()
	}
	g.log.Info("engine pace changed",
		zap.String("endpoint", endpoint),
		zap.String("service", service),
		zap.Duration("interval", change.Interval.Round(100*time.Microsecond)),
		zap.String("before", before),
		zap.Stringer("relative_pace", change.After),
	)
}

// handleRemotePace applies the parts of another box's placement that concern pauses.
func (g *Gateway) handleRemotePace(now time.Time, placement fleet.Placement) {
	if pace := placement.Pace; pace != nil {
		// The pace of an engine that this box doesn't know is of no use to it.
		if e, known := g.view().Endpoint(placement.Endpoint); known {
			g.observePace(now, e.Service, placement, false)
		}
	}
	if !placement.Sensitive {
		return
	}
	switch {
	case placement.RunEnded, placement.Pace != nil && placement.Pace.Broken:
		g.balancer.EndStream(now, placement.Endpoint, placement.Tokens, true)
	case placement.Pace == nil:
		g.balancer.BeginStream(now, placement.Endpoint, placement.Tokens, 0, true)
	}
}

// EnginePaces returns the pace classes of the engines of each service with pause-sensitive
// streams, by the service's name.
func (g *Gateway) EnginePaces() map[string][]admission.PaceClassSummary {
	return g.balancer.PaceSummaries(time.Now())
}
