package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// EvacuationRules are the bounds of the specification of evacuations: moves of runs
// off an engine that is leaving.
type EvacuationRules struct {
	Boxes  int
	Runs   int // runs of each box
	Faults int // lost messages, and steps of time before the messages arrive
}

// copyUnit is the shortest time that a copy takes; other copies take multiples of it.
const copyUnit = 100 * time.Millisecond

// evacuationState holds every box's evacuation plan, the messages in flight between
// the boxes, and the moves in progress.
type evacuationState struct {
	rules      EvacuationRules
	now        time.Time
	plans      [][]planInput // the inputs of each box's plan, from which it is rebuilt at each step
	wakeTimes  []time.Time   // the wake time that each plan requested, zero for none
	inFlight   []runMessage
	moves      []runningMove
	moveCounts map[string]int
	faults     int
	violation  string
}

// planInput is an event that a plan received, with its time.
type planInput struct {
	at time.Time
	ev core.Event
}

// runMessage is a message in flight to a box, about runs to move or moved.
type runMessage struct {
	to   int
	text string // the event as text, for the state's key
	ev   core.Event
}

// runningMove is a move in progress.
type runningMove struct {
	id     string
	box    int
	endsAt time.Time
}

// Evacuations returns the first state of the specification of evacuations: each box
// has its own runs, and its messages about them are in flight to the others.
func Evacuations(rules EvacuationRules) State {
	s := &evacuationState{
		rules:      rules,
		now:        startTime,
		plans:      make([][]planInput, rules.Boxes),
		wakeTimes:  make([]time.Time, rules.Boxes),
		moveCounts: make(map[string]int),
		faults:     rules.Faults,
	}
	for box := range rules.Boxes {
		var runs []core.EvacuatedRun
		for i := range rules.Runs {
			runs = append(runs, core.EvacuatedRun{
				ID:       fmt.Sprintf("%d-%d", box, i),
				Priority: routing.Priority{Customer: i % 2},
				Value:    float64(box + 1),
				CopyTime: time.Duration(1+(box+i)%2) * copyUnit,
			})
		}
		s.broadcast(box, core.RunsAdded{Runs: runs})
		s.step(box, core.RunsAdded{
			Runs: runs,
			Own:  true,
		})
	}
	return s
}

// Key encodes everything that the later states depend on.
func (s *evacuationState) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %d %v %v %s;", s.now, s.faults, s.moveCounts, s.moves, s.violation)
	for _, m := range s.inFlight {
		fmt.Fprintf(&b, "%d %s,", m.to, m.text)
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
	n.wakeTimes = slices.Clone(s.wakeTimes)
	n.inFlight = slices.Clone(s.inFlight)
	n.moves = slices.Clone(s.moves)
	n.moveCounts = make(map[string]int, len(s.moveCounts))
	for id, times := range s.moveCounts {
		n.moveCounts[id] = times
	}
	return &n
}

// Next returns the steps of messages, which arrive or are lost, and of time.
func (s *evacuationState) Next() []Transition {
	if s.violation != "" {
		return nil
	}
	return collectTransitions(s, func(add func(string, func(*evacuationState))) {
		for i, m := range s.inFlight {
			add("box "+fmt.Sprint(m.to)+" receives "+m.text, func(n *evacuationState) {
				n.inFlight = slices.Delete(n.inFlight, i, i+1)
				n.step(m.to, m.ev)
			})
			if s.faults > 0 {
				add("fault: message lost on its way to box "+fmt.Sprint(m.to)+": "+m.text, func(n *evacuationState) {
					n.faults--
					n.inFlight = slices.Delete(n.inFlight, i, i+1)
				})
			}
		}
		if len(s.inFlight) == 0 {
			add("time passes", func(n *evacuationState) { n.advanceTime() })
		} else if s.faults > 0 {
			add("fault: time passes before the messages arrive", func(n *evacuationState) {
				n.faults--
				n.advanceTime()
			})
		}
	})
}

// step passes an event to a box's plan and carries out the plan's commands.
func (s *evacuationState) step(box int, ev core.Event) {
	s.plans[box] = append(s.plans[box], planInput{
		at: s.now,
		ev: ev,
	})
	plan := core.NewEvacuation(startTime, core.DefaultEvacuationRules())
	var commands []core.Command
	for _, in := range s.plans[box] {
		commands = plan.Step(in.at, in.ev)
	}
	s.wakeTimes[box] = time.Time{}
	for _, command := range commands {
		switch c := command.(type) {
		case core.MoveRun:
			s.startMove(box, c.ID)
			s.broadcast(box, core.MoveStarted{ID: c.ID})
		case core.WakeAt:
			s.wakeTimes[box] = c.At
		}
	}
}

// startMove starts a move and checks that it is allowed.
func (s *evacuationState) startMove(box int, id string) {
	if !strings.HasPrefix(id, fmt.Sprintf("%d-", box)) {
		s.violation = "a box moved another box's run"
	}
	s.moveCounts[id]++
	if s.moveCounts[id] > 1 {
		s.violation = "a run was moved twice"
	}
	if len(s.moves) > 0 && s.faults == s.rules.Faults {
		s.violation = "two moves shared the engine's link although no message was lost or late"
	}
	var number int
	_, _ = fmt.Sscanf(id[strings.Index(id, "-")+1:], "%d", &number)
	s.moves = append(s.moves, runningMove{
		id:     id,
		box:    box,
		endsAt: s.now.Add(time.Duration(1+(box+number)%2) * copyUnit),
	})
}

// broadcast sends a box's event to all other boxes.
func (s *evacuationState) broadcast(from int, ev core.Event) {
	for box := range s.rules.Boxes {
		if box != from {
			s.inFlight = append(s.inFlight, runMessage{
				to:   box,
				text: fmt.Sprintf("%T%v", ev, ev),
				ev:   ev,
			})
		}
	}
}

// advanceTime advances time to the end of the next move or to the next wake time,
// whichever is earlier.
func (s *evacuationState) advanceTime() {
	var next time.Time
	for _, at := range s.wakeTimes {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	finished := -1
	for i, m := range s.moves {
		if next.IsZero() || !m.endsAt.After(next) {
			next, finished = m.endsAt, i
		}
	}
	if next.IsZero() {
		s.checkAllMoved()
		return
	}
	s.now = next
	if finished >= 0 {
		m := s.moves[finished]
		s.moves = slices.Delete(s.moves, finished, finished+1)
		s.broadcast(m.box, core.RunFinished{ID: m.id})
		s.step(m.box, core.RunFinished{ID: m.id})
		return
	}
	for box, at := range s.wakeTimes {
		if at.Equal(next) {
			s.step(box, core.WakeTimeReached{})
		}
	}
}

// checkAllMoved checks that every run has been moved once nothing remains to happen.
func (s *evacuationState) checkAllMoved() {
	if len(s.moveCounts) != s.rules.Boxes*s.rules.Runs {
		s.violation = "a run was never moved"
	}
}

// FindViolation reports a broken promise about evacuations.
func (s *evacuationState) FindViolation() (string, bool) { return s.violation, s.violation != "" }
