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

func (n *simulation) addEngine(name string) {
	e := &simulatedEngine{
		name:  name,
		batch: standin.NewBatch(EngineRules()),
	}
	for slot := range e.shares {
		ownership := core.NewOwnership(name, core.DefaultLeaseRules())
		ownership.Step(n.now, core.HoldTaken{Fresh: true})
		e.shares[slot] = admission.NewShares(ownership, EngineRules().MemoryTokens, slotCount, targetStepTime)
	}
	n.engines[name] = e
	n.engineNames = append(n.engineNames, name)
}

// failEngine stops an engine; its running requests are lost.
func (n *simulation) failEngine(e *simulatedEngine) {
	e.hasFailed = true
	for _, r := range n.requests {
		if r.engine != e.name || n.active[r.id] == nil {
			continue
		}
		r.lost = true
		n.finishRequest(r, false)
	}
}

// startRequest submits a placed request to its engine.
func (n *simulation) startRequest(r *request) {
	e := n.engines[r.engine]
	if e.hasFailed {
		r.lost = true
		n.finishRequest(r, false)
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
		n.stepEngine(e)
	}
}

// stepEngine runs one batch step of an engine and schedules its results and the next step.
func (n *simulation) stepEngine(e *simulatedEngine) {
	if e.hasFailed || e.batch.IsIdle() {
		e.isStepping = false
		return
	}
	s := e.batch.Step()
	n.schedule(s.Duration, func() {
		for _, q := range s.Emitted {
			n.recordToken(n.active[q.ID])
		}
		for _, q := range s.Finished {
			if r := n.active[q.ID]; r != nil {
				r.done = true
				n.finishRequest(r, true)
			}
		}
		n.report(e, s.Duration)
		n.stepEngine(e)
	})
}

// report queues an engine's load report and delivers to the owners those that are at least
// the report lag old.
func (n *simulation) report(e *simulatedEngine, took time.Duration) {
	lag := reportLag + n.testCase.ReportLag
	e.pendingReports = append(e.pendingReports, timedReport{
		at: n.now,
		report: admission.Report{
			Batch: e.batch.Running(),
			Step:  took,
			Used:  e.batch.Used(),
		},
	})
	visible := 0
	for visible < len(e.pendingReports) && n.now.Sub(e.pendingReports[visible].at) >= lag {
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

// recordToken records when a request's token was generated, and reports its progress to
// its box at every tokensPerReport tokens.
func (n *simulation) recordToken(r *request) {
	if r == nil {
		return
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = n.now
	} else {
		gap := n.now.Sub(r.lastTokenAt).Seconds()
		r.tokenGaps = append(r.tokenGaps, gap)
		r.stallSeconds += max(0, gap-stallThresholdSeconds)
	}
	r.lastTokenAt = n.now
	if r.seq.Emitted-r.reportedTokens >= tokensPerReport {
		r.reportedTokens = r.seq.Emitted
		n.boxes[r.arrival.Box].Step(n.now, admission.TokensMade{
			ID:        r.id,
			Generated: r.seq.Emitted,
		})
	}
}

// finishRequest ends a request and informs its box.
func (n *simulation) finishRequest(r *request, completed bool) {
	delete(n.active, r.id)
	made := 0
	if r.seq != nil {
		made = r.seq.Emitted
	}
	n.execute(r.arrival.Box, n.boxes[r.arrival.Box].Step(n.now, admission.GenerationEnded{
		ID:        r.id,
		Generated: made,
		Whole:     completed,
	}))
}
