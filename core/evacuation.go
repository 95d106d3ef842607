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
	// StartLimit is how long another box may take to announce that it moves the run whose
	// turn it is, before the turn passes on. At 0 it has as long as for the whole move.
	StartLimit time.Duration
	// Overhead is how much longer than its copy a move takes.
	Overhead time.Duration
	// Notice is how long the engine is expected to run after it was found to be leaving;
	// 0 if unknown.
	Notice time.Duration
}

// DefaultEvacuationRules returns the limits used in production. Settle covers the
// gossip between boxes; Slack covers the two calls to the engine that a move makes
// besides the copy; StartLimit covers the gossip and the choice of a target.
func DefaultEvacuationRules() EvacuationRules {
	return EvacuationRules{
		Settle:     20 * time.Millisecond,
		Slack:      60 * time.Millisecond,
		StartLimit: 50 * time.Millisecond,
		Overhead:   25 * time.Millisecond,
	}
}

// EvacuatedRun is a run that has to be moved off a leaving engine.
type EvacuatedRun struct {
	ID       string
	Priority routing.Priority
	Value    float64       // benefit of the move, in the same unit at all boxes
	CopyTime time.Duration // copy time of its memory over an idle link
	EndsIn   time.Duration // time until it is expected to end by itself; 0 if unknown
}

// RunsAdded reports runs at the leaving engine, or new properties of known ones; Own is set
// if they are this box's runs.
type RunsAdded struct {
	EventBase
	Runs []EvacuatedRun
	Own  bool
}

// MoveStarted reports that another box has started the move of its run.
type MoveStarted struct {
	EventBase
	ID string
}

// RunFinished reports that a run is no longer at the engine, or that its move
// failed permanently.
type RunFinished struct {
	EventBase
	ID string
}

// WakeTimeReached reports that the time of the last WakeAt has come.
type WakeTimeReached struct{ EventBase }

// PrepareMove asks the shell to choose the target of one of the box's own runs, whose turn is
// next, and to reserve it.
type PrepareMove struct {
	CommandBase
	ID string
}

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
	rules     EvacuationRules
	startedAt time.Time
	runs      map[string]*plannedRun
}

type plannedRun struct {
	EvacuatedRun
	own      bool
	done     bool      // its move ended or timed out
	prepared bool      // the shell was asked to reserve its target
	started  bool      // its box is known to move it
	endsAt   time.Time // when it is expected to end by itself; zero if unknown
	turnAt   time.Time // when its turn began; zero if it is not its turn
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
			v.addRun(now, r, e.Own)
		}
	case MoveStarted:
		v.markStarted(now, e.ID)
	case RunFinished:
		if r := v.runs[e.ID]; r != nil {
			r.end()
		}
	}
	return v.startNext(now)
}

// addRun adds a run to the plan. A run that was done is planned again, so that its
// box can retry the move.
func (v *Evacuation) addRun(now time.Time, r EvacuatedRun, own bool) {
	r.CopyTime = max(r.CopyTime, 0)
	planned := v.runs[r.ID]
	if planned == nil || planned.done {
		planned = &plannedRun{own: own}
		v.runs[r.ID] = planned
	}
	planned.EvacuatedRun = r
	if r.EndsIn > 0 {
		planned.endsAt = now.Add(r.EndsIn)
	}
}

// markStarted records that another box moves a run. If this box expected another run to be
// moved, it has planned with other runs or another time, and follows the box that moves one.
func (v *Evacuation) markStarted(now time.Time, id string) {
	started := v.runs[id]
	if started == nil || started.own {
		return
	}
	for _, r := range v.runs {
		if !r.own && !r.started {
			r.turnAt = time.Time{}
		}
	}
	started.done = false
	started.started = true
	started.turnAt = now
}

// end marks a run as done.
func (r *plannedRun) end() {
	r.done = true
	r.turnAt = time.Time{}
}

// startNext starts the next move unless one is in progress.
func (v *Evacuation) startNext(now time.Time) []Command {
	if settled := v.startedAt.Add(v.rules.Settle); now.Before(settled) {
		return append(v.prepareNext(now), WakeAt{At: settled})
	}
	for {
		if deadline := v.turnDeadline(now); !deadline.IsZero() {
			return append(v.prepareNext(now), WakeAt{At: deadline})
		}
		r, wait := v.nextRun(now)
		if r == nil {
			return nil
		}
		if wait > 0 {
			return append(v.prepareNext(now), WakeAt{At: now.Add(wait)})
		}
		r.turnAt = now
		r.started = r.own
		if r.own {
			commands := append([]Command{MoveRun{ID: r.ID}}, v.prepareNext(now)...)
			return append(commands, WakeAt{At: v.turnDeadline(now)})
		}
	}
}

// turnDeadline ends the turns that have timed out, and returns when the last of the others
// does, or the zero time if there are none.
func (v *Evacuation) turnDeadline(now time.Time) time.Time {
	var last time.Time
	for _, r := range v.runs {
		if r.turnAt.IsZero() {
			continue
		}
		deadline := r.turnAt.Add(2*r.CopyTime + v.rules.Slack)
		if !r.started && v.rules.StartLimit > 0 {
			deadline = r.turnAt.Add(v.rules.StartLimit)
		}
		if !now.Before(deadline) {
			r.end()
		} else if deadline.After(last) {
			last = deadline
		}
	}
	return last
}

// prepareNext returns the command to reserve the target of the next run, if it is this box's.
func (v *Evacuation) prepareNext(now time.Time) []Command {
	r, _ := v.nextRun(now)
	if r == nil || !r.own || r.prepared {
		return nil
	}
	r.prepared = true
	return []Command{PrepareMove{ID: r.ID}}
}

// nextRun returns the run to move next, and for how long its move is put off. The order is:
// runs whose copy ends within the engine's notice; the others, in case the engine stays longer;
// and runs that are expected to end by themselves before the engine does. Within these it is
// by priority, then by value per second of copying.
func (v *Evacuation) nextRun(now time.Time) (next *plannedRun, wait time.Duration) {
	var best *plannedRun
	var bestClass int
	var ending time.Duration // time to move the runs that are expected to end by themselves
	for _, r := range v.runs {
		if r.done || !r.turnAt.IsZero() {
			continue
		}
		class := v.class(now, r)
		if class == endsItself {
			ending += v.moveTime(r)
		}
		if best == nil || class < bestClass || (class == bestClass && r.before(best)) {
			best = r
			bestClass = class
		}
	}
	if best == nil || bestClass != endsItself {
		return best, 0
	}
	return best, max(0, v.end().Add(-ending).Sub(now))
}

// The classes of runs, in the order of their moves.
const (
	fitsNotice = iota
	exceedsNotice
	endsItself
)

func (v *Evacuation) class(now time.Time, r *plannedRun) int {
	if v.rules.Notice <= 0 {
		return fitsNotice
	}
	fits := !now.Add(v.moveTime(r)).After(v.end())
	if fits && !r.endsAt.IsZero() && r.endsAt.Before(v.end()) {
		return endsItself
	}
	if !fits {
		return exceedsNotice
	}
	return fitsNotice
}

// end returns when the engine is expected to end.
func (v *Evacuation) end() time.Time { return v.startedAt.Add(v.rules.Notice) }

// moveTime returns how long the move of a run takes if its copy waits for no other.
func (v *Evacuation) moveTime(r *plannedRun) time.Duration { return r.CopyTime + v.rules.Overhead }

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
