package core

import "time"

// DrainState is the state of a process on its way out.
type DrainState string

// A process serves, drains after a planned stop, and leaves when empty.
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

// StopRequested tells that a planned stop was asked for; a second one changes
// nothing.
type StopRequested struct{ EventBase }

// WorkChanged tells how much work is in progress and what is not handed over.
type WorkChanged struct {
	EventBase
	Streams int
	Pending int
}

// RefuseNewWork asks the shell to refuse new work and to hand over.
type RefuseNewWork struct{ CommandBase }

// Exit asks the shell to end the process.
type Exit struct{ CommandBase }

// Drain decides when a process that was asked to stop may leave.
type Drain struct {
	State  DrainState
	work   WorkChanged
	since  time.Time
	guards Guards
}

// NewDrain starts in service.
func NewDrain(options ...Option) *Drain {
	return &Drain{
		State:  DrainServing,
		guards: newGuards(options),
	}
}

// Accepting reports whether new work is taken.
func (d *Drain) Accepting() bool { return d.State == DrainServing }

// Since gives the moment of the first stop.
func (d *Drain) Since() time.Time { return d.since }

// Step applies one event.
func (d *Drain) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case StopRequested:
		return d.stop(now)
	case WorkChanged:
		d.work = e
		return d.leaveIfEmpty()
	}
	return nil
}

func (d *Drain) stop(now time.Time) []Command {
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
	if d.work.Streams+d.work.Pending > 0 && d.guards.on(GuardDrain) {
		return nil
	}
	_ = drainLifecycle.Fire(&d.State, drainEmpty)
	return []Command{Exit{}}
}
