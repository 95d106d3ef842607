package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// DrainRules are the bounds of the specification of planned stops.
type DrainRules struct {
	Streams int
	Options []core.Option
}

type drainState struct {
	rules          *DrainRules
	drain          *core.Drain
	streams        int
	pendingClaims  int // claims that the next home has not taken
	startedStreams int
	stopRequests   int
	lostWork       bool // a stream was cut, or a claim lost, by the leaving
	acceptedLate   bool // a stream was taken after the stop
}

// maxStops is how often the stop is asked for.
const maxStops = 3

// PlannedStops gives the first state of the specification of planned stops.
func PlannedStops(rules DrainRules) State {
	return &drainState{
		rules:         &rules,
		drain:         core.NewDrain(rules.Options...),
		pendingClaims: 1,
	}
}

// Key writes what decides the later states.
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

func (s *drainState) reportWork() {
	s.step(core.WorkChanged{
		Streams: s.streams,
		Pending: s.pendingClaims,
	})
}

// Next gives every step of callers, operators and the handover.
func (s *drainState) Next() []Transition {
	return collectTransitions(s, s.addSteps)
}

func (s *drainState) clone() *drainState {
	copied := *s
	copied.drain = s.drain.Clone()
	return &copied
}

// addSteps adds each of them.
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
		add("the next home takes the claims", func(n *drainState) {
			n.pendingClaims--
			n.reportWork()
		})
	}
	if s.stopRequests < maxStops {
		add("a planned stop is asked for", func(n *drainState) {
			n.stopRequests++
			n.reportWork()
			n.step(core.StopRequested{})
		})
	}
}

// FindViolation checks what planned stops promise.
func (s *drainState) FindViolation() (string, bool) {
	if s.lostWork {
		return "a planned stop cut a request in progress", true
	}
	return "a stream was taken after the stop", s.acceptedLate
}
