package gateway

import (
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxMoveFill is the highest fill of an engine's memory at the expected end of a run that is
// moved to it, unless all engines are fuller; engines without room refuse moves.
const maxMoveFill = 0.95

// moveTargets holds the engines to which this box and the others of its group move runs, and
// counts the memory that the runs will take there. It is safe for concurrent use.
type moveTargets struct {
	balancer     *admission.Balancer
	mu           sync.Mutex
	reservations *core.MoveReservations
}

func newMoveTargets(b *admission.Balancer) *moveTargets {
	return &moveTargets{
		balancer:     b,
		reservations: core.NewMoveReservations(),
	}
}

// reserve records a reservation, and returns the runs whose reservations yield to it.
func (t *moveTargets) reserve(now time.Time, r core.MoveReservation) (yielding []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if former, ok := t.reservations.Get(r.Run); ok && former.Target != r.Target {
		t.balancer.Release(now, former.Target, r.Run)
	}
	yielding = t.reservations.Yields(now, r)
	t.reservations.Reserve(now, r)
	t.balancer.Reserve(now, r.Target, r.Run, r.Tokens)
	return yielding
}

// release gives back the reservation of a run.
func (t *moveTargets) release(now time.Time, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.reservations.Release(run); ok {
		t.balancer.Release(now, r.Target, run)
	}
}

// releaseMemory gives back a run's reserved memory only, so that the run can choose again.
func (t *moveTargets) releaseMemory(now time.Time, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.reservations.Get(run); ok {
		t.balancer.Release(now, r.Target, run)
	}
}

// refuse records that engines refused a copy.
func (t *moveTargets) refuse(now time.Time, targets ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range targets {
		t.reservations.Refuse(now, id)
	}
}

// states returns which of the engines are targets of other runs, and which refused a copy lately.
func (t *moveTargets) states(now time.Time, all []routing.Endpoint, run string) (busy, refused map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy = make(map[string]bool)
	refused = make(map[string]bool)
	for _, e := range all {
		if t.reservations.Busy(now, e.ID, run) {
			busy[e.ID] = true
		}
		if t.reservations.Refused(now, e.ID) {
			refused[e.ID] = true
		}
	}
	return busy, refused
}

// chooseMoveTarget chooses the engine that a run is moved to, among those that have not refused
// it or another run lately.
func (p *proxiedRequest) chooseMoveTarget(source routing.Endpoint, withoutRoom map[string]bool) (routing.Endpoint, core.TargetClass, bool) {
	g := p.gateway
	now := time.Now()
	all := p.candidates(now)
	busy, refused := g.moveTargets.states(now, all, p.inbound.ID)
	req := p.requirements(nil)
	req.Zone = source.Zone
	// The run's own reservation counts in the estimates of the engine that it was made for.
	g.moveTargets.releaseMemory(now, p.inbound.ID)
	byClass := make(map[core.TargetClass][]routing.Endpoint)
	for _, e := range all {
		if e.ID == source.ID || withoutRoom[e.ID] || refused[e.ID] {
			continue
		}
		state := core.TargetState{
			SameZone:  e.Zone == source.Zone,
			Busy:      busy[e.ID],
			RoomAtEnd: g.balancer.Estimate(now, e, req).MemoryUse <= maxMoveFill,
		}
		if !state.RoomAtEnd {
			state.RoomNow = g.balancer.HasRoomNow(now, e, p.heldTokens())
		}
		byClass[state.Class()] = append(byClass[state.Class()], e)
	}
	for class := core.RoomInZone; class <= core.NoRoomKnown; class++ {
		if e, ok := g.balancer.Pick(now, byClass[class], req); ok {
			return e, class, true
		}
	}
	return routing.Endpoint{}, core.NoRoomKnown, false
}

// reservationGrace is how long the memory of a run stays reserved after its move: by then the
// message about its continuation counts it.
const reservationGrace = 60 * time.Millisecond

// releaseTarget gives back a run's reservation after its move has ended.
func (g *Gateway) releaseTarget(run string) {
	time.AfterFunc(reservationGrace, func() { g.moveTargets.release(time.Now(), run) })
}

// handleReservation records another box's reservation. Runs of this box that yield to it choose
// another target.
func (g *Gateway) handleReservation(now time.Time, r core.MoveReservation) {
	yielding := g.moveTargets.reserve(now, r)
	if len(yielding) == 0 {
		return
	}
	for _, v := range g.allEvacuations() {
		for _, id := range yielding {
			v.mu.Lock()
			p := v.ownRuns[id]
			delete(v.targets, id)
			v.mu.Unlock()
			if p != nil {
				go v.prepare(p)
			}
		}
	}
}

// prepare reserves the target of a run whose turn is next, so that moves off other engines go
// elsewhere and the turn isn't spent on it.
func (v *evacuation) prepare(p *proxiedRequest) {
	if !p.ensureRetryBudget(p.service.Name) {
		return // its turn tries again, and reports it
	}
	source := p.currentEndpoint()
	if source.ID != v.endpoint || p.isBeingMoved() {
		return
	}
	target, class, ok := p.chooseMoveTarget(source, nil)
	if !ok || class == core.NoRoomKnown {
		return
	}
	v.reserveTarget(p, target, false, nil)
}

// takeTarget returns the target of a run whose turn it is: the reserved one, or the best one now
// if none is reserved or the reserved one is in another zone.
func (v *evacuation) takeTarget(p *proxiedRequest, source routing.Endpoint, withoutRoom map[string]bool) (routing.Endpoint, bool) {
	v.mu.Lock()
	target, reserved := v.targets[p.inbound.ID]
	v.mu.Unlock()
	_, refused := p.gateway.moveTargets.states(time.Now(), []routing.Endpoint{target}, p.inbound.ID)
	if reserved && target.Zone == source.Zone && !withoutRoom[target.ID] && !refused[target.ID] && p.gateway.view().IsAvailable(target.ID) {
		return target, true
	}
	target, _, ok := p.chooseMoveTarget(source, withoutRoom)
	return target, ok
}

// reserveTarget reserves the target of a run, here and at all boxes; started is set if the move
// starts now. A copy to another zone takes longer, which the plan takes into account.
func (v *evacuation) reserveTarget(p *proxiedRequest, target routing.Endpoint, started bool, refused []string) {
	g := p.gateway
	now := time.Now()
	tokens := p.expectedTokens()
	v.mu.Lock()
	v.targets[p.inbound.ID] = target
	v.mu.Unlock()
	g.moveTargets.reserve(now, core.MoveReservation{
		Run:     p.inbound.ID,
		Target:  target.ID,
		Tokens:  tokens,
		Started: started,
	})
	update := fleet.Evacuating{
		Endpoint:    v.endpoint,
		MovingRunID: p.inbound.ID,
		Target:      target.ID,
		Tokens:      tokens,
		Reserved:    !started,
		Refused:     refused,
	}
	if source := p.currentEndpoint(); target.Zone != source.Zone {
		run := p.evacuatedRun()
		run.CopyTime *= crossZoneCopyFactor
		update.Runs = []fleet.PendingMove{fleet.NewPendingMove(run)}
		if !started {
			v.updateRun(now, p, run)
		}
	}
	g.onEvacuating(update)
}

// updateRun tells the plan of new properties of a run that waits for its turn.
func (v *evacuation) updateRun(now time.Time, p *proxiedRequest, run core.EvacuatedRun) {
	v.mu.Lock()
	waits := v.ownRuns[run.ID] == p
	v.mu.Unlock()
	if waits {
		v.step(now, core.RunsAdded{
			Runs: []core.EvacuatedRun{run},
			Own:  true,
		})
	}
}

// crossZoneCopyFactor is how many times as long a copy to another zone takes.
const crossZoneCopyFactor = 2

// announceRefusals tells the group of engines that refused a copy.
func (v *evacuation) announceRefusals(refused []string) {
	v.gateway.onEvacuating(fleet.Evacuating{
		Endpoint: v.endpoint,
		Refused:  refused,
	})
}
