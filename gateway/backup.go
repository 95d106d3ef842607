package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// backupPeriod is how long after a stream broke off unannounced the streams that
	// begin get copies. Engines that leave are emptied without them; against
	// engines that die they are the only help, but they take the memory that runs
	// need.
	backupPeriod = time.Minute
	// maxBackupFill is the fullest that an engine's memory may get by a copy: preempted
	// runs pay for more, and with much less copies are too few to protect.
	maxBackupFill = 0.5
	// maxListAge is how old the list may be for a break to count as unannounced: with
	// an older one, the engine's notice may just not have been heard.
	maxListAge = time.Second
)

// chooseBackup picks where the run's memory is sent as it grows: another engine
// of the same zone, since bytes between zones have a price, and one that takes any number
// of requests, since nobody knows when the run will go on there.
func (p *proxiedRequest) chooseBackup(now time.Time) {
	p.setBackup(routing.Endpoint{})
	engine := p.service.Engine
	if p.gateway.mover == nil || engine == nil || !engine.SupportsBackups || p.route.Kind != routing.Streaming {
		return
	}
	if !p.gateway.backupsEnabled(now) {
		return
	}
	var nearby []routing.Endpoint
	for _, e := range p.candidates(now) {
		if e.Zone == p.endpoint.Zone && e.ID != p.endpoint.ID && !p.gateway.sendGate.isThrottled(now, e) {
			nearby = append(nearby, e)
		}
	}
	w := p.demand(nil)
	w.Zone = p.endpoint.Zone
	w.MaxMemoryUse = maxBackupFill
	if e, ok := p.gateway.spread.Pick(now, nearby, w); ok {
		p.setBackup(e)
	}
}

func (p *proxiedRequest) setBackup(e routing.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = e
}

// backupsEnabled tells whether streams get copies: engines were seen to break streams
// off without notice.
func (g *Gateway) backupsEnabled(now time.Time) bool {
	at := g.unannouncedBreakAt.Load()
	return at != nil && now.Sub(*at) < backupPeriod
}

// recordUnannouncedBreak notes that a stream broke off unannounced, here or at another box.
func (g *Gateway) recordUnannouncedBreak(now time.Time) {
	g.unannouncedBreakAt.Store(&now)
}

// reportBreak looks whether a break was unannounced, and tells the group.
func (p *proxiedRequest) reportBreak(now time.Time) {
	g := p.gateway
	view := g.view()
	e, known := view.Endpoint(p.endpoint.ID)
	if p.service.Engine == nil || !known || e.Leaving || now.Sub(view.Confirmed) > maxListAge || p.terminalEvent() != nil {
		return
	}
	if !g.backupsEnabled(now) {
		p.logAsync("streams get copies: one broke off unannounced", zap.String("endpoint", e.ID))
	}
	g.recordUnannouncedBreak(now)
	g.onPlaced(fleet.Placement{
		Endpoint: e.ID,
		Broke:    true,
	})
}
