package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// DrainRules are the bounds of the specification of planned stops, in which a
// process drains its streams and claims before it exits.
type DrainRules struct {
	Streams int
	Options []core.Option
}

// drainState holds a process that can be stopped, with its streams and claims.
type drainState struct {
	rules          *DrainRules
	drain          *core.Drain
	streams        int
	pendingClaims  int // claims that their next owner has not received
	startedStreams int
	stopRequests   int
	lostWork       bool // the process exited with open streams or unsent claims
	acceptedLate   bool // a stream was accepted after the stop
}

// maxStops is how many times the stop is requested.
const maxStops = 3

// PlannedStops returns the first state of the specification of planned stops.
func PlannedStops(rules DrainRules) State {
	return &drainState{
		rules:         &rules,
		drain:         core.NewDrain(rules.Options...),
		pendingClaims: 1,
	}
}

// Key encodes everything that the later states depend on.
func (s *drainState) Key() string {
	return fmt.Sprint(s.drain.State, s.streams, s.pendingClaims, s.startedStreams, s.stopRequests, s.lostWork, s.acceptedLate)
}

func (s *drainState) step(ev core.Event) {
	for _, command := range s.drain.Step(at(0), ev) {
		if _, ok := command.(core.Exit); ok {
			s.lostWork = s.streams+s.pendingClaims > 0
		}
	}
}

// reportWork informs the drain of the remaining streams and claims.
func (s *drainState) reportWork() {
	s.step(core.WorkChanged{
		Streams: s.streams,
		Pending: s.pendingClaims,
	})
}

// Next returns the steps of callers, operators and the handover.
func (s *drainState) Next() []Transition {
	return collectTransitions(s, s.addSteps)
}

func (s *drainState) clone() *drainState {
	copied := *s
	copied.drain = s.drain.Clone()
	return &copied
}

func (s *drainState) addSteps(add func(string, func(*drainState))) {
	if s.drain.Accepting() && s.startedStreams < s.rules.Streams {
		add("a stream begins", func(n *drainState) {
			n.startedStreams++
			n.streams++
			n.acceptedLate = !n.drain.Accepting()
			n.reportWork()
		})
	}
	if s.streams > 0 {
		add("a stream ends", func(n *drainState) {
			n.streams--
			n.reportWork()
		})
	}
	if s.pendingClaims > 0 && !s.drain.Accepting() {
		add("the next owner receives the claims", func(n *drainState) {
			n.pendingClaims--
			n.reportWork()
		})
	}
	if s.stopRequests < maxStops {
		add("a planned stop is requested", func(n *drainState) {
			n.stopRequests++
			n.reportWork()
			n.step(core.StopRequested{})
		})
	}
}

// FindViolation reports a broken promise about planned stops.
func (s *drainState) FindViolation() (string, bool) {
	if s.lostWork {
		return "a planned stop interrupted a request in progress", true
	}
	return "a stream was accepted after the stop", s.acceptedLate
}
