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
	Key() string            // equal for states that behave alike
	Next() []Transition     // in an order that doesn't change between runs
	Broken() (string, bool) // what promise the state breaks
}

// Transition is one step to another state.
type Transition struct {
	Label string
	To    State
}

// Bounds limit an exploration; one of them ends it if the states don't.
type Bounds struct {
	Depth  int
	States int
}

// Result is what an exploration found.
type Result struct {
	States    int
	Depth     int
	Elapsed   time.Duration
	Complete  bool // no bound was reached
	Violation string
	Trace     []string
}

// String gives the result in one line.
func (r Result) String() string {
	how := "all states"
	if !r.Complete {
		how = "up to the bound"
	}
	text := fmt.Sprintf("%d states, depth %d, %s, %s", r.States, r.Depth, r.Elapsed.Round(time.Millisecond), how)
	if r.Violation != "" {
		text += "; broken: " + r.Violation
	}
	return text
}

// node is one state in the implicit graph that the library walks.
type node struct {
	id     int64
	parent int64
	label  string
	state  State
}

// ID names the node for the library.
func (n *node) ID() int64 { return n.id }

type edge struct{ from, to graph.Node }

func (e edge) From() graph.Node         { return e.from }
func (e edge) To() graph.Node           { return e.to }
func (e edge) ReversedEdge() graph.Edge { return edge{from: e.to, to: e.from} }

// space is the graph of a specification's states, made as it is walked.
type space struct {
	nodes  []*node
	byKey  map[fingerprint]int64
	states int
	full   bool
}

// fingerprint stands for a state's key, which would fill the memory: two keys of
// ten million states share one with a chance under 1e-24.
type fingerprint [16]byte

func fingerprintOf(key string) fingerprint {
	sum := sha256.Sum256([]byte(key))
	return fingerprint(sum[:16])
}

// From gives the states after one; the library asks once for each, and then the
// state itself is let go.
func (s *space) From(id int64) graph.Nodes {
	from := s.nodes[id]
	if from.state == nil || s.full {
		return graph.Empty
	}
	var next []graph.Node
	for _, t := range from.state.Next() {
		n, fresh := s.intern(t.To, id, t.Label)
		if fresh {
			next = append(next, n)
		}
	}
	from.state = nil
	if len(next) == 0 {
		return graph.Empty
	}
	return &nodeList{nodes: next}
}

// Edge gives the edge between two states.
func (s *space) Edge(u, v int64) graph.Edge {
	return edge{
		from: s.nodes[u],
		to:   s.nodes[v],
	}
}

func (s *space) intern(state State, parent int64, label string) (*node, bool) {
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
	s.full = s.full || len(s.nodes) >= s.states
	return n, true
}

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

// Explore walks all states from a first one, breadth first.
func Explore(first State, bounds Bounds) Result {
	began := time.Now()
	s := &space{
		byKey:  make(map[fingerprint]int64),
		states: bounds.States,
	}
	root, _ := s.intern(first, -1, "start")
	var out Result
	deep := false
	walker := traverse.BreadthFirst{}
	found := walker.Walk(s, root, func(n graph.Node, depth int) bool {
		out.Depth = depth
		if depth > bounds.Depth {
			deep = true
			return true
		}
		what, broken := n.(*node).state.Broken()
		if broken {
			out.Violation = what
		}
		return broken
	})
	out.States = len(s.nodes)
	out.Elapsed = time.Since(began)
	out.Complete = !deep && !s.full
	if found != nil && out.Violation != "" {
		out.Trace = s.trace(found.ID())
	}
	return out
}

func (s *space) trace(id int64) []string {
	var steps []string
	for ; id > 0; id = s.nodes[id].parent {
		steps = append([]string{s.nodes[id].label}, steps...)
	}
	return steps
}

// Walk takes one walk whose choices a function makes, and gives the first
// break. It is for seeded walks beyond what can be explored.
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
		if what, broken := at.Broken(); broken {
			out.Violation = what
			break
		}
	}
	out.States = out.Depth + 1
	out.Elapsed = time.Since(began)
	return out
}

// FormatTrace gives a trace as numbered lines.
func FormatTrace(trace []string) string {
	var b strings.Builder
	for i, step := range trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, step)
	}
	return b.String()
}
