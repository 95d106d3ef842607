package admission

import (
	"math"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// missCost is the cost of one expected miss of a target, which is that of exceeding an
	// engine's memory by a sixth. A cost of 1 left more than four times the missed pauses in the
	// model of the package's tests at 90 requests per second, half of them long.
	missCost = 4.0
	// latencySpread is the steepness of the probability that a first event is late: at half of
	// the target it is 6%, at the target 50%.
	latencySpread = 4.0
	// rateWindow is how long the average rate of all engines counts in an engine's own rate of
	// prompts, which is from few prompts.
	rateWindow = 2 * time.Second
	// maxSizeWeight bounds the weight of a request's size, in both directions, so that short
	// requests still count.
	maxSizeWeight = 2.0
)

// expectedMisses returns how many targets are expected to be missed if the request is sent to
// an endpoint, weighted by size: its own ones, and those of the streams that its prefill slows
// down. MemoryUse is that of the engine with the request. It is 0 for services without
// pause-sensitive streams.
func (b *Balancer) expectedMisses(now time.Time, e *routing.Endpoint, l *endpointLoad, req Requirements, memoryUse float64) float64 {
	t := b.paces[e.Service]
	if t == nil {
		return 0
	}
	q := t.BreakProbability(now, e.ID)
	median := t.MedianPace()
	pace, known := t.Pace(e.ID)
	if !known {
		pace = median
	}
	meets := 1.0
	if req.PauseSensitive && q > 0 {
		duration := float64(req.ExpectedEvents) * pace.Seconds()
		meets = math.Pow(1-q, b.promptRate(now, l)*duration)
	}
	if req.LatencyTarget > 0 {
		first := b.timeToFirstEventAt(now, l, req, memoryUse).Seconds()
		if median > 0 {
			first *= pace.Seconds() / median.Seconds()
		}
		meets *= 1 - lateProbability(first, req.LatencyTarget.Seconds())
	}
	misses := b.sizeWeight(float64(req.Size)) * (1 - meets)
	if n := b.pacedStreamCount(now, l); n > 0 {
		misses += b.sizeWeight(b.streamSize) * b.promptHarm(now, e.ID, q) * float64(n)
	}
	return misses
}

// PaceEstimate is the expected effect of a request on the targets of streams at an engine.
type PaceEstimate struct {
	EventInterval    time.Duration // of the engine; 0 if unknown
	Age              time.Duration // time since that was last observed
	BreakProbability float64       // per prompt
	Streams          int           // pause-sensitive ones there that have met their target so far
	SlowFor          time.Duration // expected rest of the engine's slow spell; 0 if it is in none
	ExpectedMisses   float64       // of the request and of those streams, weighted by size
}

// paceEstimate returns the estimate of a request at an endpoint, or nil if its service has no
// pause-sensitive streams.
func (b *Balancer) paceEstimate(now time.Time, e routing.Endpoint, l *endpointLoad, req Requirements) *PaceEstimate {
	t := b.paces[e.Service]
	if t == nil {
		return nil
	}
	out := &PaceEstimate{
		BreakProbability: t.BreakProbability(now, e.ID),
		Streams:          b.pacedStreamCount(now, l),
		SlowFor:          b.spells.Rest(now, e.ID),
		ExpectedMisses:   b.expectedMisses(now, &e, l, req, b.memoryUse(now, l, req)),
	}
	if p := t.engines[e.ID]; p != nil {
		out.EventInterval, _ = t.Pace(e.ID)
		out.Age = now.Sub(p.at)
	}
	return out
}

// lateProbability returns the probability that a first event exceeds its target, given the
// estimated time to it, both in seconds.
func lateProbability(estimate, target float64) float64 {
	if estimate <= 0 {
		return 0
	}
	return 1 / (1 + math.Pow(target/estimate, latencySpread))
}

// promptRate estimates the prompts that will be sent to an engine per second.
func (b *Balancer) promptRate(now time.Time, l *endpointLoad) float64 {
	if !now.Equal(b.averageRateAt) {
		engines := len(b.groupEngines)
		if engines == 0 {
			engines = len(b.loads)
		}
		b.averageRate = b.promptFlow.perSecond(now) / float64(max(engines, 1))
		b.averageRateAt = now
	}
	own := l.promptFlow.perSecond(now)
	return (own*flowWindow.Seconds() + b.averageRate*rateWindow.Seconds()) / (flowWindow + rateWindow).Seconds()
}

// sizeWeight returns the weight of a miss of a request of the given size in tokens.
func (b *Balancer) sizeWeight(size float64) float64 {
	if size <= 0 || b.output <= 0 {
		return 1
	}
	return max(1/maxSizeWeight, min(maxSizeWeight, size/b.output))
}
