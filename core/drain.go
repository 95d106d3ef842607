package core

import "time"

// DrainState is the state of a process during a planned stop.
type DrainState string

// A process serves, drains after a stop request, and leaves when it has no work.
const (
	DrainServing  DrainState = "serving"
	DrainDraining DrainState = "draining"
	DrainLeft     DrainState = "left"
)

type drainTrigger string

const (
	drainStop  drainTrigger = "stop"
	drainEmpty drainTrigger = "empty"
)

var drainLifecycle = NewLifecycle(map[DrainState]map[drainTrigger]DrainState{
	DrainServing: {drainStop: DrainDraining},
	DrainDraining: {
		drainStop:  DrainDraining,
		drainEmpty: DrainLeft,
	},
	DrainLeft: {
		drainStop:  DrainLeft,
		drainEmpty: DrainLeft,
	},
})

// StopRequested reports a request for a planned stop; repeated requests have no
// effect.
type StopRequested struct{ EventBase }

// WorkChanged reports the work that is still in progress.
type WorkChanged struct {
	EventBase
	Streams int
	Pending int // handovers that are not finished
}

// RefuseNewWork asks the shell to refuse new work and to start handing over.
type RefuseNewWork struct{ CommandBase }

// Exit asks the shell to end the process.
type Exit struct{ CommandBase }

// Drain decides when a process with a planned stop may exit.
type Drain struct {
	State  DrainState
	work   WorkChanged // work as last reported
	since  time.Time   // time of the first stop request
	guards Guards
}

// NewDrain returns a Drain of a serving process.
func NewDrain(options ...Option) *Drain {
	return &Drain{
		State:  DrainServing,
		guards: newGuards(options),
	}
}

// Accepting reports whether the process accepts new work.
func (d *Drain) Accepting() bool { return d.State == DrainServing }

// Since returns the time of the first stop request.
func (d *Drain) Since() time.Time { return d.since }

// Step applies an event and returns the commands to carry out.
func (d *Drain) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case StopRequested:
		return d.handleStopRequested(now)
	case WorkChanged:
		d.work = e
		return d.leaveIfEmpty()
	}
	return nil
}

func (d *Drain) handleStopRequested(now time.Time) []Command {
	if d.State != DrainServing {
		return nil
	}
	d.since = now
	_ = drainLifecycle.Fire(&d.State, drainStop)
	return append([]Command{RefuseNewWork{}}, d.leaveIfEmpty()...)
}

func (d *Drain) leaveIfEmpty() []Command {
	if d.State != DrainDraining {
		return nil
	}
	if d.work.Streams+d.work.Pending > 0 && d.guards.enabled(GuardDrain) {
		return nil
	}
	_ = drainLifecycle.Fire(&d.State, drainEmpty)
	return []Command{Exit{}}
}
