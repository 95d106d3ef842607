package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/fleet"
)

// tellBegin tells the group of the run that begins at an engine: of its prompt, or of the
// memory that is there already as a copy.
func (p *passage) tellBegin(now time.Time, copied bool) {
	p.told = 0
	if p.service.Engine == nil {
		return
	}
	p.told = p.in.PromptTokens
	if copied {
		p.told = p.held()
	} else {
		p.queued = p.gateway.spread.AddPrompt(now, p.endpoint.ID, p.told)
	}
	p.gateway.onPlaced(fleet.Placement{
		Endpoint: p.endpoint.ID,
		Tokens:   p.told,
		Copy:     copied,
	})
}

// tellOver tells the group that the run at an engine has ended, and takes its memory back.
func (p *passage) tellOver(endpoint string) {
	if p.told == 0 {
		return
	}
	p.gateway.spread.RunEnded(time.Now(), endpoint, p.told, p.held())
	p.gateway.onPlaced(fleet.Placement{
		Endpoint:   endpoint,
		Tokens:     p.told,
		RunEnded:   true,
		HeldTokens: p.held(),
	})
}

// held gives the tokens of memory that the run holds.
func (p *passage) held() int {
	return p.in.PromptTokens + int(p.made.Load())*max(p.service.Engine.EventTokens, 1)
}
