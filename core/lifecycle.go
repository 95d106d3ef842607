package core

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// IllegalTransition reports a trigger that a state does not permit.
type IllegalTransition struct {
	State   string
	Trigger string
}

// Error names the state, the trigger and the remedy.
func (e *IllegalTransition) Error() string {
	return fmt.Sprintf("%s is not permitted in state %s; drop the event or start a new aggregate", e.Trigger, e.State)
}

type stateKey struct{}

// Lifecycle is one state machine shared by all aggregates of a kind; the state
// itself stays in the aggregate, so that it can be copied.
type Lifecycle[S ~string, T ~string] struct {
	machine *stateless.StateMachine
}

// NewLifecycle builds the machine from a table of permitted transitions.
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

// Fire moves the state by a trigger, or reports an IllegalTransition.
func (l *Lifecycle[S, T]) Fire(state *S, trigger T) error {
	return l.machine.FireCtx(context.WithValue(context.Background(), stateKey{}, state), trigger)
}

// Graph gives the machine in DOT form, for the docs.
func (l *Lifecycle[S, T]) Graph() string { return l.machine.ToGraph() }
