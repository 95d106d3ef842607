package admission

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// EngineLoad is what is known of an engine's load and pace, for operators.
type EngineLoad struct {
	Endpoint      string
	EventInterval time.Duration // usual time between two events of a stream; 0 if unknown
	Reported      *float64      // fraction of memory in use by the engine's last report; nil without a current report
	Estimated     float64       // fraction of memory in use now; 0 if the engine's memory is unknown
	PacedStreams  int           // pause-sensitive streams that have met their target so far
}

// EngineLoads returns the load and pace of the engines of a service. Memory is an engine's total
// memory in tokens by the service's configuration, or 0 if unknown.
func (b *Balancer) EngineLoads(now time.Time, service string, endpoints []routing.Endpoint, memory int) []EngineLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]EngineLoad, 0, len(endpoints))
	for i := range endpoints {
		out = append(out, b.engineLoad(now, service, endpoints[i].ID, memory))
	}
	return out
}

func (b *Balancer) engineLoad(now time.Time, service, id string, memory int) EngineLoad {
	out := EngineLoad{Endpoint: id}
	if t := b.paces[service]; t != nil {
		out.EventInterval, _ = t.Pace(id)
	}
	l := b.loads[id]
	if l == nil {
		return out
	}
	if l.hasReport(now) {
		reported := float64(l.report.Used) / float64(l.report.Total)
		out.Reported = &reported
	}
	if memory > 0 || out.Reported != nil {
		out.Estimated = b.memoryUse(now, l, Requirements{Memory: memory})
	}
	out.PacedStreams = b.pacedStreamCount(now, l)
	return out
}

// hasReport reports whether the engine's last report is current and has its total memory.
func (l *endpointLoad) hasReport(now time.Time) bool {
	return now.Sub(l.reportAt) <= memoryReportTTL && l.report.Total > 0
}
