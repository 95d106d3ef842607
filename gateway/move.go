package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// moveTimeout bounds one copy, including its wait for other copies on the engine's link.
	// Each takes some tenths of a second, and a leaving engine has about 2 s.
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
	// moveRetryDelay is the delay before a move is tried again that the run's engine refused,
	// or for which no engine had room. At most engines some runs end per second and free
	// memory.
	moveRetryDelay = 80 * time.Millisecond
	// maxMoveTargets is how many engines may refuse a run in one turn.
	maxMoveTargets = 3
)

// moveOutcome is the result of a run's turn.
type moveOutcome string

// The outcomes of a turn. After those of mayRetry, a later turn may succeed.
const (
	moveDone        moveOutcome = "moved"
	moveEnded       moveOutcome = "ended"        // the run ended or was stopped by something else
	moveNotNeeded   moveOutcome = "listed again" // its engine is available again
	moveNoBudget    moveOutcome = "no send left"
	moveNoTarget    moveOutcome = "no target"
	moveRefused     moveOutcome = "no room"
	moveThrottled   moveOutcome = "source throttled"
	moveNotYet      moveOutcome = "source refused"
	moveUnreachable moveOutcome = "source unreachable"
)

func (o moveOutcome) mayRetry() bool {
	return o == moveNoBudget || o == moveRefused || o == moveThrottled || o == moveNotYet
}

// moveRun copies the run while it continues, stops it, copies the rest, and sets the copy's
// name in the handover that the stream's reader waits for. A failed move is tried again with
// another target, maxMoveTargets in all, so that a run for which no engine has room doesn't
// hold up the others.
func (v *evacuation) moveRun(p *proxiedRequest) moveOutcome {
	if !v.gateway.hasDeparted(v.endpoint) {
		return moveNotNeeded
	}
	if !p.beginMove() {
		return moveEnded
	}
	defer p.endMove()
	// A stopped run needs a send to continue; without one its stream would be cut.
	if !p.ensureRetryBudget(p.service.Name) {
		return moveNoBudget
	}
	ctx, cancel := context.WithTimeout(p.ctx, moveTimeout)
	defer cancel()
	withoutRoom := make(map[string]bool) // IDs of targets that refused or have no send left
	var refused []string
	for ctx.Err() == nil && p.runsAt(v.endpoint) {
		from := p.currentEndpoint()
		target, ok := v.takeTarget(p, from, withoutRoom)
		if !ok {
			p.logAsync("no target to move to", zap.String("endpoint", v.endpoint), zap.Int("without_room", len(withoutRoom)))
			if len(p.candidates(time.Now())) == 0 {
				return moveNoTarget
			}
			return moveRefused
		}
		if !p.gateway.sendGate.reserve(time.Now(), p.service, target) {
			withoutRoom[target.ID] = true
			continue
		}
		err := v.moveTo(ctx, p, from, target, refused)
		if err != nil {
			p.gateway.sendGate.release(target)
		}
		var refusal *EngineError
		switch {
		case err == nil:
			return moveDone
		case errors.Is(err, errSourceThrottled):
			return moveThrottled
		case !errors.As(err, &refusal):
			p.logAsync("move failed: engine unreachable", zap.String("endpoint", v.endpoint), zap.Error(err))
			p.reportLoss(time.Now(), v.endpoint, err)
			return moveUnreachable
		case refusal.Reason == RunUnknown, refusal.Reason == MoveInProgress:
			return moveNotYet
		}
		withoutRoom[target.ID] = true
		refused = append(refused, target.ID)
		p.gateway.moveTargets.refuse(time.Now(), target.ID)
		if len(refused) >= maxMoveTargets {
			v.announceRefusals(refused)
			return moveRefused
		}
	}
	return moveEnded
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

// isBeingMoved reports whether a move of the run is in progress.
func (p *proxiedRequest) isBeingMoved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isMoving
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

// moveTo moves a run to one target, and tells the group of it and of the engines that refused
// the run before. After an error the run continues where it is.
func (v *evacuation) moveTo(ctx context.Context, p *proxiedRequest, source, target routing.Endpoint, refused []string) error {
	m := Move{
		Request: p.inbound.ID,
		Source:  source,
		Target:  target,
	}
	startedAt := time.Now()
	v.reserveTarget(p, target, true, refused)
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
	var refusal *EngineError
	h.ended = errors.As(err, &refusal) && refusal.Reason == RunUnknown && moved.Copy == ""
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
