package core

import (
	"cmp"
	"time"
)

// EvacuationRules are the times of a plan.
type EvacuationRules struct {
	// Settle is how long a box waits, after it learned that an engine leaves, for
	// what the other boxes have there.
	Settle time.Duration
	// Slack is what a move may take beyond twice its copy before the next one
	// begins all the same.
	Slack time.Duration
}

// DefaultEvacuationRules fit boxes that hear each other within some milliseconds.
// A move is two calls to the engine beside its copy; a copy that met another one
// on the target's link takes about twice its time.
func DefaultEvacuationRules() EvacuationRules {
	return EvacuationRules{
		Settle: 20 * time.Millisecond,
		Slack:  60 * time.Millisecond,
	}
}

// EvacuatedRun is a run that is to be moved off an engine that leaves.
type EvacuatedRun struct {
	ID       string
	Rank     int           // lower ones go first
	Value    float64       // in any unit that all boxes use
	CopyTime time.Duration // what the copy of its memory takes on a free link
}

// RunsAdded says that runs are at the engine, of this box or of another one.
type RunsAdded struct {
	EventBase
	Runs []EvacuatedRun
	Own  bool
}

// RunFinished says that a run is at the engine no more, or that its move failed for
// good.
type RunFinished struct {
	EventBase
	ID string
}

// WakeTimeReached says that a time came which the plan asked to be woken at.
type WakeTimeReached struct{ EventBase }

// MoveRun asks the shell to move one of its runs now.
type MoveRun struct {
	CommandBase
	ID string
}

// WakeAt asks the shell for TurnPassed at a time.
type WakeAt struct {
	CommandBase
	At time.Time
}

// Evacuation plans the moves off one engine that leaves: one after the other, over
// all boxes. The engine copies the memory of runs one after the other over one
// link; moves that are begun together all end late, and those that didn't end
// when the engine goes are lost together. Every box computes the same order from
// what the boxes tell each other. A box that hears nothing, or tells nothing, only
// lets its turn pass.
type Evacuation struct {
	rules  EvacuationRules
	begun  time.Time
	runs   map[string]*evacuated
	turn   *evacuated // whose move is under way
	turnAt time.Time
}

type evacuated struct {
	EvacuatedRun
	own    bool
	closed bool // its turn passed, or it is over
}

// NewEvacuation begins a plan when the box learns that the engine leaves.
func NewEvacuation(now time.Time, rules EvacuationRules) *Evacuation {
	return &Evacuation{
		rules: rules,
		begun: now,
		runs:  make(map[string]*evacuated),
	}
}

// Step takes an event and gives what is to be done.
func (v *Evacuation) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case RunsAdded:
		for _, r := range e.Runs {
			v.find(r, e.Own)
		}
	case RunFinished:
		v.over(e.ID)
	}
	return v.next(now)
}

// find takes a run. One that was over is in the plan again when its own box says
// so: its move may be tried once more.
func (v *Evacuation) find(r EvacuatedRun, own bool) {
	known := v.runs[r.ID]
	if known != nil && (known == v.turn || !known.closed) {
		return
	}
	v.runs[r.ID] = &evacuated{
		EvacuatedRun: r,
		own:          own,
	}
}

// over closes a run's part, also before it was heard of.
func (v *Evacuation) over(id string) {
	r := v.runs[id]
	if r == nil {
		return
	}
	r.closed = true
	if v.turn == r {
		v.turn = nil
	}
}

// next gives the turn to the first run that waits, if nobody has it.
func (v *Evacuation) next(now time.Time) []Command {
	if settled := v.begun.Add(v.rules.Settle); now.Before(settled) {
		return []Command{WakeAt{At: settled}}
	}
	for {
		if v.turn != nil && !now.Before(v.turnEnds()) {
			v.turn.closed = true
			v.turn = nil
		}
		if v.turn != nil {
			return []Command{WakeAt{At: v.turnEnds()}}
		}
		r := v.first()
		if r == nil {
			return nil
		}
		v.turn = r
		v.turnAt = now
		if r.own {
			return []Command{MoveRun{ID: r.ID}, WakeAt{At: v.turnEnds()}}
		}
	}
}

// turnEnds gives when the next run goes on although the one before isn't over.
func (v *Evacuation) turnEnds() time.Time {
	return v.turnAt.Add(2*v.turn.CopyTime + v.rules.Slack)
}

// first gives the run that goes next: by rank, then by what a second of the link
// saves.
func (v *Evacuation) first() *evacuated {
	var best *evacuated
	for _, r := range v.runs {
		if !r.closed && (best == nil || r.before(best)) {
			best = r
		}
	}
	return best
}

func (r *evacuated) before(o *evacuated) bool {
	return cmp.Or(
		cmp.Compare(r.Rank, o.Rank),
		cmp.Compare(o.density(), r.density()),
		cmp.Compare(r.ID, o.ID),
	) < 0
}

func (r *evacuated) density() float64 {
	return r.Value / max(r.CopyTime, time.Millisecond).Seconds()
}
