package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// backupPeriod is how long new streams get backup copies after a stream broke off
	// without notice. Copies take memory that runs need, so they are made only while
	// engines crash; streams at engines that leave as planned are moved instead.
	backupPeriod = time.Minute
	// maxBackupFill is the highest fill of an engine's memory at which it still takes a
	// backup copy; beyond it, copies would preempt runs. With a much lower limit, too few
	// copies are made to protect the streams.
	maxBackupFill = 0.5
	// maxListAge is the highest age of the endpoint list at which a break counts as
	// unannounced: an older list may lack the engine's leaving notice.
	maxListAge = time.Second
)

// chooseBackup picks the engine that the run's memory is copied to as it grows: one of the
// same availability zone, since traffic between zones is charged, and one without send
// limits, since the run may have to continue there at any time.
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
	req := p.requirements(nil)
	req.Zone = p.endpoint.Zone
	req.MaxMemoryUse = maxBackupFill
	if e, ok := p.gateway.balancer.Pick(now, nearby, req); ok {
		p.setBackup(e)
	}
}

func (p *proxiedRequest) setBackup(e routing.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = e
}

// backupsEnabled reports whether new streams get backup copies, because a stream broke off
// without notice within backupPeriod.
func (g *Gateway) backupsEnabled(now time.Time) bool {
	at := g.unannouncedBreakAt.Load()
	return at != nil && now.Sub(*at) < backupPeriod
}

// recordUnannouncedBreak records that a stream broke off without notice, here or at another box.
func (g *Gateway) recordUnannouncedBreak(now time.Time) {
	g.unannouncedBreakAt.Store(&now)
}

// reportBreak checks whether a break was unannounced, and if so notifies the group.
func (p *proxiedRequest) reportBreak(now time.Time) {
	g := p.gateway
	view := g.view()
	e, known := view.Endpoint(p.endpoint.ID)
	if p.service.Engine == nil || !known || e.Leaving || now.Sub(view.ConfirmedAt) > maxListAge || p.terminalEvent() != nil {
		return
	}
	if !g.backupsEnabled(now) {
		p.logAsync("a stream broke off without notice; new streams get backup copies", zap.String("endpoint", e.ID))
	}
	g.recordUnannouncedBreak(now)
	g.onPlaced(fleet.Placement{
		Endpoint:     e.ID,
		StreamBroken: true,
	})
}
