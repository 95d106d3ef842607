package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/fleet"
)

// announceRun tells the group of the run that begins at an engine: of its prompt, or of the
// memory that is there already as a copy.
func (p *proxiedRequest) announceRun(now time.Time, copied bool) {
	p.reportedTokens = 0
	if p.service.Engine == nil {
		return
	}
	p.reportedTokens = p.inbound.PromptTokens
	if copied {
		p.reportedTokens = p.heldTokens()
	} else {
		p.queuedTokens = p.gateway.spread.AddPrompt(now, p.endpoint.ID, p.reportedTokens)
	}
	p.gateway.onPlaced(fleet.Placement{
		Endpoint: p.endpoint.ID,
		Tokens:   p.reportedTokens,
		Copy:     copied,
	})
}

// announceRunEnd tells the group that the run at an engine has ended, and takes its memory back.
func (p *proxiedRequest) announceRunEnd(endpoint string) {
	if p.reportedTokens == 0 {
		return
	}
	p.gateway.spread.RunEnded(time.Now(), endpoint, p.reportedTokens, p.heldTokens())
	p.gateway.onPlaced(fleet.Placement{
		Endpoint: endpoint,
		Tokens:   p.reportedTokens,
		RunEnded: true,
		Held:     p.heldTokens(),
	})
}

// heldTokens gives the tokens of memory that the run holds.
func (p *proxiedRequest) heldTokens() int {
	return p.inbound.PromptTokens + int(p.sharedEvents.Load())*max(p.service.Engine.EventTokens, 1)
}
