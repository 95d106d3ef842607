package core

import (
	"math"
	"time"
)

// RetryBudget limits retries to a fraction of first attempts, so that a recovering
// zone isn't overloaded by retries.
type RetryBudget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per first attempt, of which up to
// burst can accumulate. It starts full.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{
		ratio:  ratio,
		burst:  burst,
		tokens: burst,
	}
}

// CountFirstAttempt adds a first attempt's fraction of a retry to the budget.
func (b *RetryBudget) CountFirstAttempt() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before a retry. It grows exponentially from baseDelay to
// maxDelay; jitter in [0, 1) places it in the upper half of that value.
func Backoff(attempt int, baseDelay, maxDelay time.Duration, jitter float64) time.Duration {
	full := float64(baseDelay) * math.Pow(2, float64(max(0, attempt-1)))
	full = min(full, float64(maxDelay))
	return time.Duration(full/2 + full/2*jitter)
}
