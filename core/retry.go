package core

import (
	"math"
	"time"
)

// RetryBudget lets retries be a bounded part of first tries, so that a zone's
// return is met by no storm.
type RetryBudget struct {
	ratio  float64
	most   float64
	tokens float64
}

// NewRetryBudget allows ratio retries for each first try, and a burst of most.
func NewRetryBudget(ratio, most float64) *RetryBudget {
	return &RetryBudget{
		ratio:  ratio,
		most:   most,
		tokens: most,
	}
}

// CountFirstAttempt earns a part of a retry.
func (b *RetryBudget) CountFirstAttempt() {
	b.tokens = min(b.most, b.tokens+b.ratio)
}

// TakeRetry takes one retry if the budget holds it.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff gives the pause before a retry: exponential from base up to most,
// with the shell's jitter in [0, 1) spread over its upper half.
func Backoff(attempt int, base, most time.Duration, jitter float64) time.Duration {
	full := float64(base) * math.Pow(2, float64(max(0, attempt-1)))
	full = min(full, float64(most))
	return time.Duration(full/2 + full/2*jitter)
}
