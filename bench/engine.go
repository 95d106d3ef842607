package bench

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/standin"
)

// engineRun is one engine in virtual time.
type engineRun struct {
	name     string
	batch    *standin.Batch
	busy     bool
	dead     bool
	reported admission.Report
	reports  []timedReport
	shares   [core.SlotCount]*admission.Shares
}

type timedReport struct {
	at     time.Time
	report admission.Report
}

func (n *run) addEngine(name string) {
	e := &engineRun{
		name:  name,
		batch: standin.NewBatch(EngineRules()),
	}
	for slot := range e.shares {
		hold := core.NewOwnership(name, core.DefaultLeaseRules())
		hold.Step(n.now, core.HoldTaken{Fresh: true})
		e.shares[slot] = admission.NewShares(hold, EngineRules().MemoryTokens, slotCount, targetStep)
	}
	n.engines[name] = e
	n.names = append(n.names, name)
}

func (n *run) kill(e *engineRun) {
	e.dead = true
	for _, r := range n.all {
		if r.engine != e.name || n.live[r.id] == nil {
			continue
		}
		r.lost = true
		n.leave(r, false)
	}
}

func (n *run) startOn(r *request) {
	e := n.engines[r.engine]
	if e.dead {
		r.lost = true
		n.leave(r, false)
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
	if !e.busy {
		e.busy = true
		n.step(e)
	}
}

func (n *run) step(e *engineRun) {
	if e.dead || e.batch.IsIdle() {
		e.busy = false
		return
	}
	s := e.batch.Step()
	n.after(s.Duration, func() {
		for _, q := range s.Made {
			n.token(n.live[q.ID])
		}
		for _, q := range s.Finished {
			if r := n.live[q.ID]; r != nil {
				r.done = true
				n.leave(r, true)
			}
		}
		n.report(e, s.Duration)
		n.step(e)
	})
}

// report lets owners see an engine's load later.
func (n *run) report(e *engineRun, took time.Duration) {
	lag := reportLag + n.c.Lag
	e.reports = append(e.reports, timedReport{
		at: n.now,
		report: admission.Report{
			Batch: e.batch.Running(),
			Step:  took,
			Used:  e.batch.Used(),
		},
	})
	due := 0
	for due < len(e.reports) && n.now.Sub(e.reports[due].at) >= lag {
		due++
	}
	if due == 0 {
		return
	}
	e.reported = e.reports[due-1].report
	e.reports = slices.Delete(e.reports, 0, due)
	for slot := range e.shares {
		e.shares[slot].Observe(e.reported)
	}
}

// stallAfter is the silence between tokens that counts as a stall.
const stallAfter = 0.25

func (n *run) token(r *request) {
	if r == nil {
		return
	}
	if r.first.IsZero() {
		r.first = n.now
	} else {
		gap := n.now.Sub(r.last).Seconds()
		r.gaps = append(r.gaps, gap)
		r.stall += max(0, gap-stallAfter)
	}
	r.last = n.now
	if r.seq.Made-r.counted >= reportEvery {
		r.counted = r.seq.Made
		n.boxes[r.arrival.Box].Step(n.now, admission.TokensMade{
			ID:        r.id,
			Generated: r.seq.Made,
		})
	}
}

func (n *run) leave(r *request, whole bool) {
	delete(n.live, r.id)
	made := 0
	if r.seq != nil {
		made = r.seq.Made
	}
	n.perform(r.arrival.Box, n.boxes[r.arrival.Box].Step(n.now, admission.GenerationEnded{
		ID:        r.id,
		Generated: made,
		Whole:     whole,
	}))
}
