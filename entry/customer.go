package entry

import (
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
)

// customer is what one box keeps of one customer, under its own lock.
type customer struct {
	mu       sync.Mutex
	streams  int
	services map[string]int
	budget   *core.RetryBudget
	credit   float64
	creditAt time.Time
	measures map[string]*measures
}

// retryBurst is how many retries a customer may spend at once.
const retryBurst = 10

func newCustomer(ratio float64) *customer {
	return &customer{
		services: make(map[string]int),
		budget:   core.NewRetryBudget(ratio, retryBurst),
		measures: make(map[string]*measures),
	}
}

// enter counts a stream in unless the customer is at its limit.
func (c *customer) enter(most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams >= most {
		return false
	}
	c.streams++
	c.budget.CountFirstAttempt()
	return true
}

func (c *customer) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams--
}

func (c *customer) enterService(name string, most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services[name] >= most {
		return false
	}
	c.services[name]++
	c.budget.CountFirstAttempt()
	return true
}

func (c *customer) leaveService(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[name]--
}

func (c *customer) mayRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.TakeRetry()
}

func (c *customer) measure(name, class string) *measures {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.measures[class]
	if m == nil {
		m = newMeasures(name, class)
		c.measures[class] = m
	}
	return m
}

// creditBurst is how many seconds of its token rate a customer may save.
const creditBurst = 10

// spend takes generated tokens from the customer's rate.
func (c *customer) spend(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit -= float64(tokens)
}

// overRate tells how long the customer must wait until its token rate allows
// another request; the rate is this box's part of the customer's.
func (c *customer) overRate(now time.Time, settings *config.Customer, boxes int) time.Duration {
	if settings.TokenRate <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rate := settings.TokenRate / float64(max(1, boxes))
	if c.creditAt.IsZero() {
		c.credit = rate * creditBurst
	}
	passed := now.Sub(c.creditAt).Seconds()
	if !c.creditAt.IsZero() {
		c.credit = min(rate*creditBurst, c.credit+passed*rate)
	}
	c.creditAt = now
	if c.credit > 0 {
		return 0
	}
	return time.Duration(-c.credit / rate * float64(time.Second))
}
