package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/fleet"
)

// announceRun notifies the group of a run that begins at an engine, with the size of its
// prompt or, if it continues from a copy, of the memory that the engine holds already.
func (p *proxiedRequest) announceRun(now time.Time, copied bool) {
	p.announcedTokens = 0
	p.pace = runPace{}
	if p.service.Engine == nil {
		return
	}
	p.announcedTokens = p.inbound.PromptTokens
	if copied {
		p.announcedTokens = p.heldTokens()
	} else {
		p.queuedTokens = p.gateway.balancer.AddPrompt(now, p.endpoint.ID, p.announcedTokens)
	}
	announced := fleet.Placement{
		Endpoint:  p.endpoint.ID,
		Tokens:    p.announcedTokens,
		Copy:      copied,
		Sensitive: p.beginPace(now),
	}
	if !copied && p.gateway.waitsForRoom(p.service.Name) {
		announced.Priority = p.priority()
		p.gateway.balancer.CountSent(now, p.service.Name, announced.Priority, p.expectedTokens())
	}
	p.gateway.onPlaced(announced)
}

// announceRunEnd notifies the group that the run at an engine ended and frees its memory.
func (p *proxiedRequest) announceRunEnd(endpoint string) {
	if p.announcedTokens == 0 {
		return
	}
	now := time.Now()
	p.gateway.balancer.RunEnded(now, endpoint, p.announcedTokens, p.heldTokens())
	p.gateway.waits.notify()
	placement := fleet.Placement{
		Endpoint:   endpoint,
		Tokens:     p.announcedTokens,
		RunEnded:   true,
		HeldTokens: p.heldTokens(),
	}
	p.endPace(now, &placement)
	p.gateway.onPlaced(placement)
}

// heldTokens returns the tokens of memory that the run holds now.
func (p *proxiedRequest) heldTokens() int {
	return p.inbound.PromptTokens + int(p.sharedEvents.Load())*max(p.service.Engine.EventTokens, 1)
}
