package node

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/trace"
)

// aggregate is what every aggregate of the core is.
type aggregate interface {
	Step(now time.Time, ev core.Event) []core.Command
}

// Node is one node's decisions.
type Node struct {
	aggregates map[string]aggregate
	options    []core.Option
}

// Option changes how a node is built.
type Option func(*Node)

// WithCore gives options to the aggregates of the core; proofs switch guards off
// by it.
func WithCore(options ...core.Option) Option {
	return func(n *Node) { n.options = append(n.options, options...) }
}

// New builds a node without any aggregate.
func New(options ...Option) *Node {
	n := &Node{aggregates: make(map[string]aggregate)}
	for _, o := range options {
		o(n)
	}
	return n
}

// versions gives the configuration versions the shape of the others.
type versions struct{ *core.Versions }

// Step applies one event; versions need no time.
func (v versions) Step(_ time.Time, ev core.Event) []core.Command { return v.Versions.Step(ev) }

// UnknownAggregateError reports an event for an aggregate that was not begun.
type UnknownAggregateError struct {
	Name string
}

// Error names the aggregate and the remedy.
func (e *UnknownAggregateError) Error() string {
	return "nothing named " + e.Name + " was begun; give its Begun event first"
}

// Step gives an aggregate an event; a Begun event makes the aggregate.
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

func (n *Node) create(now time.Time, name string, ev core.Event) bool {
	switch e := ev.(type) {
	case trace.HomeBegun:
		n.aggregates[name] = core.NewClaimOwner(e.Self, e.Rules, now, n.options...)
	case trace.GenerationBegun:
		n.aggregates[name] = core.NewGeneration(e.Repeatable, e.Rules, n.options...)
	case trace.HoldBegun:
		n.aggregates[name] = core.NewOwnership(strings.TrimPrefix(name, trace.Hold), e.Rules, n.options...)
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

// Generation gives a stream's decisions, or nil.
func (n *Node) Generation(id string) *core.Generation {
	g, _ := n.aggregates[trace.Generation+id].(*core.Generation)
	return g
}

// Grantable gives how much of an endpoint's half an owner would lease now.
func (n *Node) Grantable(now time.Time, name string, capacity int) (int, error) {
	ownership, ok := n.aggregates[name].(*core.Ownership)
	if !ok {
		return 0, errors.WithStack(&UnknownAggregateError{Name: name})
	}
	tokens, _ := ownership.Grantable(now, capacity)
	return tokens, nil
}
