package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// evacuationLife is how long a plan is kept after its last run was found; an
// engine that was told to go is gone long before.
const evacuationLife = 20 * time.Second

// evacuation carries out the plan for one engine that leaves. The boxes of a
// group take turns: when each began all its moves at once, the copies of eleven
// streams shared the engine's link for its whole notice and all eleven were cut.
type evacuation struct {
	gateway  *Gateway
	endpoint string
	mu       sync.Mutex
	plan     *core.Evacuation
	own      map[string]*passage
	targets  map[string]string // by the run whose memory goes there
	timer    *time.Timer
	used     time.Time
}

// evacuation gives the plan of an engine, a new one if there is none.
func (g *Gateway) evacuation(endpoint string) *evacuation {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.evacuations[endpoint]
	if v == nil {
		v = &evacuation{
			gateway:  g,
			endpoint: endpoint,
			plan:     core.NewEvacuation(now, core.DefaultEvacuationRules()),
			own:      make(map[string]*passage),
			targets:  make(map[string]string),
		}
		g.evacuations[endpoint] = v
	}
	v.used = now
	return v
}

// evacuate moves the streams of an engine that leaves to others. Streams of
// other engines on their way out may have had their backup there.
func (g *Gateway) evacuate(e routing.Endpoint) {
	if g.mover == nil {
		return
	}
	g.evacuation(e.ID).gather()
	for _, v := range g.plans() {
		if v.endpoint != e.ID {
			v.gather()
		}
	}
}

func (g *Gateway) plans() []*evacuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*evacuation, 0, len(g.evacuations))
	for _, v := range g.evacuations {
		all = append(all, v)
	}
	return all
}

// dropPlans forgets the plans of engines that are long gone.
func (g *Gateway) dropPlans(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, v := range g.evacuations {
		if now.Sub(v.used) > evacuationLife && len(g.streams[id]) == 0 {
			delete(g.evacuations, id)
		}
	}
}

// Evacuating takes what another box tells of an engine that leaves.
func (g *Gateway) Evacuating(now time.Time, told fleet.Evacuating) {
	if g.mover == nil {
		return
	}
	v := g.evacuation(told.Endpoint)
	if len(told.Runs) > 0 {
		found := core.RunsAdded{Runs: make([]core.EvacuatedRun, 0, len(told.Runs))}
		for _, r := range told.Runs {
			found.Runs = append(found.Runs, core.EvacuatedRun(r))
		}
		v.step(now, found)
	}
	if told.Target != "" {
		v.sends(told.MovingRunID, told.Target)
	}
	for _, id := range told.FinishedRuns {
		v.arrived(id)
		v.step(now, core.RunFinished{ID: id})
	}
}

// sends tells all boxes of the target that a run's memory goes to.
func (g *Gateway) sends(source, run, target string) {
	g.evacuation(source).sends(run, target)
	g.onEvacuating(fleet.Evacuating{
		Endpoint:    source,
		MovingRunID: run,
		Target:      target,
	})
}

// receiving gives the engines that a move of another run goes to.
func (g *Gateway) receiving(but string) map[string]bool {
	busy := make(map[string]bool)
	for _, v := range g.plans() {
		v.mu.Lock()
		for run, target := range v.targets {
			if run != but {
				busy[target] = true
			}
		}
		v.mu.Unlock()
	}
	return busy
}

func (v *evacuation) sends(run, target string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.targets[run] = target
}

func (v *evacuation) arrived(run string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.targets, run)
}

// gather takes this box's streams at the engine into the plan and tells the
// others.
func (v *evacuation) gather() {
	g := v.gateway
	g.mu.Lock()
	var all []*passage
	for p := range g.streams[v.endpoint] {
		all = append(all, p)
	}
	g.mu.Unlock()
	var runs []core.EvacuatedRun
	v.mu.Lock()
	for _, p := range all {
		if v.own[p.in.ID] == nil && p.mustMove(v.endpoint) {
			v.own[p.in.ID] = p
			runs = append(runs, p.evacuated())
		}
	}
	v.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	g.log.Info("runs wait for their moves", zap.String("endpoint", v.endpoint), zap.Int("runs", len(runs)))
	told := fleet.Evacuating{Endpoint: v.endpoint}
	for _, r := range runs {
		told.Runs = append(told.Runs, fleet.PendingMove(r))
	}
	g.onEvacuating(told)
	v.step(time.Now(), core.RunsAdded{
		Runs: runs,
		Own:  true,
	})
}

// step gives the plan an event and does what it asks for.
func (v *evacuation) step(now time.Time, ev core.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, command := range v.plan.Step(now, ev) {
		switch c := command.(type) {
		case core.MoveRun:
			if p := v.own[c.ID]; p != nil {
				go v.move(p)
			}
		case core.WakeAt:
			if v.timer != nil {
				v.timer.Stop()
			}
			v.timer = time.AfterFunc(time.Until(c.At), func() { v.step(time.Now(), core.WakeTimeReached{}) })
		}
	}
}

// move takes a run's turn. A run that can't be moved yet gets another one.
func (v *evacuation) move(p *passage) {
	again := p.move(v.endpoint)
	v.over(p)
	if again && p.runsAt(v.endpoint) {
		time.AfterFunc(moveAgain, v.gather)
	}
}

// over tells all boxes that a run's turn has ended, or that it needs none.
func (v *evacuation) over(p *passage) {
	v.mu.Lock()
	known := v.own[p.in.ID] == p
	delete(v.own, p.in.ID)
	delete(v.targets, p.in.ID)
	v.mu.Unlock()
	if !known {
		return
	}
	v.step(time.Now(), core.RunFinished{ID: p.in.ID})
	v.gateway.onEvacuating(fleet.Evacuating{
		Endpoint:     v.endpoint,
		FinishedRuns: []string{p.in.ID},
	})
}

// mustMove tells whether a stream is lost if its engine goes: one with a sound
// backup stays to the last, since its copy is there already.
func (p *passage) mustMove(endpoint string) bool {
	engine := p.service.Engine
	return engine != nil && engine.SupportsMoves && p.runsAt(endpoint) && !p.backupServes()
}

// evacuated describes a run to the plan.
func (p *passage) evacuated() core.EvacuatedRun {
	return core.EvacuatedRun{
		ID:       p.in.ID,
		Rank:     p.rank(),
		Value:    float64(p.in.PromptTokens + p.in.MaxTokens),
		CopyTime: p.copying(),
	}
}

// copying gives what a copy of the run's memory takes on a free link, 0 where
// nobody knows the link.
func (p *passage) copying() time.Duration {
	engine := p.service.Engine
	if engine.LinkMbps <= 0 {
		return 0
	}
	seconds := float64(p.held()) * engine.BytesPerToken * bitsPerByte / (engine.LinkMbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)
