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
	// moveTimeout bounds one copy: several queue on an engine's link, each takes
	// some tenths of a second, and an engine that leaves has about two.
	moveTimeout = 2500 * time.Millisecond
	// maxCopyPhase is how long a run goes on beside its copies; an engine that is
	// taken away at short notice is gone after a second and a half.
	maxCopyPhase = 900 * time.Millisecond
	// copyTimeMargin is how much longer than on a free link a copy may take that
	// waited for no other: two calls on the way, and a short move before it.
	copyTimeMargin = 80 * time.Millisecond
	// lastCopyTimeout is how long a stopped run waits for its last copy: its caller sees
	// a longer wait as a stutter.
	lastCopyTimeout = 40 * time.Millisecond
	// maxMoveFill is the fullest that an engine's memory may get by a move as long as
	// there is another one: a target without room turns the move away.
	maxMoveFill = 0.95
	// moveRetryDelay is the pause before a move is asked for again: for a run that
	// still waits at its engine, or when no engine had room. Runs end at most
	// engines some times a second.
	moveRetryDelay = 80 * time.Millisecond
)

// move copies the run while it goes on, stops it, copies the rest, and leaves
// the copy's name for the stream's reader. What fails is tried again with another
// target; true says that it is worth another turn, later.
func (p *proxiedRequest) move(source string) bool {
	if !p.beginMove() {
		return false
	}
	defer p.endMove()
	// A run that was stopped goes on by a send; without one its stream would be cut.
	if !p.ensureRetryBudget(p.service.Name) {
		return true
	}
	ctx, cancel := context.WithTimeout(p.request.Context(), moveTimeout)
	defer cancel()
	withoutRoom := make(map[string]bool) // targets without room
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

// currentEndpoint gives the endpoint that the run is at.
func (p *proxiedRequest) currentEndpoint() routing.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoint
}

// beginMove tells whether nobody moves the run yet: an engine that leaves is told
// of more than once.
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

// runsAt tells whether the run is still at an engine.
func (p *proxiedRequest) runsAt(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isFinished && p.handover == nil && p.endpoint.ID == endpoint
}

// chooseMoveTarget chooses where a run goes: within its zone, since a copy to another
// one takes twice as long, and to an engine that no other copy is sent to, since it
// would wait there until its own engine is gone.
func (p *proxiedRequest) chooseMoveTarget(source routing.Endpoint, withoutRoom map[string]bool) (routing.Endpoint, bool) {
	g := p.gateway
	busy := g.busyTargets(p.inbound.ID)
	all := slices.DeleteFunc(slices.Clone(p.candidates(time.Now())), func(e routing.Endpoint) bool {
		return e.ID == source.ID || withoutRoom[e.ID]
	})
	w := p.demand(nil)
	w.Zone = source.Zone
	w.MaxMemoryUse = maxMoveFill
	for _, fits := range []func(routing.Endpoint) bool{
		func(e routing.Endpoint) bool { return e.Zone == source.Zone && !busy[e.ID] },
		func(e routing.Endpoint) bool { return !busy[e.ID] },
		func(e routing.Endpoint) bool { return e.Zone == source.Zone },
	} {
		if e, ok := g.spread.Pick(time.Now(), filterEndpoints(all, fits), w); ok {
			return e, true
		}
	}
	w.MaxMemoryUse = 0
	return g.spread.Pick(time.Now(), all, w)
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

// errSourceThrottled reports that the engine which runs a request takes no call of this box now.
var errSourceThrottled = errors.New("the engine takes no more calls now; ask for the move later")

// requestMove sends one call for the run's move, if the engine that runs it takes one.
func (p *proxiedRequest) requestMove(ctx context.Context, m Move) (MoveResult, error) {
	if !p.gateway.sendGate.allowMove(time.Now(), m.Source) {
		return MoveResult{}, errSourceThrottled
	}
	return p.gateway.mover.Move(ctx, m)
}

// copyWhileRunning copies while the run goes on, until a copy waited for no other: then
// the last one, for which the run stops, is short too.
func (p *proxiedRequest) copyWhileRunning(ctx context.Context, m Move) (MoveResult, error) {
	until := time.Now().Add(maxCopyPhase)
	expected := p.expectedCopyTime()
	var last MoveResult
	for {
		begun := time.Now()
		moved, err := p.requestMove(ctx, m)
		if errors.Is(err, errSourceThrottled) && last.Copy != "" {
			return last, nil
		}
		if err != nil {
			p.logAsync("copy failed", zap.String("endpoint", m.Source.ID), zap.String("target", m.Target.ID), zap.Error(err))
			return moved, err
		}
		if time.Since(begun) < expected+copyTimeMargin || time.Now().After(until) {
			return moved, nil
		}
		last = moved
		expected = 0 // only what is new is copied
	}
}

// moveTo moves the run to one target; an error says that it goes on where it is.
func (p *proxiedRequest) moveTo(ctx context.Context, source, target routing.Endpoint) error {
	tokens := p.demand(nil).Tokens
	p.gateway.spread.Copy(time.Now(), target.ID, tokens)
	defer p.gateway.spread.Copy(time.Now(), target.ID, -tokens)
	m := Move{
		Request: p.inbound.ID,
		Source:  source,
		Target:  target,
	}
	begun := time.Now()
	p.gateway.recordTarget(source.ID, p.inbound.ID, target.ID)
	earlier, err := p.copyWhileRunning(ctx, m)
	if err != nil {
		return err
	}
	copied := time.Now()
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
		h.copy = earlier.Copy // the run goes on until its engine ends
	}
	p.logAsync("moved",
		zap.String("endpoint", source.ID),
		zap.String("target", h.target.ID),
		zap.Int("events", moved.Events),
		zap.Duration("copying", copied.Sub(begun)),
		zap.Duration("stopped", time.Since(copied)),
		zap.Error(err),
	)
	return nil
}

// fallbackCopy gives where a run goes on that stopped and whose memory stayed: where it was,
// or from the copy before if its zone is drained, since that would be a new request there.
func (p *proxiedRequest) fallbackCopy(source, target routing.Endpoint, moved, earlier MoveResult) (routing.Endpoint, string) {
	if p.gateway.view().Drained(source.Zone) {
		return target, earlier.Copy
	}
	return source, moved.Copy
}

// stopAndCopy stops the run and copies what it made since the copy before. Where
// that waits for another copy, the stream goes on from the copy before, and the
// target reads the last events anew.
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
