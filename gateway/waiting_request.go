package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// refusal is why a request is refused before it is sent, or sent again.
type refusal struct {
	status   int
	reason   string
	estimate time.Duration // of the wait for room; 0 for other reasons
}

// waitOutcome is how a wait for room ended.
type waitOutcome string

// The outcomes.
const (
	waitSent      waitOutcome = "sent"      // to an engine with room
	waitExceeded  waitOutcome = "limit"     // sent without room at the longest wait
	waitStopped   waitOutcome = "stopping"  // the box stops; sent without room, or answered at its end
	waitRefused   waitOutcome = "refused"   // before it began
	waitLeft      waitOutcome = "left"      // the caller disconnected
	waitExpired   waitOutcome = "expired"   // the deadline passed
	waitWithdrawn waitOutcome = "withdrawn" // the key or route is gone, or the request is quarantined
	waitResolved  waitOutcome = "resolved"  // resolved again after a change of the configuration
)

// waitsForRoom reports whether the streaming requests of a service wait for room.
func (g *Gateway) waitsForRoom(service string) bool {
	t := g.view().Table
	return t != nil && t.WaitsForRoom(service)
}

// placeOrWait picks an endpoint for the next send and reserves a send there, after a wait for room
// if needed. The event is that which ends the request during its wait, or nil.
func (p *proxiedRequest) placeOrWait() (routing.Endpoint, bool, core.Event) {
	now := time.Now()
	if !p.mayWait(now) {
		e, ok := p.pickEndpoint(now)
		return e, ok, nil
	}
	in := p.gateway.waits.enter(now, p)
	switch in.Action {
	case admission.SendToRoom:
		p.isPlacing = true
		return in.endpoint, true, nil
	case admission.Refuse:
		p.refusal = &refusal{
			status:   http.StatusServiceUnavailable,
			reason:   "too many requests wait for an engine",
			estimate: in.Estimate,
		}
		return routing.Endpoint{}, false, core.CallUnplaced{}
	case admission.Wait:
		return p.awaitRoom(now, in)
	}
	e, ok := p.pickEndpoint(now)
	return e, ok, nil
}

// mayWait reports whether the next send may wait for room. A stream that has begun is continued
// at once, and waiting is useless where no endpoint is left to send to.
func (p *proxiedRequest) mayWait(now time.Time) bool {
	if p.headSent || p.route.Kind != routing.Streaming || !p.view.Table.WaitsForRoom(p.service.Name) {
		return false
	}
	return slices.ContainsFunc(p.candidates(now), func(e routing.Endpoint) bool { return !p.tried[e.ID] })
}

// latencyTarget returns the target for the time to the first event.
func (p *proxiedRequest) latencyTarget() time.Duration {
	return p.view.Table.StreamTarget(p.route, p.service.Name)
}

// waitingEntry returns the request's entry in the queue, without its ID.
func (p *proxiedRequest) waitingEntry() admission.WaitingRequest {
	dueAt, limitAt := p.gateway.waits.rules.Bounds(admission.WaitTimes{
		Start:    p.start.Add(p.suspendedBefore - p.gateway.suspendedFor()),
		Target:   p.latencyTarget(),
		Deadline: p.currentDeadline(),
		Prefill:  p.gateway.balancer.PrefillTime(p.inbound.PromptTokens),
		// Before a stream's usual time is known, the target is a lower bound that leaves time for
		// its first event.
		Answer: max(p.expectedStreamTime(p.service.Engine), p.latencyTarget()),
	})
	return admission.WaitingRequest{
		Service:  p.service.Name,
		Customer: p.customerName(),
		Priority: p.priority(),
		DueAt:    dueAt,
		LimitAt:  limitAt,
		Tokens:   p.expectedTokens(),
		Prompt:   p.inbound.PromptTokens,
	}
}

// roomRequirements returns what the request requires of an engine with room.
func (p *proxiedRequest) roomRequirements() admission.Requirements {
	hasTime := p.view.Table.HasTimeToWait(p.route, p.service.Name)
	return p.gateway.waits.rules.Limits(p.requirements(p.tried), p.latencyTarget(), hasTime)
}

// pickWithRoom picks an engine that has room besides what the requests ahead take, and reserves a
// send there. If there is none, it reports whether that is for lack of room at all engines, and not
// for those that the request must not be sent to again or that take no send now.
func (p *proxiedRequest) pickWithRoom(now time.Time, ahead []admission.Need) (e routing.Endpoint, hasRoom, isFull bool) {
	req := p.roomRequirements()
	for attempt := range maxReserveAttempts {
		e, ok := p.gateway.balancer.PickWithRoom(now, p.candidates(now), ahead, req)
		if !ok {
			return routing.Endpoint{}, false, attempt == 0 && len(p.tried) == 0
		}
		if p.gateway.sendGate.reserve(now, p.service, e) {
			return e, true, false
		}
	}
	return routing.Endpoint{}, false, false
}

