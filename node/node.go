package node

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/trace"
)

// stepper is what every aggregate of the core is.
type stepper interface {
	Step(now time.Time, ev core.Event) []core.Command
}

// Node is one node's decisions.
type Node struct {
	parts   map[string]stepper
	options []core.Option
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
	n := &Node{parts: make(map[string]stepper)}
	for _, o := range options {
		o(n)
	}
	return n
}

// versions gives the configuration versions the shape of the others.
type versions struct{ *core.Versions }

// Step applies one event; versions need no time.
func (v versions) Step(_ time.Time, ev core.Event) []core.Command { return v.Versions.Step(ev) }

// UnknownPart reports an event for an aggregate that was not begun.
type UnknownPart struct {
	On string
}

// Error names the aggregate and the remedy.
func (e *UnknownPart) Error() string {
	return "nothing named " + e.On + " was begun; give its Begun event first"
}

// Step gives an aggregate an event; a Begun event makes the aggregate.
func (n *Node) Step(now time.Time, on string, ev core.Event) ([]core.Command, error) {
	if n.begin(now, on, ev) {
		return nil, nil
	}
	part := n.parts[on]
	if part == nil && on == trace.Versions {
		part = versions{core.NewVersions(n.options...)}
		n.parts[on] = part
	}
	if part == nil {
		return nil, &UnknownPart{On: on}
	}
	return part.Step(now, ev), nil
}

func (n *Node) begin(now time.Time, on string, ev core.Event) bool {
	switch e := ev.(type) {
	case trace.HomeBegun:
		n.parts[on] = core.NewClaimOwner(e.Self, e.Rules, now, n.options...)
	case trace.GenerationBegun:
		n.parts[on] = core.NewGeneration(e.Repeatable, e.Rules, n.options...)
	case trace.HoldBegun:
		n.parts[on] = core.NewOwnership(strings.TrimPrefix(on, trace.Ownership), e.Rules, n.options...)
	case trace.CallBegun:
		n.parts[on] = core.NewCall(e.Rules, func() bool { return e.Budget }, n.options...)
	case trace.ModelBegun:
		rules := admission.DefaultRules()
		rules.ExpectTokens = e.ExpectTokens
		rules.MaxWait = e.MaxWait
		n.parts[on] = admission.NewModel(admission.WithRules(rules))
	default:
		return false
	}
	return true
}

// Generation gives a stream's decisions, or nil.
func (n *Node) Generation(id string) *core.Generation {
	g, _ := n.parts[trace.Generation+id].(*core.Generation)
	return g
}

// Grantable gives how much of an endpoint's half an owner would lease now.
func (n *Node) Grantable(now time.Time, on string, capacity int) (int, error) {
	h, ok := n.parts[on].(*core.Ownership)
	if !ok {
		return 0, errors.WithStack(&UnknownPart{On: on})
	}
	tokens, _ := h.Grantable(now, capacity)
	return tokens, nil
}
