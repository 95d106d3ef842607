package core

import (
	"cmp"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// EvacuationRules are the time limits of an evacuation plan.
type EvacuationRules struct {
	// Settle is how long a box waits for the other boxes' runs before the first move.
	Settle time.Duration
	// Slack is how long a move may take beyond twice its copy time before the next
	// move starts anyway.
	Slack time.Duration
}

// DefaultEvacuationRules returns the limits used in production. Settle covers the
// gossip between boxes; Slack covers the two calls to the engine that a move makes
// besides the copy.
func DefaultEvacuationRules() EvacuationRules {
	return EvacuationRules{
		Settle: 20 * time.Millisecond,
		Slack:  60 * time.Millisecond,
	}
}

// EvacuatedRun is a run that has to be moved off a leaving engine.
type EvacuatedRun struct {
	ID       string
	Priority routing.Priority
	Value    float64       // benefit of the move, in the same unit at all boxes
	CopyTime time.Duration // copy time of its memory over an idle link
}

// RunsAdded reports runs at the leaving engine; Own is set if they are this box's runs.
type RunsAdded struct {
	EventBase
	Runs []EvacuatedRun
	Own  bool
}

// RunFinished reports that a run is no longer at the engine, or that its move
// failed permanently.
type RunFinished struct {
	EventBase
	ID string
}

// WakeTimeReached reports that the time of the last WakeAt has come.
type WakeTimeReached struct{ EventBase }

// MoveRun asks the shell to move one of the box's own runs now.
type MoveRun struct {
	CommandBase
	ID string
}

// WakeAt asks the shell to send WakeTimeReached at a given time.
type WakeAt struct {
	CommandBase
	At time.Time
}

// Evacuation plans the moves of runs off one leaving engine, one at a time over all
// boxes. The engine copies memory over a single link, so moves that run in parallel
// would all finish late and could be lost together. The boxes exchange their runs
// and each computes the same order. If messages are lost, a box waits at most
// until the current move's deadline before the next move starts.
type Evacuation struct {
	rules        EvacuationRules
	startedAt    time.Time
	runs         map[string]*plannedRun
	current      *plannedRun // run that is being moved
	currentSince time.Time
}

type plannedRun struct {
	EvacuatedRun
	own  bool
	done bool // its move ended or timed out
}

// NewEvacuation returns a plan for an engine that was found to be leaving now.
func NewEvacuation(now time.Time, rules EvacuationRules) *Evacuation {
	return &Evacuation{
		rules:     rules,
		startedAt: now,
		runs:      make(map[string]*plannedRun),
	}
}

// Step applies an event and returns the commands to carry out.
func (v *Evacuation) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case RunsAdded:
		for _, r := range e.Runs {
			v.addRun(r, e.Own)
		}
	case RunFinished:
		v.finishRun(e.ID)
	}
	return v.startNext(now)
}

// addRun adds a run to the plan. A run that was done is planned again, so that its
// box can retry the move.
func (v *Evacuation) addRun(r EvacuatedRun, own bool) {
	planned := v.runs[r.ID]
	if planned != nil && (planned == v.current || !planned.done) {
		return
	}
	v.runs[r.ID] = &plannedRun{
		EvacuatedRun: r,
		own:          own,
	}
}

// finishRun marks a run as done.
func (v *Evacuation) finishRun(id string) {
	r := v.runs[id]
	if r == nil {
		return
	}
	r.done = true
	if v.current == r {
		v.current = nil
	}
}

// startNext starts the next move unless one is in progress.
func (v *Evacuation) startNext(now time.Time) []Command {
	if settled := v.startedAt.Add(v.rules.Settle); now.Before(settled) {
		return []Command{WakeAt{At: settled}}
	}
	for {
		if v.current != nil && !now.Before(v.currentDeadline()) {
			v.current.done = true
			v.current = nil
		}
		if v.current != nil {
			return []Command{WakeAt{At: v.currentDeadline()}}
		}
		r := v.nextRun()
		if r == nil {
			return nil
		}
		v.current = r
		v.currentSince = now
		if r.own {
			return []Command{MoveRun{ID: r.ID}, WakeAt{At: v.currentDeadline()}}
		}
	}
}

// currentDeadline returns when the next move starts even if the current one hasn't
// ended.
func (v *Evacuation) currentDeadline() time.Time {
	return v.currentSince.Add(2*v.current.CopyTime + v.rules.Slack)
}

// nextRun returns the run to move next: the one of the first priority, and among these the
// one with the highest value per second of copying.
func (v *Evacuation) nextRun() *plannedRun {
	var best *plannedRun
	for _, r := range v.runs {
		if !r.done && (best == nil || r.before(best)) {
			best = r
		}
	}
	return best
}

func (r *plannedRun) before(o *plannedRun) bool {
	return cmp.Or(
		r.Priority.Compare(o.Priority),
		cmp.Compare(o.valuePerSecond(), r.valuePerSecond()),
		cmp.Compare(r.ID, o.ID),
	) < 0
}

func (r *plannedRun) valuePerSecond() float64 {
	return r.Value / max(r.CopyTime, time.Millisecond).Seconds()
}
