package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// EvacuationRules are the bounds of the specification of moves off one engine that
// leaves.
type EvacuationRules struct {
	Boxes  int
	Runs   int // of each box
	Faults int // messages that are lost, or that come after time has passed
}

// copyUnit is what the shortest copy takes here; the others take multiples.
const copyUnit = 100 * time.Millisecond

// evacuationState is every box's plan, what is on its way between them, and the
// moves under way.
type evacuationState struct {
	rules  EvacuationRules
	now    time.Time
	plans  [][]planInput // what each box's plan took; it is made anew from that
	wakes  []time.Time   // when each asked to be woken; zero for not
	mail   []letter
	moving []movingRun
	moved  map[string]int
	faults int
	broken string
}

type planInput struct {
	at time.Time
	ev core.Event
}

type letter struct {
	to   int
	text string // of the event, for the state's key
	ev   core.Event
}

type movingRun struct {
	id   string
	box  int
	ends time.Time
}

// Evacuations gives the first state: each box knows its own runs, and its word of
// them is on its way to the others.
func Evacuations(rules EvacuationRules) State {
	s := &evacuationState{
		rules:  rules,
		now:    start,
		plans:  make([][]planInput, rules.Boxes),
		wakes:  make([]time.Time, rules.Boxes),
		moved:  make(map[string]int),
		faults: rules.Faults,
	}
	for box := range rules.Boxes {
		var runs []core.EvacuatedRun
		for i := range rules.Runs {
			runs = append(runs, core.EvacuatedRun{
				ID:       fmt.Sprintf("%d-%d", box, i),
				Rank:     i % 2,
				Value:    float64(box + 1),
				CopyTime: time.Duration(1+(box+i)%2) * copyUnit,
			})
		}
		s.tell(box, core.RunsAdded{Runs: runs})
		s.step(box, core.RunsAdded{
			Runs: runs,
			Own:  true,
		})
	}
	return s
}

// Key writes what decides the later states.
func (s *evacuationState) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %d %v %v %s;", s.now, s.faults, s.moved, s.moving, s.broken)
	for _, l := range s.mail {
		fmt.Fprintf(&b, "%d %s,", l.to, l.text)
	}
	for _, inputs := range s.plans {
		fmt.Fprintf(&b, ";%v", inputs)
	}
	return b.String()
}

func (s *evacuationState) clone() *evacuationState {
	n := *s
	n.plans = make([][]planInput, len(s.plans))
	for box, inputs := range s.plans {
		n.plans[box] = slices.Clone(inputs)
	}
	n.wakes = slices.Clone(s.wakes)
	n.mail = slices.Clone(s.mail)
	n.moving = slices.Clone(s.moving)
	n.moved = make(map[string]int, len(s.moved))
	for id, times := range s.moved {
		n.moved[id] = times
	}
	return &n
}

// Next gives every step: a message arrives or is lost, or time passes.
func (s *evacuationState) Next() []Transition {
	if s.broken != "" {
		return nil
	}
	return collect(s, func(add func(string, func(*evacuationState))) {
		for i, l := range s.mail {
			add("box "+fmt.Sprint(l.to)+" hears "+l.text, func(n *evacuationState) {
				n.mail = slices.Delete(n.mail, i, i+1)
				n.step(l.to, l.ev)
			})
			if s.faults > 0 {
				add("fault: lost on its way to box "+fmt.Sprint(l.to)+": "+l.text, func(n *evacuationState) {
					n.faults--
					n.mail = slices.Delete(n.mail, i, i+1)
				})
			}
		}
		if len(s.mail) == 0 {
			add("time passes", func(n *evacuationState) { n.pass() })
		} else if s.faults > 0 {
			add("fault: time passes before the messages come", func(n *evacuationState) {
				n.faults--
				n.pass()
			})
		}
	})
}

// step gives a box's plan an event and carries out what it asks for.
func (s *evacuationState) step(box int, ev core.Event) {
	s.plans[box] = append(s.plans[box], planInput{
		at: s.now,
		ev: ev,
	})
	plan := core.NewEvacuation(start, core.DefaultEvacuationRules())
	var commands []core.Command
	for _, in := range s.plans[box] {
		commands = plan.Step(in.at, in.ev)
	}
	s.wakes[box] = time.Time{}
	for _, command := range commands {
		switch c := command.(type) {
		case core.MoveRun:
			s.begin(box, c.ID)
		case core.WakeAt:
			s.wakes[box] = c.At
		}
	}
}

// begin starts a move and checks what must hold of it.
func (s *evacuationState) begin(box int, id string) {
	if !strings.HasPrefix(id, fmt.Sprintf("%d-", box)) {
		s.broken = "a box moves another one's run"
	}
	s.moved[id]++
	if s.moved[id] > 1 {
		s.broken = "a run is moved twice"
	}
	if len(s.moving) > 0 && s.faults == s.rules.Faults {
		s.broken = "two moves share the engine's link though every message came"
	}
	var number int
	_, _ = fmt.Sscanf(id[strings.Index(id, "-")+1:], "%d", &number)
	s.moving = append(s.moving, movingRun{
		id:   id,
		box:  box,
		ends: s.now.Add(time.Duration(1+(box+number)%2) * copyUnit),
	})
}

// tell sends a box's word to all others.
func (s *evacuationState) tell(from int, ev core.Event) {
	for box := range s.rules.Boxes {
		if box != from {
			s.mail = append(s.mail, letter{
				to:   box,
				text: fmt.Sprintf("%T%v", ev, ev),
				ev:   ev,
			})
		}
	}
}

// pass lets time go on to the next move's end or the next time at which a plan asked
// to be woken.
func (s *evacuationState) pass() {
	var next time.Time
	for _, at := range s.wakes {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	over := -1
	for i, m := range s.moving {
		if next.IsZero() || !m.ends.After(next) {
			next, over = m.ends, i
		}
	}
	if next.IsZero() {
		s.end()
		return
	}
	s.now = next
	if over >= 0 {
		m := s.moving[over]
		s.moving = slices.Delete(s.moving, over, over+1)
		s.tell(m.box, core.RunFinished{ID: m.id})
		s.step(m.box, core.RunFinished{ID: m.id})
		return
	}
	for box, at := range s.wakes {
		if at.Equal(next) {
			s.step(box, core.WakeTimeReached{})
		}
	}
}

// end checks that nobody was forgotten once nothing is left to come.
func (s *evacuationState) end() {
	if len(s.moved) != s.rules.Boxes*s.rules.Runs {
		s.broken = "a run is never moved"
	}
}

// Broken tells what a state breaks.
func (s *evacuationState) Broken() (string, bool) { return s.broken, s.broken != "" }
