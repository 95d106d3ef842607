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
	// moveTime bounds one copy: several queue on an engine's link, each takes
	// some tenths of a second, and an engine that leaves has about two.
	moveTime = 2500 * time.Millisecond
	// copyTime is how long a run goes on beside its copies; an engine that is
	// taken away at short notice is gone after a second and a half.
	copyTime = 900 * time.Millisecond
	// shortCopy is how much longer than on a free link a copy may take that
	// waited for no other: two calls on the way, and a short move before it.
	shortCopy = 80 * time.Millisecond
	// lastCopyTime is how long a stopped run waits for its last copy: its caller sees
	// a longer wait as a stutter.
	lastCopyTime = 40 * time.Millisecond
	// moveMost is the fullest that an engine's memory may get by a move as long as
	// there is another one: a target without room turns the move away.
	moveMost = 0.95
	// moveAgain is the pause before a move is asked for again: for a run that
	// still waits at its engine, or when no engine had room. Runs end at most
	// engines some times a second.
	moveAgain = 80 * time.Millisecond
)

// move copies the run while it goes on, stops it, copies the rest, and leaves
// the copy's name for the stream's reader. What fails is tried again with another
// target; true says that it is worth another turn, later.
func (p *passage) move(source string) bool {
	if !p.beginMove() {
		return false
	}
	defer p.endMove()
	// A run that was stopped goes on by a send; without one its stream would be cut.
	if !p.borrowSend(p.service.Name) {
		return true
	}
	ctx, cancel := context.WithTimeout(p.request.Context(), moveTime)
	defer cancel()
	full := make(map[string]bool) // targets without room
	for ctx.Err() == nil && p.runsAt(source) {
		from := p.engine()
		target, ok := p.moveTarget(from, full)
		if !ok {
			p.note("no target to move to", zap.String("endpoint", source), zap.Int("without_room", len(full)))
			return len(full) > 0
		}
		if !p.gateway.gate.hold(time.Now(), p.service, target) {
			full[target.ID] = true
			continue
		}
		err := p.moveTo(ctx, from, target)
		if err != nil {
			p.gateway.gate.drop(target)
		}
		var refusal *EngineError
		switch {
		case err == nil:
			return false
		case errors.Is(err, errSourceFull):
			return true
		case !errors.As(err, &refusal):
			p.note("move failed: engine unreachable", zap.String("endpoint", source), zap.Error(err))
			return false
		case refusal.Reason == RunUnknown, refusal.Reason == MoveInProgress:
			return true
		default:
			full[target.ID] = true
		}
	}
	return false
}

// engine gives the endpoint that the run is at.
func (p *passage) engine() routing.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoint
}

// beginMove tells whether nobody moves the run yet: an engine that leaves is told
// of more than once.
func (p *passage) beginMove() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moving {
		return false
	}
	p.moving = true
	return true
}

func (p *passage) endMove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moving = false
}

// runsAt tells whether the run is still at an engine.
func (p *passage) runsAt(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.done && p.handover == nil && p.endpoint.ID == endpoint
}

// moveTarget chooses where a run goes: within its zone, since a copy to another
// one takes twice as long, and to an engine that no other copy is sent to, since it
// would wait there until its own engine is gone.
func (p *passage) moveTarget(source routing.Endpoint, full map[string]bool) (routing.Endpoint, bool) {
	g := p.gateway
	busy := g.receiving(p.in.ID)
	all := slices.DeleteFunc(slices.Clone(p.candidates(time.Now())), func(e routing.Endpoint) bool {
		return e.ID == source.ID || full[e.ID]
	})
	w := p.want(nil)
	w.Zone = source.Zone
	w.MaxMemoryUse = moveMost
	for _, fits := range []func(routing.Endpoint) bool{
		func(e routing.Endpoint) bool { return e.Zone == source.Zone && !busy[e.ID] },
		func(e routing.Endpoint) bool { return !busy[e.ID] },
		func(e routing.Endpoint) bool { return e.Zone == source.Zone },
	} {
		if e, ok := g.spread.Pick(time.Now(), filter(all, fits), w); ok {
			return e, true
		}
	}
	w.MaxMemoryUse = 0
	return g.spread.Pick(time.Now(), all, w)
}

