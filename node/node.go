package node

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/trace"
)

// aggregate is a state machine of the packages core and admission.
type aggregate interface {
	Step(now time.Time, ev core.Event) []core.Command
}

// Node holds the aggregates of one box by name.
type Node struct {
	aggregates map[string]aggregate
	options    []core.Option
}

// Option configures a Node.
type Option func(*Node)

// WithCore passes options to the core aggregates, for instance to switch off a guard.
func WithCore(options ...core.Option) Option {
	return func(n *Node) { n.options = append(n.options, options...) }
}

// New returns a node without aggregates.
func New(options ...Option) *Node {
	n := &Node{aggregates: make(map[string]aggregate)}
	for _, o := range options {
		o(n)
	}
	return n
}

// versions adapts core.Versions to the aggregate interface.
type versions struct{ *core.Versions }

// Step applies one event. The time is ignored.
func (v versions) Step(_ time.Time, ev core.Event) []core.Command { return v.Versions.Step(ev) }

// UnknownAggregateError reports an event for an aggregate that doesn't exist.
type UnknownAggregateError struct {
	Name string
}

// Error names the aggregate and how to create it.
func (e *UnknownAggregateError) Error() string {
	return "no aggregate named " + e.Name + "; send its Begun event first"
}

// Step applies an event to the named aggregate. A Begun event creates it.
func (n *Node) Step(now time.Time, name string, ev core.Event) ([]core.Command, error) {
	if n.create(now, name, ev) {
		return nil, nil
	}
	a := n.aggregates[name]
	if a == nil && name == trace.Versions {
		a = versions{core.NewVersions(n.options...)}
		n.aggregates[name] = a
	}
	if a == nil {
		return nil, &UnknownAggregateError{Name: name}
	}
	return a.Step(now, ev), nil
}

// create creates an aggregate if the event is a Begun event, and reports whether
// it did.
func (n *Node) create(now time.Time, name string, ev core.Event) bool {
	switch e := ev.(type) {
	case trace.HomeBegun:
		n.aggregates[name] = core.NewClaimOwner(e.Self, e.Rules, now, n.options...)
	case trace.GenerationBegun:
		n.aggregates[name] = core.NewGeneration(e.Repeatable, e.Rules, n.options...)
	case trace.HoldBegun:
		n.aggregates[name] = core.NewOwnership(strings.TrimPrefix(name, trace.Ownership), e.Rules, n.options...)
	case trace.CallBegun:
		n.aggregates[name] = core.NewCall(e.Rules, func() bool { return e.Budget }, n.options...)
	case trace.ModelBegun:
		rules := admission.DefaultRules()
		rules.ExpectTokens = e.ExpectTokens
		rules.MaxWait = e.MaxWait
		n.aggregates[name] = admission.NewModel(admission.WithRules(rules))
	default:
		return false
	}
	return true
}

// Generation returns the generation with an ID, or nil.
func (n *Node) Generation(id string) *core.Generation {
	g, _ := n.aggregates[trace.Generation+id].(*core.Generation)
	return g
}

// Grantable returns how many tokens of an owner slot could be leased now.
func (n *Node) Grantable(now time.Time, name string, capacity int) (int, error) {
	ownership, ok := n.aggregates[name].(*core.Ownership)
	if !ok {
		return 0, errors.WithStack(&UnknownAggregateError{Name: name})
	}
	tokens, _ := ownership.Grantable(now, capacity)
	return tokens, nil
}
