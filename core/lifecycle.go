package core

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// IllegalTransition is the error for a trigger that the current state doesn't permit.
type IllegalTransition struct {
	State   string
	Trigger string
}

// Error returns the trigger and the state.
func (e *IllegalTransition) Error() string {
	return fmt.Sprintf("trigger %s is not permitted in state %s", e.Trigger, e.State)
}

type stateKey struct{}

// Lifecycle is a state machine that is shared by all aggregates of a kind. The state
// is stored in the aggregate, so that it is copied with it.
type Lifecycle[S ~string, T ~string] struct {
	machine *stateless.StateMachine
}

// NewLifecycle returns the state machine for a table of permitted transitions.
func NewLifecycle[S ~string, T ~string](table map[S]map[T]S) *Lifecycle[S, T] {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return *ctx.Value(stateKey{}).(*S), nil },
		func(ctx context.Context, next stateless.State) error {
			*ctx.Value(stateKey{}).(*S) = next.(S)
			return nil
		},
		stateless.FiringImmediate,
	)
	for from, transitions := range table {
		configured := machine.Configure(from)
		for trigger, to := range transitions {
			if to == from {
				configured.PermitReentry(trigger)
				continue
			}
			configured.Permit(trigger, to)
		}
	}
	machine.OnUnhandledTrigger(func(_ context.Context, state stateless.State, trigger stateless.Trigger, _ []string) error {
		return &IllegalTransition{
			State:   fmt.Sprint(state),
			Trigger: fmt.Sprint(trigger),
		}
	})
	return &Lifecycle[S, T]{machine: machine}
}

// Fire applies a trigger to the state, or returns an IllegalTransition.
func (l *Lifecycle[S, T]) Fire(state *S, trigger T) error {
	return l.machine.FireCtx(context.WithValue(context.Background(), stateKey{}, state), trigger)
}

// Graph returns the state machine in DOT format.
func (l *Lifecycle[S, T]) Graph() string { return l.machine.ToGraph() }
