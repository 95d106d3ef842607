package core

import (
	"slices"
	"time"
)

// NoticeRules are the limits of a NoticeEstimator.
type NoticeRules struct {
	Default    time.Duration // estimate before enough was observed
	Quantile   float64       // fraction of the observations that may be shorter than the estimate
	Samples    int           // number of latest observations used
	MinSamples int           // with fewer observations the estimate doesn't exceed Default
}

// DefaultNoticeRules returns the rules used in production. Default is the shortest notice that
// engines are known to give. A low estimate only changes the order of moves, while a high one
// puts off the moves of runs that are then lost, so Quantile is low.
func DefaultNoticeRules() NoticeRules {
	return NoticeRules{
		Default:    1500 * time.Millisecond,
		Quantile:   0.1,
		Samples:    64,
		MinSamples: 8,
	}
}

// maxNotice is the longest period that counts as notice; an engine that stays longer is drained
// rather than about to end.
const maxNotice = 30 * time.Second

// NoticeEstimator learns how long the engines of a service run after they were found to be
// leaving.
type NoticeEstimator struct {
	rules   NoticeRules
	samples []time.Duration // oldest first
}

// NewNoticeEstimator returns an estimator without observations.
func NewNoticeEstimator(rules NoticeRules) *NoticeEstimator {
	return &NoticeEstimator{rules: rules}
}

// Observe records the period between the leaving mark of an engine and its end.
func (n *NoticeEstimator) Observe(period time.Duration) {
	if period <= 0 || period > maxNotice {
		return
	}
	if len(n.samples) >= n.rules.Samples {
		n.samples = slices.Delete(n.samples, 0, 1)
	}
	n.samples = append(n.samples, period)
}

// Estimate returns how long a leaving engine is expected to run at least.
func (n *NoticeEstimator) Estimate() time.Duration {
	if len(n.samples) == 0 {
		return n.rules.Default
	}
	sorted := slices.Sorted(slices.Values(n.samples))
	estimate := sorted[int(n.rules.Quantile*float64(len(sorted)))]
	if len(sorted) < n.rules.MinSamples {
		return min(estimate, n.rules.Default)
	}
	return estimate
}
