package gateway

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/fleet"
)

// slowdownReportTTL is how long a service counts as one whose endpoints report slowdowns.
const slowdownReportTTL = time.Minute

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

// isRecent reports whether an endpoint of a service recently reported its slowdown.
func (r *slowdownReports) isRecent(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.at[service]
	return known && now.Sub(at) < slowdownReportTTL
}

// learnPace records the time between events of a stream at an engine, and reports whether that
// changed the engine's class. It ignores an engine that is gone: it would count among the others
// until its pace expires.
func (g *Gateway) learnPace(now time.Time, service, endpoint string, interval time.Duration) bool {
	if _, known := g.view().Endpoint(endpoint); !known {
		return false
	}
	change, changed := g.balancer.ObservePace(now, service, endpoint, interval)
	if !changed {
		return false
	}
	before := "unknown"
	if change.WasKnown {
		before = change.Before.String()
	}
	g.log.Info("engine pace changed",
		zap.String("endpoint", endpoint),
		zap.String("service", service),
		zap.Duration("interval", change.Interval.Round(100*time.Microsecond)),
		zap.String("relative_pace_before", before),
		zap.Stringer("relative_pace", change.After),
	)
	return true
}

// handleRemotePace applies the parts of another box's placement that concern pauses.
func (g *Gateway) handleRemotePace(now time.Time, p fleet.Placement) {
	if p.Pace != nil {
		g.learnRemotePace(now, p.Endpoint, p.Pace)
	}
	switch {
	case !p.Sensitive:
	case p.RunEnded, p.Pace != nil:
		g.balancer.EndStream(now, p.Endpoint, p.Tokens, true)
	default:
		g.balancer.BeginStream(now, p.Endpoint, p.Tokens, 0, true)
	}
}

// learnRemotePace learns from what another box observed of an engine. The pace of an engine that
// this box doesn't know is of no use to it.
func (g *Gateway) learnRemotePace(now time.Time, endpoint string, pace *fleet.EnginePace) {
	e, known := g.view().Endpoint(endpoint)
	if !known {
		return
	}
	if pace.EventInterval > 0 {
		g.learnPace(now, e.Service, e.ID, pace.EventInterval)
	}
	if pace.Ended {
		g.balancer.ObserveStream(now, e.Service, e.ID, pace.Exposures, pace.Broken)
	}
}

// EnginePaces returns the pace classes of the engines of each service with pause-sensitive
// streams, by the service's name.
func (g *Gateway) EnginePaces() map[string][]admission.PaceClassSummary {
	return g.balancer.PaceSummaries(time.Now())
}

// EngineLoads returns the load and pace of the engines that may get new requests of this box.
func (g *Gateway) EngineLoads(now time.Time) []admission.EngineLoad {
	v := g.view()
	if v.Table == nil {
		return nil
	}
	var out []admission.EngineLoad
	for _, s := range v.Table.Document().Services {
		if s.Engine != nil {
			out = append(out, g.balancer.EngineLoads(now, s.Name, v.Serving(s.Name), s.Engine.MemoryTokens)...)
		}
	}
	return out
}

// paceFields returns log fields with the pace and the cost of misses that the choice of an
// engine used, or none for services without pause-sensitive streams.
func paceFields(estimate admission.Estimate) []zap.Field {
	if estimate.Pace == nil {
		return nil
	}
	return []zap.Field{
		zap.Duration("pace", estimate.Pace.EventInterval.Round(100*time.Microsecond)),
		zap.Float64("break_probability", math.Round(estimate.Pace.BreakProbability*1000)/1000),
		zap.Int("paced_streams", estimate.Pace.Streams),
		zap.Float64("expected_misses", math.Round(estimate.Pace.ExpectedMisses*1000)/1000),
		zap.Duration("slow_for", estimate.Pace.SlowFor.Round(time.Millisecond)),
		zap.Duration("pace_age", estimate.Pace.Age.Round(time.Millisecond)),
	}
}
