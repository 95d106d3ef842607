package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// copyMemory is how long after a stream broke off unannounced the streams that
	// begin get copies. Engines that leave are emptied without them; against
	// engines that die they are the only help, but they take the memory that runs
	// need.
	copyMemory = time.Minute
	// backupMost is the fullest that an engine's memory may get by a copy: preempted
	// runs pay for more, and with much less copies are too few to protect.
	backupMost = 0.5
	// freshList is how old the list may be for a break to count as unannounced: with
	// an older one, the engine's notice may just not have been heard.
	freshList = time.Second
)

// chooseBackup picks where the run's memory is sent as it grows: another engine
// of the same zone, since bytes between zones have a price, and one that takes any number
// of requests, since nobody knows when the run will go on there.
func (p *passage) chooseBackup(now time.Time) {
	p.setBackup(routing.Endpoint{})
	engine := p.service.Engine
	if p.gateway.mover == nil || engine == nil || !engine.SupportsBackups || p.route.Kind != routing.Streaming {
		return
	}
	if !p.gateway.protects(now) {
		return
	}
	var near []routing.Endpoint
	for _, e := range p.candidates(now) {
		if e.Zone == p.endpoint.Zone && e.ID != p.endpoint.ID && !p.gateway.gate.restrained(now, e) {
			near = append(near, e)
		}
	}
	w := p.want(nil)
	w.Zone = p.endpoint.Zone
	w.MaxMemoryUse = backupMost
	if e, ok := p.gateway.spread.Pick(now, near, w); ok {
		p.setBackup(e)
	}
}

func (p *passage) setBackup(e routing.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = e
}

// protects tells whether streams get copies: engines were seen to break streams
// off without notice.
func (g *Gateway) protects(now time.Time) bool {
	at := g.brokeAt.Load()
	return at != nil && now.Sub(*at) < copyMemory
}

// brokeOff notes that a stream broke off unannounced, here or at another box.
func (g *Gateway) brokeOff(now time.Time) {
	g.brokeAt.Store(&now)
}

// noteBreak looks whether a break was unannounced, and tells the group.
func (p *passage) noteBreak(now time.Time) {
	g := p.gateway
	view := g.view()
	e, known := view.Endpoint(p.endpoint.ID)
	if p.service.Engine == nil || !known || e.Leaving || now.Sub(view.ConfirmedAt) > freshList || p.over() != nil {
		return
	}
	if !g.protects(now) {
		p.note("streams get copies: one broke off unannounced", zap.String("endpoint", e.ID))
	}
	g.brokeOff(now)
	g.onPlaced(fleet.Placement{
		Endpoint:     e.ID,
		StreamBroken: true,
	})
}
