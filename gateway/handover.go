package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// handoverTime is how long a stream that was stopped waits for its copy.
const handoverTime = 1500 * time.Millisecond

// handover is where a run that is being moved goes on.
type handover struct {
	target routing.Endpoint
	done   chan struct{}
	copy   string // set before done is closed; empty when the move failed
}

// offer gives the stream's reader a handover to wait for; one that has ended
// or has one already takes none.
func (p *passage) offer(h *handover) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over() != nil || p.done || p.handover != nil {
		return false
	}
	p.handover = h
	return true
}

// awaitHandover waits for the copy of a run that was told to stop, or gives nil
// if nobody moves it.
func (p *passage) awaitHandover() *handover {
	p.mu.Lock()
	h := p.handover
	p.handover = nil
	p.mu.Unlock()
	if h == nil {
		return nil
	}
	t := time.NewTimer(handoverTime)
	defer t.Stop()
	select {
	case <-h.done:
	case <-p.request.Context().Done():
		return nil
	case <-t.C:
		return nil
	}
	if h.copy == "" {
		return nil
	}
	return h
}

// backupServes tells whether the endpoint with the run's backup is there and
// stays.
func (p *passage) backupServes() bool {
	p.mu.Lock()
	id := p.backup.ID
	p.mu.Unlock()
	if id == "" {
		return false
	}
	return p.gateway.view().IsAvailable(id)
}

// resumeAnew goes on with a stream in a new run at another endpoint.
func (p *passage) resumeAnew() core.Event {
	p.order.resumed()
	ev := p.place()
	if _, placed := ev.(core.CallPlaced); !placed {
		return ev
	}
	p.note("resumed in another run", zap.String("endpoint", p.endpoint.ID), zap.String("last_event", p.last))
	p.gateway.counts.continued.Inc()
	return p.send("")
}

// goOn continues the run at the endpoint that holds its copy.
func (p *passage) goOn() core.Event {
	p.gateway.look()
	if ev := p.over(); ev != nil {
		return ev
	}
	if p.quarantined() {
		return core.CallQuarantined{}
	}
	p.order.resumed()
	from := p.endpoint
	if target := p.resume.target; p.gateway.view().Drained(target.Zone) {
		p.note("its copy is in a drained zone", zap.String("broken", from.ID), zap.String("endpoint", target.ID))
		return core.CallUnsent{}
	}
	p.mu.Lock()
	target, name := p.resume.target, p.resume.copy
	p.endpoint = target
	p.mu.Unlock()
	p.note("continued from a copy",
		zap.String("broken", from.ID),
		zap.String("endpoint", target.ID),
		zap.String("copy", name),
		zap.String("last_event", p.last),
	)
	p.gateway.counts.continued.Inc()
	p.placedAt = time.Now()
	p.chooseBackup(p.placedAt)
	return p.send(name)
}
