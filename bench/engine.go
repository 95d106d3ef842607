package bench

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/standin"
)

// simulatedEngine is an engine in virtual time, with the lease ownership and shares of
// its owner slots.
type simulatedEngine struct {
	name           string
	batch          *standin.Batch
	isStepping     bool
	hasFailed      bool
	visibleReport  admission.Report
	pendingReports []timedReport
	shares         [core.SlotCount]*admission.Shares
}

// timedReport is a load report and the time at which the engine made it.
type timedReport struct {
	at     time.Time
	report admission.Report
}

func (sim *simulation) addEngine(name string) {
	e := &simulatedEngine{
		name:  name,
		batch: standin.NewBatch(EngineRules()),
	}
	for slot := range e.shares {
		ownership := core.NewOwnership(name, core.DefaultLeaseRules())
		ownership.Step(sim.now, core.HoldTaken{Fresh: true})
		e.shares[slot] = admission.NewShares(ownership, EngineRules().MemoryTokens, slotCount, targetStepTime)
	}
	sim.engines[name] = e
	sim.engineNames = append(sim.engineNames, name)
}

// failEngine stops an engine; its running requests are lost.
func (sim *simulation) failEngine(e *simulatedEngine) {
	e.hasFailed = true
	for _, r := range sim.requests {
		if r.engine != e.name || sim.active[r.id] == nil {
			continue
		}
		r.lost = true
		sim.finishRequest(r, false)
	}
}

// startRequest submits a placed request to its engine.
func (sim *simulation) startRequest(r *request) {
	e := sim.engines[r.engine]
	if e.hasFailed {
		r.lost = true
		sim.finishRequest(r, false)
		return
	}
	r.seq = &standin.Sequence{
		ID:           r.id,
		Priority:     r.arrival.Customer.Rank,
		Prompt:       r.arrival.Prompt,
		Prefix:       r.arrival.Prefix,
		OutputLength: r.arrival.Output,
	}
	e.batch.Submit(r.seq)
	if !e.isStepping {
		e.isStepping = true
		sim.stepEngine(e)
	}
}

// stepEngine runs one batch step of an engine and schedules its results and the next step.
func (sim *simulation) stepEngine(e *simulatedEngine) {
	if e.hasFailed || e.batch.IsIdle() {
		e.isStepping = false
		return
	}
	s := e.batch.Step()
	sim.schedule(s.Duration, func() {
		for _, q := range s.Emitted {
			sim.recordToken(sim.active[q.ID])
		}
		for _, q := range s.Finished {
			if r := sim.active[q.ID]; r != nil {
				r.done = true
				sim.finishRequest(r, true)
			}
		}
		sim.report(e, s.Duration)
		sim.stepEngine(e)
	})
}

// report queues an engine's load report and delivers to the owners those that are at least
// the report lag old.
func (sim *simulation) report(e *simulatedEngine, took time.Duration) {
	lag := reportLag + sim.testCase.ReportLag
	e.pendingReports = append(e.pendingReports, timedReport{
		at: sim.now,
		report: admission.Report{
			Batch: e.batch.Running(),
			Step:  took,
			Used:  e.batch.Used(),
		},
	})
	visible := 0
	for visible < len(e.pendingReports) && sim.now.Sub(e.pendingReports[visible].at) >= lag {
		visible++
	}
	if visible == 0 {
		return
	}
	e.visibleReport = e.pendingReports[visible-1].report
	e.pendingReports = slices.Delete(e.pendingReports, 0, visible)
	for slot := range e.shares {
		e.shares[slot].Observe(e.visibleReport)
	}
}

// stallThresholdSeconds is the time between two tokens above which a stream counts as
// stalled.
const stallThresholdSeconds = 0.25

// recordToken records when a request's token was generated. It reports the request's progress
// to its box after every tokensPerReport tokens.
func (sim *simulation) recordToken(r *request) {
	if r == nil {
		return
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = sim.now
	} else {
		gap := sim.now.Sub(r.lastTokenAt).Seconds()
		r.tokenGaps = append(r.tokenGaps, gap)
		r.stallSeconds += max(0, gap-stallThresholdSeconds)
	}
	r.lastTokenAt = sim.now
	if r.seq.Emitted-r.reportedTokens >= tokensPerReport {
		r.reportedTokens = r.seq.Emitted
		sim.boxes[r.arrival.Box].Step(sim.now, admission.TokensMade{
			ID:        r.id,
			Generated: r.seq.Emitted,
		})
	}
}

// finishRequest ends a request and informs its box.
func (sim *simulation) finishRequest(r *request, completed bool) {
	delete(sim.active, r.id)
	made := 0
	if r.seq != nil {
		made = r.seq.Emitted
	}
	sim.execute(r.arrival.Box, sim.boxes[r.arrival.Box].Step(sim.now, admission.GenerationEnded{
		ID:        r.id,
		Generated: made,
		Whole:     completed,
	}))
}