func filter(all []routing.Endpoint, fits func(routing.Endpoint) bool) []routing.Endpoint {
	var some []routing.Endpoint
	for _, e := range all {
		if fits(e) {
			some = append(some, e)
		}
	}
	return some
}

// errSourceFull reports that the engine which runs a request takes no call of this box now.
var errSourceFull = errors.New("the engine takes no more calls now; ask for the move later")

// askMove sends one call for the run's move, if the engine that runs it takes one.
func (p *passage) askMove(ctx context.Context, m Move) (MoveResult, error) {
	if !p.gateway.gate.move(time.Now(), m.Source) {
		return MoveResult{}, errSourceFull
	}
	return p.gateway.mover.Move(ctx, m)
}

// copyAlong copies while the run goes on, until a copy waited for no other: then
// the last one, for which the run stops, is short too.
func (p *passage) copyAlong(ctx context.Context, m Move) (MoveResult, error) {
	until := time.Now().Add(copyTime)
	expected := p.copying()
	var last MoveResult
	for {
		begun := time.Now()
		moved, err := p.askMove(ctx, m)
		if errors.Is(err, errSourceFull) && last.Copy != "" {
			return last, nil
		}
		if err != nil {
			p.note("copy failed", zap.String("endpoint", m.Source.ID), zap.String("target", m.Target.ID), zap.Error(err))
			return moved, err
		}
		if time.Since(begun) < expected+shortCopy || time.Now().After(until) {
			return moved, nil
		}
		last = moved
		expected = 0 // only what is new is copied
	}
}

// moveTo moves the run to one target; an error says that it goes on where it is.
func (p *passage) moveTo(ctx context.Context, source, target routing.Endpoint) error {
	tokens := p.want(nil).Tokens
	p.gateway.spread.Copy(time.Now(), target.ID, tokens)
	defer p.gateway.spread.Copy(time.Now(), target.ID, -tokens)
	m := Move{
		Request: p.in.ID,
		Source:  source,
		Target:  target,
	}
	begun := time.Now()
	p.gateway.sends(source.ID, p.in.ID, target.ID)
	along, err := p.copyAlong(ctx, m)
	if err != nil {
		return err
	}
	copied := time.Now()
	h := &handover{
		target: target,
		done:   make(chan struct{}),
	}
	if !p.offer(h) {
		return nil
	}
	defer close(h.done)
	moved, err := p.stopAndCopy(ctx, m, along)
	h.copy = moved.Copy
	if err != nil && moved.Copy != "" {
		h.target, h.copy = p.stayed(source, target, moved, along)
	}
	if errors.Is(err, errSourceFull) {
		h.copy = along.Copy // the run goes on until its engine ends
	}
	p.note("moved",
		zap.String("endpoint", source.ID),
		zap.String("target", h.target.ID),
		zap.Int("events", moved.Events),
		zap.Duration("copying", copied.Sub(begun)),
		zap.Duration("stopped", time.Since(copied)),
		zap.Error(err),
	)
	return nil
}

// stayed gives where a run goes on that stopped and whose memory stayed: where it was,
// or from the copy before if its zone is drained, since that would be a new request there.
func (p *passage) stayed(source, target routing.Endpoint, moved, along MoveResult) (routing.Endpoint, string) {
	if p.gateway.view().Drained(source.Zone) {
		return target, along.Copy
	}
	return source, moved.Copy
}

// stopAndCopy stops the run and copies what it made since the copy before. Where
// that waits for another copy, the stream goes on from the copy before, and the
// target reads the last events anew.
func (p *passage) stopAndCopy(ctx context.Context, m Move, along MoveResult) (MoveResult, error) {
	type result struct {
		moved MoveResult
		err   error
	}
	m.Last = true
	ended := make(chan result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveTime)
		defer cancel()
		moved, err := p.askMove(ctx, m)
		ended <- result{moved, err}
	}()
	t := time.NewTimer(lastCopyTime)
	defer t.Stop()
	select {
	case r := <-ended:
		return r.moved, r.err
	case <-t.C:
		return along, nil
	}
}
