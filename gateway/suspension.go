package gateway

import "time"

// HandleSuspension takes that the machine was suspended for a time, which its steady clock didn't
// count: what was under way has so much less time, and connections that rested may have
// been closed by their endpoints, so that a request which may run once would be lost on
// them.
func (g *Gateway) HandleSuspension(d time.Duration) {
	g.suspended.Add(int64(d))
	g.gate.rests.suspended(d)
	g.pool.Sweep(time.Now(), func(string) bool { return false })
	if end := g.stopAt.Load(); end != nil {
		earlier := end.Add(-d)
		g.stopAt.Store(&earlier)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		b.HandleSuspension()
	}
}

// suspendedFor gives how long the machine was suspended since the process began.
func (g *Gateway) suspendedFor() time.Duration { return time.Duration(g.suspended.Load()) }

// until gives when nobody waits for the request any more.
func (p *passage) until() time.Time {
	return p.limit.Add(p.suspended - p.gateway.suspendedFor())
}
