package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// handoverTimeout is how long a stream that was stopped waits for its copy.
const handoverTimeout = 1500 * time.Millisecond

// handover is where a run that is being moved goes on.
type handover struct {
	target routing.Endpoint
	done   chan struct{}
	copy   string // set before done is closed; empty when the move failed
}

// setHandover gives the stream's reader a handover to wait for; one that has ended
// or has one already takes none.
func (p *proxiedRequest) setHandover(h *handover) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminalEvent() != nil || p.isFinished || p.handover != nil {
		return false
	}
	p.handover = h
	return true
}

// awaitHandover waits for the copy of a run that was told to stop, or gives nil
// if nobody moves it.
func (p *proxiedRequest) awaitHandover() *handover {
	p.mu.Lock()
	h := p.handover
	p.handover = nil
	p.mu.Unlock()
	if h == nil {
		return nil
	}
	t := time.NewTimer(handoverTimeout)
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

// isBackupServing tells whether the endpoint with the run's backup is there and
// stays.
func (p *proxiedRequest) isBackupServing() bool {
	p.mu.Lock()
	id := p.backup.ID
	p.mu.Unlock()
	if id == "" {
		return false
	}
	return p.gateway.view().Takes(id)
}

// resumeInNewRun goes on with a stream in a new run at another endpoint.
func (p *proxiedRequest) resumeInNewRun() core.Event {
	p.eventOrder.markSeam()
	ev := p.chooseEndpoint()
	if _, placed := ev.(core.CallPlaced); !placed {
		return ev
	}
	p.logAsync("resumed in another run", zap.String("endpoint", p.endpoint.ID), zap.String("last_event", p.lastEventID))
	p.gateway.counters.continuedStreams.Inc()
	return p.send("")
}

// continueFromCopy continues the run at the endpoint that holds its copy.
func (p *proxiedRequest) continueFromCopy() core.Event {
	p.gateway.checkSuspension()
	if ev := p.terminalEvent(); ev != nil {
		return ev
	}
	if p.isQuarantined() {
		return core.CallQuarantined{}
	}
	p.eventOrder.markSeam()
	from := p.endpoint
	if target := p.resumeFrom.target; p.gateway.view().Drained(target.Zone) {
		p.logAsync("its copy is in a drained zone", zap.String("broken", from.ID), zap.String("endpoint", target.ID))
		return core.CallUnsent{}
	}
	p.mu.Lock()
	target, name := p.resumeFrom.target, p.resumeFrom.copy
	p.endpoint = target
	p.mu.Unlock()
	p.logAsync("continued from a copy",
		zap.String("broken", from.ID),
		zap.String("endpoint", target.ID),
		zap.String("copy", name),
		zap.String("last_event", p.lastEventID),
	)
	p.gateway.counters.continuedStreams.Inc()
	p.placedAt = time.Now()
	p.chooseBackup(p.placedAt)
	return p.send(name)
}
