package admission

import (
	"math"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// missCost is the cost of one expected miss of a target.
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

// expectedMissCost returns the cost of the targets that are expected to be missed if the
// request is sent to an endpoint: its own ones, and those of the streams that its prefill
// slows down. It is 0 for services without pause-sensitive streams.
func (b *Balancer) expectedMissCost(now time.Time, e routing.Endpoint, l *endpointLoad, req Requirements) float64 {
	t := b.paces[e.Service]
	if t == nil {
		return 0
	}
	q := t.BreakProbability(now, e.ID)
	median := t.MedianPace(now)
	pace, known := t.Pace(e.ID)
	if !known {
		pace = median
	}
	meets := 1.0
	if req.PauseSensitive {
		duration := float64(req.ExpectedEvents) * pace.Seconds()
		meets = math.Pow(1-q, b.promptRate(now, l)*duration)
	}
	if req.LatencyTarget > 0 {
		first := b.timeToFirstEvent(now, l, req).Seconds()
		if median > 0 {
			first *= pace.Seconds() / median.Seconds()
		}
		meets *= 1 - lateProbability(first, req.LatencyTarget.Seconds())
	}
	cost := b.sizeWeight(float64(req.Size)) * (1 - meets)
	if n := b.pacedStreamCount(now, l); n > 0 {
		cost += b.sizeWeight(b.streamSize) * q * float64(n)
	}
	return missCost * cost
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
	engines := len(b.groupEngines)
	if engines == 0 {
		engines = len(b.loads)
	}
	average := b.promptFlow.perSecond(now) / float64(max(engines, 1))
	own := l.promptFlow.perSecond(now)
	return (own*flowWindow.Seconds() + average*rateWindow.Seconds()) / (flowWindow + rateWindow).Seconds()
}

// sizeWeight returns the weight of a miss of a request of the given size in tokens.
func (b *Balancer) sizeWeight(size float64) float64 {
	if size <= 0 || b.output <= 0 {
		return 1
	}
	return max(1/maxSizeWeight, min(maxSizeWeight, size/b.output))
}
