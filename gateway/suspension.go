package gateway

import (
	"sync/atomic"
	"time"
)

// HandleSuspension corrects the gateway's state after the machine was suspended for a time
// that the monotonic clock did not count. Deadlines come that much sooner. Idle connections
// are closed: their endpoints may have closed them, and a request that must run only once
// would be lost there.
func (g *Gateway) HandleSuspension(d time.Duration) {
	g.waits.handleSuspension(d)
	g.sendGate.backoffs.suspended(d)
	g.pool.Sweep(time.Now(), func(string) bool { return false })
	for _, at := range []*atomic.Pointer[time.Time]{&g.stopAt, &g.lastStreams} {
		if t := at.Load(); t != nil {
			earlier := t.Add(-d)
			at.Store(&earlier)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		b.HandleSuspension()
	}
}

// suspendedFor returns how long the machine was suspended since the process began.
func (g *Gateway) suspendedFor() time.Duration { return time.Duration(g.suspended.Load()) }

// currentDeadline returns the request's deadline, corrected for suspensions since its start.
func (p *proxiedRequest) currentDeadline() time.Time {
	return p.deadline.Add(p.suspendedBefore - p.gateway.suspendedFor())
}
