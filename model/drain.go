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
	rules   *DrainRules
	drain   *core.Drain
	streams int
	pending int // claims that the next home has not taken
	begun   int
	stops   int
	cut     bool // a stream was cut, or a claim lost, by the leaving
	late    bool // a stream was taken after the stop
}

// maxStops is how often the stop is asked for.
const maxStops = 3

// PlannedStops gives the first state of the specification of planned stops.
func PlannedStops(rules DrainRules) State {
	return &drainState{
		rules:   &rules,
		drain:   core.NewDrain(rules.Options...),
		pending: 1,
	}
}

// Key writes what decides the later states.
func (s *drainState) Key() string {
	return fmt.Sprint(s.drain.State, s.streams, s.pending, s.begun, s.stops, s.cut, s.late)
}

func (s *drainState) step(ev core.Event) {
	for _, command := range s.drain.Step(at(0), ev) {
		if _, ok := command.(core.Exit); ok {
			s.cut = s.streams+s.pending > 0
		}
	}
}

func (s *drainState) changed() {
	s.step(core.WorkChanged{
		Streams: s.streams,
		Pending: s.pending,
	})
}

// Next gives every step of callers, operators and the handover.
func (s *drainState) Next() []Transition {
	return collect(s, s.steps)
}

func (s *drainState) clone() *drainState {
	copied := *s
	copied.drain = s.drain.Clone()
	return &copied
}

// steps adds each of them.
func (s *drainState) steps(add func(string, func(*drainState))) {
	if s.drain.Accepting() && s.begun < s.rules.Streams {
		add("a stream begins", func(n *drainState) {
			n.begun++
			n.streams++
			n.late = !n.drain.Accepting()
			n.changed()
		})
	}
	if s.streams > 0 {
		add("a stream ends", func(n *drainState) {
			n.streams--
			n.changed()
		})
	}
	if s.pending > 0 && !s.drain.Accepting() {
		add("the next home takes the claims", func(n *drainState) {
			n.pending--
			n.changed()
		})
	}
	if s.stops < maxStops {
		add("a planned stop is asked for", func(n *drainState) {
			n.stops++
			n.changed()
			n.step(core.StopRequested{})
		})
	}
}

// Broken checks what planned stops promise.
func (s *drainState) Broken() (string, bool) {
	if s.cut {
		return "a planned stop cut a request in progress", true
	}
	return "a stream was taken after the stop", s.late
}
