package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/fleet"
)

// registerStream adds a stream to the streams of the endpoint that runs it.
func (g *Gateway) registerStream(p *proxiedRequest) {
	id := p.endpoint.ID
	p.runBegin.Store(nil)
	g.mu.Lock()
	all := g.streams[id]
	if all == nil {
		all = make(map[*proxiedRequest]bool)
		g.streams[id] = all
	}
	all[p] = true
	g.mu.Unlock()
}

// runBegin is the first event of a run.
type runBegin struct {
	at     time.Time
	events int64 // events passed to the caller before it, by earlier runs of the request
}

// handleFirstEvent handles the first event of the current run, from which on the run has memory
// that can be copied: if its engine is leaving, the run is queued for its move.
func (p *proxiedRequest) handleFirstEvent() {
	p.runBegin.Store(&runBegin{
		at:     time.Now(),
		events: p.sharedEvents.Load(),
	})
	g := p.gateway
	g.mu.Lock()
	evacuation := g.evacuations[p.endpoint.ID]
	g.mu.Unlock()
	if evacuation != nil {
		go evacuation.addOwnRuns()
	}
}

func (g *Gateway) unregisterStream(endpoint string, p *proxiedRequest) {
	g.mu.Lock()
	delete(g.streams[endpoint], p)
	if len(g.streams[endpoint]) == 0 {
		delete(g.streams, endpoint)
	}
	evacuation := g.evacuations[endpoint]
	g.mu.Unlock()
	if evacuation != nil {
		go evacuation.finishRun(p)
	}
}

// HandleChange handles a change of the view of endpoints.
func (g *Gateway) HandleChange(c fleet.Change) {
	switch c.Kind {
	case fleet.EndpointJoined:
		g.cancelEvacuations(c.JoinedIDs)
	case fleet.EndpointLeaving:
		go g.evacuate(c.Endpoint)
	case fleet.EndpointRemoved:
		go g.evacuate(c.Endpoint)
		g.balancer.Forget(c.Endpoint.ID)
	case fleet.EndpointRestarted:
		g.balancer.Forget(c.Endpoint.ID)
	}
	g.waits.notify()
}
