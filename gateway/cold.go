package gateway

import (
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// shareMemory is how long this box's share of what a cold endpoint bears is kept before
// it is worked out anew: boxes hear of each other within seconds.
const shareMemory = 2 * time.Second

// coldSends keeps this box's sends to cold endpoints within its share of what these bear
// from all boxes together: each of them takes a cold endpoint for an idle one.
type coldSends struct {
	mu        sync.Mutex
	allowance routing.ColdAllowance
	share     func(endpoint string, sends int) int
	all       map[string]*coldEndpoint // by the endpoint's id
}

type coldEndpoint struct {
	ration   *core.SendBudget
	share    int
	sharedAt time.Time
}

func newColdSends(allowance routing.ColdAllowance) *coldSends {
	return &coldSends{
		allowance: allowance,
		share:     func(_ string, sends int) int { return sends },
		all:       make(map[string]*coldEndpoint),
	}
}

// bound gives the ration of an endpoint that is cold, or nil for one that bears anything.
func (c *coldSends) bound(now time.Time, s *routing.Service, e routing.Endpoint) *coldEndpoint {
	if !e.ColdAt(now) {
		return nil
	}
	sends, bound := c.allowance.SendLimit(s)
	if !bound {
		return nil
	}
	known := c.all[e.ID]
	if known == nil {
		known = &coldEndpoint{ration: core.NewSendBudget(core.DefaultSendBudgetRules())}
		c.all[e.ID] = known
	}
	if known.sharedAt.IsZero() || now.Sub(known.sharedAt) > shareMemory {
		known.share = c.share(e.ID, sends)
		known.sharedAt = now
	}
	return known
}

// spent tells whether an endpoint is known to have no place left for this box now. It
// works no share out.
func (c *coldSends) spent(now time.Time, e routing.Endpoint) bool {
	if !e.ColdAt(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.all[e.ID]
	return known != nil && now.Sub(known.sharedAt) <= shareMemory && !known.ration.CanReserve(now, known.share)
}

// hold keeps a place for a request that is planned; false says that there is none.
func (c *coldSends) hold(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bound(now, s, e)
	return known == nil || known.ration.Reserve(now, known.share)
}

// drop gives a place back whose request isn't sent.
func (c *coldSends) drop(e routing.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.all[e.ID]; known != nil {
		known.ration.CancelReservation()
	}
}

// send counts a request that goes out now; false says that it may not.
func (c *coldSends) send(now time.Time, s *routing.Service, e routing.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bound(now, s, e)
	return known == nil || known.ration.Acquire(now, known.share, true)
}

// sweep forgets endpoints that nothing was sent to lately.
func (c *coldSends) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, known := range c.all {
		if known.ration.IsIdle(now) && now.Sub(known.sharedAt) > shareMemory {
			delete(c.all, id)
		}
	}
}
