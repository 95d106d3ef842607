package model

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"gonum.org/v1/gonum/graph"
	"gonum.org/v1/gonum/graph/traverse"
)

// State is one state of a specification.
type State interface {
	Key() string                   // equal for states that behave alike
	Next() []Transition            // in the same order in every run
	FindViolation() (string, bool) // the promise that the state breaks, if any
}

// Transition is one step to another state.
type Transition struct {
	Label string
	To    State
}

// Bounds limit an exploration, which ends at the first bound that it reaches.
type Bounds struct {
	Depth  int
	States int
}

// Result is the outcome of an exploration or a walk. If a promise was broken,
// Violation describes it and Trace holds the labels of the steps that led there.
type Result struct {
	States    int
	Depth     int
	Elapsed   time.Duration
	Complete  bool // no bound was reached
	Violation string
	Trace     []string
}

// String formats the result as one line.
func (r Result) String() string {
	coverage := "all states"
	if !r.Complete {
		coverage = "up to the bound"
	}
	text := fmt.Sprintf("%d states, depth %d, %s, %s", r.States, r.Depth, r.Elapsed.Round(time.Millisecond), coverage)
	if r.Violation != "" {
		text += "; broken: " + r.Violation
	}
	return text
}

// node is one state in the implicit graph that gonum traverses.
type node struct {
	id     int64
	parent int64
	label  string
	state  State
}

// ID implements graph.Node.
func (n *node) ID() int64 { return n.id }

// edge implements graph.Edge.
type edge struct{ from, to graph.Node }

func (e edge) From() graph.Node         { return e.from }
func (e edge) To() graph.Node           { return e.to }
func (e edge) ReversedEdge() graph.Edge { return edge{from: e.to, to: e.from} }

// stateGraph is the graph of a specification's states, built during the traversal.
type stateGraph struct {
	nodes        []*node
	byKey        map[fingerprint]int64
	maxStates    int
	limitReached bool
}

// fingerprint is a truncated hash of a state's key; keeping the keys themselves would
// take too much memory. Among ten million states, the probability that two keys
// share a fingerprint is below 1e-24.
type fingerprint [16]byte

func fingerprintOf(key string) fingerprint {
	sum := sha256.Sum256([]byte(key))
	return fingerprint(sum[:16])
}

// From returns the successors of a state that were not reached before. gonum calls it once
// for each state, which is released afterwards to save memory.
func (s *stateGraph) From(id int64) graph.Nodes {
	from := s.nodes[id]
	if from.state == nil || s.limitReached {
		return graph.Empty
	}
	var next []graph.Node
	for _, t := range from.state.Next() {
		n, isNew := s.intern(t.To, id, t.Label)
		if isNew {
			next = append(next, n)
		}
	}
	from.state = nil
	if len(next) == 0 {
		return graph.Empty
	}
	return &nodeList{nodes: next}
}

// Edge returns the edge between two states, as gonum requires.
func (s *stateGraph) Edge(u, v int64) graph.Edge {
	return edge{
		from: s.nodes[u],
		to:   s.nodes[v],
	}
}

// intern returns the node of a state and reports whether the state is new.
func (s *stateGraph) intern(state State, parent int64, label string) (*node, bool) {
	key := fingerprintOf(state.Key())
	if id, known := s.byKey[key]; known {
		return s.nodes[id], false
	}
	n := &node{
		id:     int64(len(s.nodes)),
		parent: parent,
		label:  label,
		state:  state,
	}
	s.nodes = append(s.nodes, n)
	s.byKey[key] = n.id
	s.limitReached = s.limitReached || len(s.nodes) >= s.maxStates
	return n, true
}

// nodeList implements graph.Nodes, an iterator over nodes.
type nodeList struct {
	nodes []graph.Node
	at    int
}

func (l *nodeList) Next() bool {
	l.at++
	return l.at <= len(l.nodes)
}
func (l *nodeList) Len() int         { return len(l.nodes) - l.at }
func (l *nodeList) Reset()           { l.at = 0 }
func (l *nodeList) Node() graph.Node { return l.nodes[l.at-1] }

// Explore visits all states that can be reached from a first one, breadth first, until it
// finds a violation or reaches a bound.
func Explore(first State, bounds Bounds) Result {
	began := time.Now()
	s := &stateGraph{
		byKey:     make(map[fingerprint]int64),
		maxStates: bounds.States,
	}
	root, _ := s.intern(first, -1, "start")
	var out Result
	depthExceeded := false
	walker := traverse.BreadthFirst{}
	found := walker.Walk(s, root, func(n graph.Node, depth int) bool {
		out.Depth = depth
		if depth > bounds.Depth {
			depthExceeded = true
			return true
		}
		violation, violated := n.(*node).state.FindViolation()
		if violated {
			out.Violation = violation
		}
		return violated
	})
	out.States = len(s.nodes)
	out.Elapsed = time.Since(began)
	out.Complete = !depthExceeded && !s.limitReached
	if found != nil && out.Violation != "" {
		out.Trace = s.trace(found.ID())
	}
	return out
}

// trace returns the labels of the steps from the first state to another.
func (s *stateGraph) trace(id int64) []string {
	var steps []string
	for ; id > 0; id = s.nodes[id].parent {
		steps = append([]string{s.nodes[id].label}, steps...)
	}
	return steps
}

// Walk takes a single path of at most the given number of steps, each selected by
// choose, and returns the first violation. Seeded walks reach deeper than an
// exploration can.
func Walk(first State, steps int, choose func(n int) int) Result {
	began := time.Now()
	var out Result
	at := first
	for out.Depth = 0; out.Depth < steps; out.Depth++ {
		next := at.Next()
		if len(next) == 0 {
			break
		}
		t := next[choose(len(next))]
		out.Trace = append(out.Trace, t.Label)
		at = t.To
		if violation, violated := at.FindViolation(); violated {
			out.Violation = violation
			break
		}
	}
	out.States = out.Depth + 1
	out.Elapsed = time.Since(began)
	return out
}

// FormatTrace formats a trace as numbered lines.
func FormatTrace(trace []string) string {
	var b strings.Builder
	for i, step := range trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, step)
	}
	return b.String()
}