// mustBeChecked reports whether something other than the engines' room decides on the waiting
// request now. It is called by the queue's goroutine while the request's own one waits.
func (p *proxiedRequest) mustBeChecked() bool {
	return p.gateway.stopAt.Load() != nil || p.terminalEvent() != nil || p.isQuarantined() || p.isConfigurationNew()
}

// isConfigurationNew reports whether the configuration changed since the request was resolved.
func (p *proxiedRequest) isConfigurationNew() bool {
	return p.gateway.view().ConfigVersion() != p.resolvedVersion
}

// awaitRoom waits until an engine has room for the request, or something else decides on it. The
// queue also ends the wait, at its next evaluation, if the caller disconnects.
func (p *proxiedRequest) awaitRoom(now time.Time, in entered) (routing.Endpoint, bool, core.Event) {
	w := in.wait
	p.logWaitBegin(now, in)
	r := <-w.result
	p.view = p.gateway.view() // from which the endpoint is chosen
	p.isPlacing = r.hasRoom
	if r.hasRoom && p.terminalEvent() == nil {
		p.observeWait(w, waitSent)
		return r.endpoint, true, nil
	}
	if r.hasRoom {
		p.gateway.sendGate.release(r.endpoint)
		p.endPlacing()
	}
	return p.handleWaitCheck(w)
}

// handleWaitCheck decides on a request whose wait ended without room.
func (p *proxiedRequest) handleWaitCheck(w *wait) (routing.Endpoint, bool, core.Event) {
	outcome, ev := waitExceeded, p.terminalEvent()
	switch {
	case ev != nil:
		outcome = waitExpired
		switch ev.(type) {
		case core.CallAbandoned:
			outcome = waitLeft
		case core.CallInterrupted:
			outcome = waitStopped
		}
	case p.isQuarantined():
		outcome, ev = waitWithdrawn, core.CallQuarantined{}
	case p.isConfigurationNew():
		outcome = waitResolved
		if ev = p.resolveAgain(); ev != nil {
			outcome = waitWithdrawn
		}
	case p.gateway.stopAt.Load() != nil:
		outcome = waitStopped
	}
	p.announceWaitEnd()
	p.observeWait(w, outcome)
	if ev != nil {
		return routing.Endpoint{}, false, ev
	}
	if outcome == waitResolved {
		return p.placeOrWait()
	}
	e, ok := p.pickEndpoint(time.Now())
	return e, ok, nil
}

// resolveAgain looks up a waiting request in the configuration in force, and returns the event
// that ends the request if it must not be sent.
func (p *proxiedRequest) resolveAgain() core.Event {
	p.view = p.gateway.view()
	previous := p.route
	previousService := p.service
	if p.refusal = p.lookUpRoute(); p.refusal != nil {
		// The request's end is logged and counted with the route that it came by.
		p.route = previous
		p.service = previousService
		if p.refusal.status == http.StatusServiceUnavailable && p.call.MayHaveRun() {
			p.refusal = nil // 503 would promise that it has not run
		}
		return core.CallUnplaced{}
	}
	p.deadline = p.start.Add(p.timeout())
	p.contentDigest = p.computeDigest()
	if p.call.MayHaveRun() && !p.route.MayRepeat() {
		return core.CallUnplaced{}
	}
	p.call.SetRules(p.callRules())
	return p.terminalEvent()
}

// endPlacing ends the time in which the request's memory counts besides what the engine is known
// to hold: its send was counted there, or was not made.
func (p *proxiedRequest) endPlacing() {
	if !p.isPlacing {
		return
	}
	p.isPlacing = false
	q := p.gateway.waits
	q.mu.Lock()
	delete(q.placing, p)
	q.mu.Unlock()
	p.announceWaitEnd()
}

// refuseWait answers a request that is refused before it is sent, for reasons that came up during
// its wait or because the wait would be too long.
func (p *proxiedRequest) refuseWait(r *refusal) {
	if r.estimate == 0 {
		p.refuse(r.status, r.reason)
		return
	}
	retryAfter := jitter(p.gateway.waits.rules.RetryAfter(r.estimate))
	p.logDecision("refused",
		zap.Int("status", r.status),
		zap.String("why", r.reason),
		zap.Duration("estimate", r.estimate.Round(time.Millisecond)),
		zap.Duration("retry_after", retryAfter),
		zap.String("customer", p.customerName()),
		zap.String("priority", priorityText(p.priority())),
	)
	p.gateway.counters.countWait(p.route.Name, waitRefused)
	p.markOutcome(forwardNotRun)
	p.writeError(r.status, r.reason, retryAfter)
	p.countOutcome("refused")
}

// priorityText returns a priority as it is logged: the customer's rank and the route's.
func priorityText(p routing.Priority) string { return fmt.Sprintf("%d.%d", p.Customer, p.Route) }
