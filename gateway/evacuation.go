package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// evacuationTTL is how long a plan is kept after its last use; a leaving engine is gone by
// then.
const evacuationTTL = 20 * time.Second

// evacuation carries out the plan that moves streams off one leaving engine. The boxes of a
// group take turns with their moves: if all copies shared the engine's link at once, none
// would finish within its notice.
type evacuation struct {
	gateway   *Gateway
	endpoint  string // ID of the leaving engine
	service   string // the engine's service; empty if the engine was unknown
	startedAt time.Time
	mu        sync.Mutex
	plan      *core.Evacuation
	ownRuns   map[string]*proxiedRequest  // this box's runs waiting for or in their turn, by request ID
	targets   map[string]routing.Endpoint // the targets reserved for them, by request ID
	timer     *time.Timer
	lost      bool // the engine has broken off a connection and is probably gone
	lastUsed  time.Time
}

// evacuation returns the evacuation of an engine, creating it if needed.
func (g *Gateway) evacuation(endpoint string) *evacuation {
	now := time.Now()
	e, _ := g.view().Endpoint(endpoint)
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.evacuations[endpoint]
	if v == nil {
		rules := core.DefaultEvacuationRules()
		rules.Notice = g.notices.estimate(e.Service)
		v = &evacuation{
			gateway:   g,
			endpoint:  endpoint,
			service:   e.Service,
			startedAt: now,
			plan:      core.NewEvacuation(now, rules),
			ownRuns:   make(map[string]*proxiedRequest),
			targets:   make(map[string]routing.Endpoint),
		}
		g.evacuations[endpoint] = v
	}
	v.lastUsed = now
	return v
}

// evacuate starts moving streams off an engine that leaves or is gone. The other
// evacuations collect their runs again, since some may have lost their backup there.
func (g *Gateway) evacuate(e routing.Endpoint) {
	if g.mover == nil {
		return
	}
	g.evacuation(e.ID).addOwnRuns()
	g.leaveUnanswered(e.ID)
	for _, v := range g.allEvacuations() {
		if v.endpoint != e.ID {
			v.addOwnRuns()
		}
	}
}

func (g *Gateway) allEvacuations() []*evacuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*evacuation, 0, len(g.evacuations))
	for _, v := range g.evacuations {
		all = append(all, v)
	}
	return all
}

// dropExpiredEvacuations removes evacuations that were not used for evacuationTTL and have
// no streams left.
func (g *Gateway) dropExpiredEvacuations(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, v := range g.evacuations {
		if now.Sub(v.lastUsed) > evacuationTTL && len(g.streams[id]) == 0 {
			delete(g.evacuations, id)
		}
	}
}

// Evacuating handles another box's message about its runs at a leaving engine.
func (g *Gateway) Evacuating(now time.Time, update fleet.Evacuating) {
	if g.mover == nil {
		return
	}
	v := g.evacuation(update.Endpoint)
	if len(update.Runs) > 0 {
		found := core.RunsAdded{Runs: make([]core.EvacuatedRun, 0, len(update.Runs))}
		for _, r := range update.Runs {
			found.Runs = append(found.Runs, r.Run())
		}
		v.step(now, found)
	}
	g.moveTargets.refuse(now, update.Refused...)
	if update.Target != "" {
		g.handleReservation(now, core.MoveReservation{
			Run:     update.MovingRunID,
			Target:  update.Target,
			Tokens:  update.Tokens,
			Started: !update.Reserved,
		})
		if !update.Reserved {
			v.step(now, core.MoveStarted{ID: update.MovingRunID})
		}
	}
	for _, id := range update.FinishedRuns {
		g.releaseTarget(id)
		v.step(now, core.RunFinished{ID: id})
	}
	if update.Notice > 0 && v.markLost() {
		v.observeNotice(update.Notice)
	}
}

// addOwnRuns adds this box's streams at the engine to the plan and notifies the other boxes.
func (v *evacuation) addOwnRuns() {
	g := v.gateway
	g.mu.Lock()
	var all []*proxiedRequest
	for p := range g.streams[v.endpoint] {
		all = append(all, p)
	}
	g.mu.Unlock()
	var runs []core.EvacuatedRun
	v.mu.Lock()
	for _, p := range all {
		if v.ownRuns[p.inbound.ID] == nil && p.mustMove(v.endpoint) {
			v.ownRuns[p.inbound.ID] = p
			runs = append(runs, p.evacuatedRun())
		}
	}
	v.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	g.log.Info("runs queued for their moves off a leaving engine", zap.String("endpoint", v.endpoint), zap.Int("runs", len(runs)))
	update := fleet.Evacuating{Endpoint: v.endpoint}
	for _, r := range runs {
		update.Runs = append(update.Runs, fleet.NewPendingMove(r))
	}
	g.onEvacuating(update)
	v.step(time.Now(), core.RunsAdded{
		Runs: runs,
		Own:  true,
	})
}

