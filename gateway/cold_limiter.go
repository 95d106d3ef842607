package gateway

import (
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// shareTTL is how long this box's share of what a cold endpoint bears is kept before
// it is worked out anew: boxes hear of each other within seconds.
const shareTTL = 2 * time.Second

// coldLimiter keeps this box's sends to cold endpoints within its share of what these bear
// from all boxes together: each of them takes a cold endpoint for an idle one.
type coldLimiter struct {
	mu        sync.Mutex
	allowance routing.ColdAllowance
	share     func(endpoint string, sends int) int
	endpoints map[string]*coldEndpoint // by the endpoint's id
}

type coldEndpoint struct {
	budget         *core.Ration
	share          int
	shareUpdatedAt time.Time
}

func newColdLimiter(allowance routing.ColdAllowance) *coldLimiter {
	return &coldLimiter{
		allowance: allowance,
		share:     func(_ string, sends int) int { return sends },
		endpoints: make(map[string]*coldEndpoint),
	}
}

// limited gives the ration of an endpoint that is cold, or nil for one that bears anything.
func (c *coldLimiter) limited(now time.Time, s *routing.Service, e routing.Endpoint) *coldEndpoint {
	if !e.ColdAt(now) {
		return nil
	}
	sends, limited := c.allowance.SendLimit(s)
	if !limited {
		return nil
	}
	known := c.endpoints[e.ID]
	if known == nil {
		known = &coldEndpoint{budget: core.NewRation(core.DefaultRationRules())}
		c.endpoints[e.ID] = known
	}
	if known.shareUpdatedAt.IsZero() || now.Sub(known.shareUpdatedAt) > shareTTL {
		known.share = c.share(e.ID, sends)
		known.shareUpdatedAt = now
	}
	return known
}

// isExhausted tells whether an endpoint is known to have no place left for this box now. It
// works no share out.
func (c *coldLimiter) isExhausted(now time.Time, e routing.Endpoint) bool {
	if !e.ColdAt(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.endpoints[e.ID]
	return known != nil && now.Sub(known.shareUpdatedAt) <= shareTTL && !known.budget.Free(now, known.share)
}

// reserve keeps a place for a request that is planned; false says that there is none.
func (c *coldLimiter) reserve(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.limited(now, s, e)
	return known == nil || known.budget.Hold(now, known.share)
}

// release gives a place back whose request isn't sent.
func (c *coldLimiter) release(e routing.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.endpoints[e.ID]; known != nil {
		known.budget.Drop()
	}
}

// send counts a request that goes out now; false says that it may not.
func (c *coldLimiter) send(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.limited(now, s, e)
	return known == nil || known.budget.Send(now, known.share, true)
}

// sweep forgets endpoints that nothing was sent to lately.
func (c *coldLimiter) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, known := range c.endpoints {
		if known.budget.Idle(now) && now.Sub(known.shareUpdatedAt) > shareTTL {
			delete(c.endpoints, id)
		}
	}
}
