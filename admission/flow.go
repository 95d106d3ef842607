package admission

import (
	"math"
	"time"
)

const (
	// flowWindow is the time constant of the exponential average.
	flowWindow = 2 * time.Second
	// maxUnreportedAge limits the time for which placements by other groups are estimated.
	// An engine without a report may have joined just now.
	maxUnreportedAge = 1500 * time.Millisecond
	// unreportedFraction is the fraction of the estimated prompts that is still queued; the
	// rest has been prefilled since. With 0, first events are late at engines of other zones;
	// with 1, a zone under high load uses too few of them.
	unreportedFraction = 0.5
)

// flow is an exponentially averaged rate.
type flow struct {
	sum float64
	at  time.Time // when sum was last updated
}

func (f *flow) add(now time.Time, amount float64) {
	f.sum = f.sum*f.decayFactor(now) + amount
	f.at = now
}

// decayFactor returns the remaining weight of the sum.
func (f *flow) decayFactor(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(f.at)) / float64(flowWindow))
}

// perSecond returns the average amount per second.
func (f *flow) perSecond(now time.Time) float64 {
	return f.sum * f.decayFactor(now) / flowWindow.Seconds()
}

// unreportedPromptTokens estimates the prompt tokens that the boxes of another group have
// sent to one of their engines since its last report. This box is not notified of them, so
// it assumes the same rate as in its own group. Without the estimate, engines of other zones
// are overloaded, above all those that have just joined.
func (b *Balancer) unreportedPromptTokens(now time.Time, l *endpointLoad) float64 {
	age := min(now.Sub(l.reportAt), maxUnreportedAge)
	perEngine := b.flow.perSecond(now) / float64(max(len(b.groupEngines), 1))
	return unreportedFraction * perEngine * age.Seconds()
}
