package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// moveTimeout bounds one copy, including its wait for other copies on the engine's link.
	moveTimeout = 2500 * time.Millisecond
	// maxCopyPhase is how long a run is copied while it continues; an engine with the
	// shortest notice is gone after 1.5 s.
	maxCopyPhase = 900 * time.Millisecond
	// copyTimeMargin is how much longer than expected on an idle link a copy may take to
	// count as one that did not wait for others.
	copyTimeMargin = 80 * time.Millisecond
	// lastCopyTimeout is how long a stopped run waits for its last copy; the caller notices
	// a longer wait.
	lastCopyTimeout = 40 * time.Millisecond
	// maxMoveFill is the highest fill of an engine's memory after a move to it, unless all
	// engines are fuller; engines without room refuse moves.
	maxMoveFill = 0.95
	// moveRetryDelay is the delay before a move is tried again whose run was still waiting
	// at its engine, or for which no engine had room.
	moveRetryDelay = 80 * time.Millisecond
)

// move copies the run while it continues, stops it, copies the rest, and sets the copy's
// name in the handover that the stream's reader waits for. A failed move is tried again with
// another target. It returns whether another turn later may succeed.
func (p *proxiedRequest) move(source string) bool {
	if !p.beginMove() {
		return false
	}
	defer p.endMove()
	// A stopped run needs a send to continue; without one its stream would be cut.
	if !p.ensureRetryBudget(p.service.Name) {
		return true
	}
	ctx, cancel := context.WithTimeout(p.request.Context(), moveTimeout)
	defer cancel()
	withoutRoom := make(map[string]bool) // IDs of targets that refused or have no send left
	for ctx.Err() == nil && p.runsAt(source) {
		from := p.currentEndpoint()
		target, ok := p.chooseMoveTarget(from, withoutRoom)
		if !ok {
			p.logAsync("no target to move to", zap.String("endpoint", source), zap.Int("without_room", len(withoutRoom)))
			return len(withoutRoom) > 0
		}
		if !p.gateway.sendGate.reserve(time.Now(), p.service, target) {
			withoutRoom[target.ID] = true
			continue
		}
		err := p.moveTo(ctx, from, target)
		if err != nil {
			p.gateway.sendGate.release(target)
		}
		var refusal *EngineError
		switch {
		case err == nil:
			return false
		case errors.Is(err, errSourceThrottled):
			return true
		case !errors.As(err, &refusal):
			p.logAsync("move failed: engine unreachable", zap.String("endpoint", source), zap.Error(err))
			return false
		case refusal.Reason == RunUnknown, refusal.Reason == MoveInProgress:
			return true
		default:
			withoutRoom[target.ID] = true
		}
	}
	return false
}

// currentEndpoint returns the endpoint that runs the request; it is safe for concurrent use.
func (p *proxiedRequest) currentEndpoint() routing.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoint
}

// beginMove marks the run as moving and reports false if it already is: several events may
// start a move of the same run.
func (p *proxiedRequest) beginMove() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isMoving {
		return false
	}
	p.isMoving = true
	return true
}

func (p *proxiedRequest) endMove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isMoving = false
}

// runsAt reports whether the run is at the given endpoint and not stopped.
func (p *proxiedRequest) runsAt(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isFinished && p.handover == nil && p.endpoint.ID == endpoint
}

// chooseMoveTarget chooses the engine that a run is moved to. It prefers the run's zone,
// since copies between zones are slower, and engines that receive no other copy, which the
// run would have to wait for.
func (p *proxiedRequest) chooseMoveTarget(source routing.Endpoint, withoutRoom map[string]bool) (routing.Endpoint, bool) {
	g := p.gateway
	busy := g.busyTargets(p.inbound.ID)
	all := slices.DeleteFunc(slices.Clone(p.candidates(time.Now())), func(e routing.Endpoint) bool {
		return e.ID == source.ID || withoutRoom[e.ID]
	})
	req := p.requirements(nil)
	req.Zone = source.Zone
	req.MaxMemoryUse = maxMoveFill
	for _, fits := range []func(routing.Endpoint) bool{
		func(e routing.Endpoint) bool { return e.Zone == source.Zone && !busy[e.ID] },
		func(e routing.Endpoint) bool { return !busy[e.ID] },
		func(e routing.Endpoint) bool { return e.Zone == source.Zone },
	} {
		if e, ok := g.balancer.Pick(time.Now(), filterEndpoints(all, fits), req); ok {
			return e, true
		}
	}
	req.MaxMemoryUse = 0
	return g.balancer.Pick(time.Now(), all, req)
}