// step passes an event to the plan and carries out the commands that it returns.
func (v *evacuation) step(now time.Time, ev core.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, command := range v.plan.Step(now, ev) {
		switch c := command.(type) {
		case core.PrepareMove:
			if p := v.ownRuns[c.ID]; p != nil {
				go v.prepare(p)
			}
		case core.MoveRun:
			if p := v.ownRuns[c.ID]; p != nil {
				go v.move(p)
			} else { // it has ended meanwhile
				go v.step(now, core.RunFinished{ID: c.ID})
			}
		case core.WakeAt:
			if v.timer != nil {
				v.timer.Stop()
			}
			v.timer = time.AfterFunc(time.Until(c.At), func() { v.step(time.Now(), core.WakeTimeReached{}) })
		}
	}
}

// move moves a run in its turn; a run that can't be moved yet is queued again.
func (v *evacuation) move(p *proxiedRequest) {
	outcome := v.moveRun(p)
	v.gateway.counters.observeMove(string(outcome))
	v.finishRun(p)
	if outcome.mayRetry() && p.runsAt(v.endpoint) {
		time.AfterFunc(moveRetryDelay, v.addOwnRuns)
	}
}

// finishRun removes a run from the plan, here and at all boxes.
func (v *evacuation) finishRun(p *proxiedRequest) {
	v.mu.Lock()
	wasOwn := v.ownRuns[p.inbound.ID] == p
	if wasOwn {
		delete(v.ownRuns, p.inbound.ID)
		delete(v.targets, p.inbound.ID)
	}
	v.mu.Unlock()
	if !wasOwn {
		return
	}
	v.gateway.releaseTarget(p.inbound.ID)
	v.step(time.Now(), core.RunFinished{ID: p.inbound.ID})
	v.gateway.onEvacuating(fleet.Evacuating{
		Endpoint:     v.endpoint,
		FinishedRuns: []string{p.inbound.ID},
	})
}

// mustMove reports whether a stream would be lost with its engine and can be moved. One with a
// backup copy at a serving engine stays where it is to the end. A run without an event has no
// memory to copy yet; handleFirstEvent queues it.
func (p *proxiedRequest) mustMove(endpoint string) bool {
	engine := p.service.Engine
	return engine != nil && engine.SupportsMoves && p.runBegin.Load() != nil && p.runsAt(endpoint) && p.gateway.hasDeparted(endpoint) && !p.isBackupServing()
}

// hasDeparted reports whether an endpoint is leaving or no longer listed.
func (g *Gateway) hasDeparted(endpoint string) bool {
	e, listed := g.view().Endpoint(endpoint)
	return !listed || e.Leaving
}

// cancelEvacuations ends the evacuations of endpoints that are listed again. Their runs stay where
// they are: moveRun checks whether the endpoint has departed.
func (g *Gateway) cancelEvacuations(endpoints []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range endpoints {
		if _, evacuated := g.evacuations[id]; evacuated {
			delete(g.evacuations, id)
			g.log.Info("evacuation cancelled: the endpoint is listed again", zap.String("endpoint", id), zap.Int("runs", len(g.streams[id])))
		}
	}
}

// evacuatedRun describes the run for the plan.
func (p *proxiedRequest) evacuatedRun() core.EvacuatedRun {
	return core.EvacuatedRun{
		ID:       p.inbound.ID,
		Priority: routing.NewPriority(p.route, p.customer),
		Value:    float64(p.inbound.PromptTokens + p.inbound.MaxTokens),
		CopyTime: p.expectedCopyTime(),
		EndsIn:   p.expectedRest(),
	}
}

// restMargin is the factor by which the rest of a run may take longer than events usually do.
const restMargin = 1.25

// expectedRest returns the time until the run is expected to end by itself, or 0 if that is
// unknown: the service's usual time between events is, or the run is longer than was expected.
func (p *proxiedRequest) expectedRest() time.Duration {
	made := p.sharedEvents.Load()
	left := int64(p.expectedOutput()/max(p.service.Engine.EventTokens, 1)) - made
	interval := p.gateway.eventIntervals.mean(p.service.Name)
	begin := p.runBegin.Load()
	if begin == nil || interval == 0 || left <= 0 {
		return 0
	}
	if n := made - begin.events; n > 1 {
		interval = max(interval, time.Since(begin.at)/time.Duration(n-1))
	}
	return time.Duration(restMargin * float64(left) * float64(interval))
}

// expectedCopyTime returns how long a copy of the run's memory takes on an idle link, or 0
// if the link's bandwidth is unknown.
func (p *proxiedRequest) expectedCopyTime() time.Duration {
	engine := p.service.Engine
	if engine.LinkMbps <= 0 {
		return 0
	}
	seconds := float64(p.heldTokens()) * engine.BytesPerToken * bitsPerByte / (engine.LinkMbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)
