package gateway

import (
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// shareTTL is how long a computed share of an endpoint's sends is used before it is
// computed again; boxes learn of each other within seconds.
const shareTTL = 2 * time.Second

// coldLimiter keeps this box's sends to cold endpoints within its share of what each takes
// from all boxes together. Without it, all boxes would send their next requests to a cold
// endpoint, since it looks idle.
type coldLimiter struct {
	mu        sync.Mutex
	allowance routing.ColdAllowance
	share     func(endpoint string, sends int) int // returns how many of an endpoint's sends are this box's
	endpoints map[string]*coldEndpoint             // by endpoint ID
}

// coldEndpoint is this box's budget of sends to one cold endpoint.
type coldEndpoint struct {
	budget         *core.SendBudget
	share          int // how many sends this box may make within the budget's window
	shareUpdatedAt time.Time
}

func newColdLimiter(allowance routing.ColdAllowance) *coldLimiter {
	return &coldLimiter{
		allowance: allowance,
		share:     func(_ string, sends int) int { return sends },
		endpoints: make(map[string]*coldEndpoint),
	}
}

// limited returns the state of a cold endpoint, or nil if it is warm or has no send limit.
func (c *coldLimiter) limited(now time.Time, s *routing.Service, e routing.Endpoint) *coldEndpoint {
	if !e.ColdAt(now) {
		return nil
	}
	sends, limited := c.allowance.SendLimit(s)
	if !limited {
		return nil
	}
	entry := c.endpoints[e.ID]
	if entry == nil {
		entry = &coldEndpoint{budget: core.NewSendBudget(core.DefaultSendBudgetRules())}
		c.endpoints[e.ID] = entry
	}
	if entry.shareUpdatedAt.IsZero() || now.Sub(entry.shareUpdatedAt) > shareTTL {
		entry.share = c.share(e.ID, sends)
		entry.shareUpdatedAt = now
	}
	return entry
}

// isExhausted reports whether this box has no send left for an endpoint now, by its last
// computed share; it does not compute a new one.
func (c *coldLimiter) isExhausted(now time.Time, e routing.Endpoint) bool {
	if !e.ColdAt(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.endpoints[e.ID]
	return entry != nil && now.Sub(entry.shareUpdatedAt) <= shareTTL && !entry.budget.CanReserve(now, entry.share)
}

// reserve reserves a send for a planned request and reports whether one was left.
func (c *coldLimiter) reserve(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.limited(now, s, e)
	return entry == nil || entry.budget.Reserve(now, entry.share)
}

// release returns a reserved send that is not used.
func (c *coldLimiter) release(e routing.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.endpoints[e.ID]; entry != nil {
		entry.budget.CancelReservation()
	}
}

// send spends a send on a request that goes out now and reports whether it may go out.
func (c *coldLimiter) send(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.limited(now, s, e)
	return entry == nil || entry.budget.Acquire(now, entry.share, true)
}

// sweep removes endpoints that nothing was sent to lately.
func (c *coldLimiter) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, entry := range c.endpoints {
		if entry.budget.IsIdle(now) && now.Sub(entry.shareUpdatedAt) > shareTTL {
			delete(c.endpoints, id)
		}
	}
}
