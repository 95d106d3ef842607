package entry

import (
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
)

// customer holds one box's counters, budgets and metrics of a customer.
type customer struct {
	mu            sync.Mutex
	streams       int            // open streams
	services      map[string]int // calls in progress, by service
	retryBudget   *core.RetryBudget
	tokenCredit   float64   // tokens that the customer may generate; negative if overspent
	tokenCreditAt time.Time // last refill of tokenCredit
	classMetrics  map[string]*classMetrics
}

// retryBurst is how many retries a customer may use at once.
const retryBurst = 10

func newCustomer(ratio float64) *customer {
	return &customer{
		services:     make(map[string]int),
		retryBudget:  core.NewRetryBudget(ratio, retryBurst),
		classMetrics: make(map[string]*classMetrics),
	}
}

// acquireStream counts a new stream and reports false if the customer is at its limit.
func (c *customer) acquireStream(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams >= limit {
		return false
	}
	c.streams++
	c.retryBudget.CountFirstAttempt()
	return true
}

func (c *customer) releaseStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams--
}

func (c *customer) acquireServiceCall(name string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services[name] >= limit {
		return false
	}
	c.services[name]++
	c.retryBudget.CountFirstAttempt()
	return true
}

func (c *customer) releaseServiceCall(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[name]--
}

func (c *customer) takeRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryBudget.TakeRetry()
}

func (c *customer) metricsFor(name, class string) *classMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.classMetrics[class]
	if m == nil {
		m = newClassMetrics(name, class)
		c.classMetrics[class] = m
	}
	return m
}

// maxTokenCreditSeconds limits the unused token rate that a customer accumulates, in seconds
// of its rate.
const maxTokenCreditSeconds = 10

// chargeTokens subtracts generated tokens from the customer's credit.
func (c *customer) chargeTokens(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokenCredit -= float64(tokens)
}

// rateLimitDelay returns how long the customer must wait before its next request, or 0.
// Each box enforces an equal part of the customer's token rate.
func (c *customer) rateLimitDelay(now time.Time, settings *config.Customer, boxes int) time.Duration {
	if settings.TokenRate <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := settings.TokenRate / float64(max(1, boxes))
	if c.tokenCreditAt.IsZero() {
		c.tokenCredit = rate * maxTokenCreditSeconds
	}
	passed := now.Sub(c.tokenCreditAt).Seconds()
	if !c.tokenCreditAt.IsZero() {
		c.tokenCredit = min(rate*maxTokenCreditSeconds, c.tokenCredit+passed*rate)
	}
	c.tokenCreditAt = now
	if c.tokenCredit > 0 {
		return 0
	}
	return time.Duration(-c.tokenCredit / rate * float64(time.Second))
}
