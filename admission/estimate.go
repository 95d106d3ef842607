package admission

import (
	"math"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Estimate is the expected state of an engine at the time when a prompt is sent to it.
type Estimate struct {
	MemoryUse          float64       // fraction of the engine's memory in use, including the prompt
	PrefillDelay       time.Duration // time until the prompts queued earlier are prefilled
	ReportAge          time.Duration // age of the engine's last report; 0 without a current report
	RemotePlacementAge time.Duration // time since another box last reported a placement; 0 if none did
	UntilFirstEvent    time.Duration // time until the first event of the response
	Pace               *PaceEstimate // nil for services without pause-sensitive streams
}

// Estimate returns the expected state of an endpoint if the request is sent there now.
func (b *Balancer) Estimate(now time.Time, e routing.Endpoint, req Requirements) Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(e.ID)
	out := Estimate{
		MemoryUse:    b.memoryUse(now, l, req),
		PrefillDelay: time.Duration(l.backlog(now, b.prefillRate) / b.prefillRate * float64(time.Second)),
	}
	if age := now.Sub(l.reportAt); age <= memoryReportTTL {
		out.ReportAge = age
	}
	out.UntilFirstEvent = b.timeToFirstEvent(now, l, req)
	out.Pace = b.paceEstimate(now, e, l, req)
	if !b.remotePlacementAt.IsZero() {
		out.RemotePlacementAge = now.Sub(b.remotePlacementAt)
	}
	return out
}

// timeToFirstEvent estimates the time until the first event of a response: until enough
// runs have ended to make room, and until the queued prompts and this one are prefilled.
func (b *Balancer) timeToFirstEvent(now time.Time, l *endpointLoad, req Requirements) time.Duration {
	return b.timeToFirstEventAt(now, l, req, b.memoryUse(now, l, req))
}

// timeToFirstEventAt is timeToFirstEvent for a known use of the engine's memory.
func (b *Balancer) timeToFirstEventAt(now time.Time, l *endpointLoad, req Requirements, memoryUse float64) time.Duration {
	seconds := (l.backlog(now, b.prefillRate) + float64(req.Prompt)) / b.prefillRate
	if over := memoryUse - 1; over > 0 {
		seconds += over * float64(max(req.Memory, 1)) / b.freedPerSecond(now)
	}
	return time.Duration(seconds * float64(time.Second))
}

// freedPerSecond returns the tokens of memory that ending runs free per engine and second.
func (b *Balancer) freedPerSecond(now time.Time) float64 {
	perEngine := b.released.perSecond(now) / float64(max(len(b.groupEngines), 1))
	return math.Max(perEngine, minFreedPerSecond)
}

// minFreedPerSecond is the lower bound of freedPerSecond, in tokens. It covers the time
// after a start, when few runs have ended: one run of 4,000 tokens that lasts 10 s frees as
// much.
const minFreedPerSecond = 400.0