func filterEndpoints(all []routing.Endpoint, fits func(routing.Endpoint) bool) []routing.Endpoint {
	var some []routing.Endpoint
	for _, e := range all {
		if fits(e) {
			some = append(some, e)
		}
	}
	return some
}

// errSourceThrottled reports that the run's engine takes no call from this box now.
var errSourceThrottled = errors.New("send limit of the run's engine reached; try the move later")

// requestMove requests a copy of the run, if its engine takes a call now.
func (p *proxiedRequest) requestMove(ctx context.Context, m Move) (MoveResult, error) {
	if !p.gateway.sendGate.allowMove(time.Now(), m.Source) {
		return MoveResult{}, errSourceThrottled
	}
	return p.gateway.mover.Move(ctx, m)
}

// copyWhileRunning copies the run, repeatedly until a copy did not have to wait for others:
// then the last copy, for which the run stops, is short too.
func (p *proxiedRequest) copyWhileRunning(ctx context.Context, m Move) (MoveResult, error) {
	until := time.Now().Add(maxCopyPhase)
	expected := p.expectedCopyTime()
	var last MoveResult
	for {
		startedAt := time.Now()
		moved, err := p.requestMove(ctx, m)
		if errors.Is(err, errSourceThrottled) && last.Copy != "" {
			return last, nil
		}
		if err != nil {
			p.logAsync("copy failed", zap.String("endpoint", m.Source.ID), zap.String("target", m.Target.ID), zap.Error(err))
			return moved, err
		}
		p.recordCopy(m, moved.Copy)
		if time.Since(startedAt) < expected+copyTimeMargin || time.Now().After(until) {
			return moved, nil
		}
		last = moved
		expected = 0 // the next copy is only of what was added since
	}
}

// moveTo moves the run to one target. After an error the run continues where it is.
func (p *proxiedRequest) moveTo(ctx context.Context, source, target routing.Endpoint) error {
	tokens := p.requirements(nil).Tokens
	p.gateway.balancer.Copy(time.Now(), target.ID, tokens)
	defer p.gateway.balancer.Copy(time.Now(), target.ID, -tokens)
	m := Move{
		Request: p.inbound.ID,
		Source:  source,
		Target:  target,
	}
	startedAt := time.Now()
	p.gateway.recordTarget(source.ID, p.inbound.ID, target.ID)
	earlier, err := p.copyWhileRunning(ctx, m)
	if err != nil {
		return err
	}
	copiedAt := time.Now()
	h := &handover{
		target: target,
		done:   make(chan struct{}),
	}
	if !p.setHandover(h) {
		return nil
	}
	defer close(h.done)
	moved, err := p.stopAndCopy(ctx, m, earlier)
	h.copy = moved.Copy
	if err != nil && moved.Copy != "" {
		h.target, h.copy = p.fallbackCopy(source, target, moved, earlier)
	}
	if errors.Is(err, errSourceThrottled) {
		h.copy = earlier.Copy // the run was not stopped; its stream continues from here when it breaks off
	}
	p.logAsync("moved",
		zap.String("endpoint", source.ID),
		zap.String("target", h.target.ID),
		zap.Int("events", moved.Events),
		zap.Duration("copying", copiedAt.Sub(startedAt)),
		zap.Duration("stopped", time.Since(copiedAt)),
		zap.Error(err),
	)
	return nil
}

// fallbackCopy returns where a stopped run whose last copy failed continues: at its source,
// or from its earlier copy if the source's zone is drained and takes no new requests.
func (p *proxiedRequest) fallbackCopy(source, target routing.Endpoint, moved, earlier MoveResult) (routing.Endpoint, string) {
	if p.gateway.view().Drained(source.Zone) {
		return target, earlier.Copy
	}
	return source, moved.Copy
}

// stopAndCopy stops the run and copies what was added since the earlier copy. If that takes
// longer than lastCopyTimeout, it returns the earlier copy, and the target computes the last
// events again.
func (p *proxiedRequest) stopAndCopy(ctx context.Context, m Move, earlier MoveResult) (MoveResult, error) {
	type result struct {
		moved MoveResult
		err   error
	}
	m.Last = true
	ended := make(chan result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveTimeout)
		defer cancel()
		moved, err := p.requestMove(ctx, m)
		ended <- result{moved, err}
	}()
	t := time.NewTimer(lastCopyTimeout)
	defer t.Stop()
	select {
	case r := <-ended:
		return r.moved, r.err
	case <-t.C:
		return earlier, nil
	}
}
