package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/fleet"
)

// spellSource is what showed that an engine is in a slow spell.
type spellSource string

const (
	spellByAnswer spellSource = "answer" // the slowdown that the engine reported with an answer
	spellByStream spellSource = "stream" // the time between two events of a stream
)

// observeLoad records the load that the endpoint reported with an answer.
func (p *proxiedRequest) observeLoad(load *Load) {
	if load == nil {
		return
	}
	now := time.Now()
	p.gateway.balancer.ObserveLoad(now, p.endpoint.ID, load.Running+load.Waiting)
	if !load.HasSlowdown {
		return
	}
	p.gateway.slowdowns.record(now, p.service.Name)
	if p.service.Engine == nil {
		return
	}
	if spell, isNew := p.gateway.balancer.ObserveSlowdown(now, p.endpoint.ID, load.Slowdown); isNew {
		p.announceSpell(spellByAnswer, spell, zap.Float64("slowdown", load.Slowdown))
	}
}

// observeInterval records the time between two events of an observed run.
func (p *proxiedRequest) observeInterval(now time.Time, interval time.Duration) {
	if spell, isNew := p.gateway.balancer.ObserveInterval(now, p.service.Name, p.endpoint.ID, interval); isNew {
		p.announceSpell(spellByStream, spell,
			zap.Duration("interval", interval.Round(100*time.Microsecond)),
			zap.Duration("pace", spell.Pace.Round(100*time.Microsecond)),
		)
	}
}

// announceSpell notifies the group of a slow spell that this box is the first to see.
func (p *proxiedRequest) announceSpell(source spellSource, spell admission.SlowSpell, fields ...zap.Field) {
	p.gateway.counters.countSpell(source)
	p.gateway.log.Info("engine in a slow spell", append([]zap.Field{
		zap.String("endpoint", p.endpoint.ID),
		zap.String("service", p.service.Name),
		zap.String("seen_by", string(source)),
		zap.Duration("expected", spell.Rest.Round(time.Millisecond)),
	}, fields...)...)
	p.gateway.onPlaced(fleet.Placement{
		Endpoint: p.endpoint.ID,
		SlowFor:  spell.Rest,
	})
}

// handleRemoteSpell applies another box's message about a slow spell. That of an engine that this
// box doesn't know is of no use to it.
func (g *Gateway) handleRemoteSpell(now time.Time, p fleet.Placement) {
	if _, known := g.view().Endpoint(p.Endpoint); known {
		g.balancer.RecordSlowSpell(now, p.Endpoint, p.SlowFor)
	}
}
