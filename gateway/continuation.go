package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// handoverTimeout is how long a stream whose run was stopped waits for the run's copy.
const handoverTimeout = 1500 * time.Millisecond

// handover is where the run of a stream continues, and the copy from which it does.
type handover struct {
	target routing.Endpoint
	done   chan struct{} // closed when the move has ended
	copy   string        // the copy's name, set before done is closed; empty if the move failed
	ended  bool          // the run ended by itself before it was stopped; set before done is closed

	copiedAt time.Time // when a copy of a running run was complete
}

// setHandover registers a handover for the stream's reader to wait for. It returns false if
// the request has ended or has a handover already.
func (p *proxiedRequest) setHandover(h *handover) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminalEvent() != nil || p.isFinished || p.handover != nil {
		return false
	}
	p.handover = h
	return true
}

// recordCopy records a complete copy of the running run. If the run's engine ends before the
// move does, the stream continues from it. A copy off an engine that the run has left is ignored.
func (p *proxiedRequest) recordCopy(m Move, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoint.ID != m.Source.ID {
		return
	}
	p.latestCopy = &handover{
		target:   m.Target,
		copy:     name,
		copiedAt: time.Now(),
	}
}

// takeLatestCopy returns the latest complete copy of the run and forgets it, since a
// continuation uses it up. It returns nil if there is none or the target has dropped it.
func (p *proxiedRequest) takeLatestCopy() *handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.latestCopy
	p.latestCopy = nil
	if h == nil || p.service.Engine == nil {
		return nil
	}
	if lifetime := p.service.Engine.CopyLifetime; lifetime > 0 && time.Since(h.copiedAt) > lifetime {
		return nil
	}
	return h
}

// awaitCopy returns the copy from which a run that broke off continues: that of a move in
// progress, or the latest one of a move that was not finished. It returns nil if there is none.
func (p *proxiedRequest) awaitCopy() *handover {
	h := p.awaitHandover()
	latest := p.takeLatestCopy()
	if h != nil {
		return h
	}
	return latest
}

// wasStopped reports whether the run that just ended may have been stopped for its move. It waits for
// the move's result.
func (p *proxiedRequest) wasStopped() bool {
	p.mu.Lock()
	h := p.handover
	p.mu.Unlock()
	if h == nil {
		return false
	}
	t := time.NewTimer(handoverTimeout)
	defer t.Stop()
	select {
	case <-h.done:
		return !h.ended
	case <-p.ctx.Done():
	case <-t.C:
	}
	return true
}

// awaitHandover waits for the copy of a run that broke off, and returns nil if the run is
// not being moved or the copy failed.
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
	case <-p.ctx.Done():
		return nil
	case <-t.C:
		return nil
	}
	if h.copy == "" {
		return nil
	}
	return h
}

// isBackupServing reports whether the endpoint with the run's backup copy is listed and not
// leaving.
func (p *proxiedRequest) isBackupServing() bool {
	p.mu.Lock()
	id := p.backup.ID
	p.mu.Unlock()
	if id == "" {
		return false
	}
	return p.gateway.view().IsAvailable(id)
}

// resumeInNewRun resumes a stream with a new run at another endpoint.
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
	p.forwardTo = core.Peer{}
	from := p.endpoint
	if target := p.resumeFrom.target; p.gateway.view().Drained(target.Zone) {
		p.logAsync("copy not used: its availability zone is drained", zap.String("broken", from.ID), zap.String("endpoint", target.ID))
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
	if p.gateway.reachability.cutOffFor(p.placedAt, p.service.Name) > 0 && p.chooseBoxForCopy(p.placedAt, name) {
		return p.forward()
	}
	p.chooseBackup(p.placedAt)
	return p.send(name)
}
