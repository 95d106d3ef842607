package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

var evacuationStart = time.Unix(1_800_000_000, 0)

func newRun(id string, rank int, value float64, copyTime time.Duration) core.EvacuatedRun {
	return core.EvacuatedRun{
		ID:       id,
		Priority: routing.Priority{Customer: rank},
		Value:    value,
		CopyTime: copyTime,
	}
}

// movesAndWake returns the runs to move and the time at which to wake the plan.
func movesAndWake(commands []core.Command) (ids []string, wake time.Time) {
	for _, c := range commands {
		switch c := c.(type) {
		case core.MoveRun:
			ids = append(ids, c.ID)
		case core.WakeAt:
			wake = c.At
		}
	}
	return ids, wake
}

var _ = Describe("the plan for a leaving engine", func() {
	rules := core.DefaultEvacuationRules()
	settled := evacuationStart.Add(rules.Settle)

	It("moves one run at a time, in the same order at every box", func() {
		a := core.NewEvacuation(evacuationStart, rules)
		b := core.NewEvacuation(evacuationStart, rules)
		ofA := []core.EvacuatedRun{newRun("a1", 1, 4, 200*time.Millisecond), newRun("a2", 0, 1, 200*time.Millisecond)}
		ofB := []core.EvacuatedRun{newRun("b1", 1, 5, 200*time.Millisecond)}
		a.Step(evacuationStart, core.RunsAdded{Runs: ofA, Own: true})
		b.Step(evacuationStart, core.RunsAdded{Runs: ofB, Own: true})
		a.Step(evacuationStart, core.RunsAdded{Runs: ofB})
		b.Step(evacuationStart, core.RunsAdded{Runs: ofA})

		ids, _ := movesAndWake(a.Step(settled, core.WakeTimeReached{}))
		Expect(ids).To(Equal([]string{"a2"}), "the lowest rank goes first")
		ids, _ = movesAndWake(b.Step(settled, core.WakeTimeReached{}))
		Expect(ids).To(BeEmpty())

		later := settled.Add(210 * time.Millisecond)
		ids, _ = movesAndWake(b.Step(later, core.RunFinished{ID: "a2"}))
		Expect(ids).To(Equal([]string{"b1"}), "then the one with the most value per copy time")
		ids, _ = movesAndWake(a.Step(later, core.RunFinished{ID: "a2"}))
		Expect(ids).To(BeEmpty())
		ids, _ = movesAndWake(a.Step(later.Add(210*time.Millisecond), core.RunFinished{ID: "b1"}))
		Expect(ids).To(Equal([]string{"a1"}))
	})

	// Guards against a patient run taking the turn of an urgent one whose customer pays for the
	// same rank.
	It("orders runs of customers of equal rank by the rank of their route", func() {
		v := core.NewEvacuation(evacuationStart, rules)
		patient := newRun("a", 1, 9, 100*time.Millisecond)
		patient.Priority.Route = 2
		urgent := newRun("b", 1, 1, 100*time.Millisecond)
		v.Step(evacuationStart, core.RunsAdded{Runs: []core.EvacuatedRun{patient, urgent}, Own: true})
		ids, _ := movesAndWake(v.Step(settled, core.WakeTimeReached{}))
		Expect(ids).To(Equal([]string{"b"}))
	})

	// Guards against an idle link while the turn of a run passes whose box has died, or has
	// another order because a message was lost.
	It("waits for the other boxes' runs first, and for their moves only up to a limit", func() {
		v := core.NewEvacuation(evacuationStart, rules)
		others := []core.EvacuatedRun{newRun("x", 1, 9, 100*time.Millisecond), newRun("y", 1, 8, 100*time.Millisecond)}
		v.Step(evacuationStart, core.RunsAdded{Runs: others})
		ids, wake := movesAndWake(v.Step(evacuationStart, core.RunsAdded{Runs: []core.EvacuatedRun{newRun("own", 1, 1, 100*time.Millisecond)}, Own: true}))
		Expect(ids).To(BeEmpty())
		Expect(wake).To(Equal(settled))
		ids, wake = movesAndWake(v.Step(settled, core.WakeTimeReached{}))
		Expect(ids).To(BeEmpty())
		Expect(wake).To(Equal(settled.Add(rules.StartLimit)), "no box has announced that it moves x")
		ids, wake = movesAndWake(v.Step(wake, core.WakeTimeReached{}))
		Expect(ids).To(BeEmpty())
		announced := wake.Add(-10 * time.Millisecond)
		_, wake = movesAndWake(v.Step(announced, core.MoveStarted{ID: "y"}))
		Expect(wake).To(Equal(announced.Add(200*time.Millisecond + rules.Slack)))
		ids, _ = movesAndWake(v.Step(wake, core.WakeTimeReached{}))
		Expect(ids).To(Equal([]string{"own"}))
	})

	// Guards against two copies on the engine's link when two boxes have different orders.
	It("follows a box that moves another run than was expected", func() {
		v := core.NewEvacuation(evacuationStart, rules)
		others := []core.EvacuatedRun{newRun("x", 1, 9, 100*time.Millisecond), newRun("y", 1, 8, 100*time.Millisecond)}
		v.Step(evacuationStart, core.RunsAdded{Runs: others})
		v.Step(evacuationStart, core.RunsAdded{Runs: []core.EvacuatedRun{newRun("own", 1, 1, 100*time.Millisecond)}, Own: true})
		v.Step(settled, core.WakeTimeReached{})
		v.Step(settled, core.MoveStarted{ID: "y"})
		ids, wake := movesAndWake(v.Step(settled.Add(rules.StartLimit), core.WakeTimeReached{}))
		Expect(ids).To(BeEmpty())
		Expect(wake).To(Equal(settled.Add(200*time.Millisecond + rules.Slack)))
		ids, wake = movesAndWake(v.Step(settled.Add(120*time.Millisecond), core.RunFinished{ID: "y"}))
		Expect(ids).To(BeEmpty(), "it is the turn of x, which is still to be moved")
		Expect(wake).To(Equal(settled.Add(120*time.Millisecond + rules.StartLimit)))
	})

	// Guards against a copy that the engine's end breaks off, while a smaller one could have ended.
	It("moves a run that doesn't fit into the rest of the notice after those that do", func() {
		limited := rules
		limited.Notice = 700 * time.Millisecond
		v := core.NewEvacuation(evacuationStart, limited)
		all := []core.EvacuatedRun{newRun("first", 0, 9, 400*time.Millisecond), newRun("large", 0, 1, 400*time.Millisecond), newRun("small", 1, 1, 100*time.Millisecond)}
		v.Step(evacuationStart, core.RunsAdded{Runs: all, Own: true})
		ids, _ := movesAndWake(v.Step(settled, core.WakeTimeReached{}))
		Expect(ids).To(Equal([]string{"first"}))
		now := settled.Add(410 * time.Millisecond)
		ids, _ = movesAndWake(v.Step(now, core.RunFinished{ID: "first"}))
		Expect(ids).To(Equal([]string{"small"}))
		ids, _ = movesAndWake(v.Step(now.Add(120*time.Millisecond), core.RunFinished{ID: "small"}))
		Expect(ids).To(Equal([]string{"large"}), "the engine may stay longer than is usual")
	})

	// Guards against copies, which are charged, of runs that end before their engine does.
	It("puts off the move of a run that is expected to end by itself in time", func() {
		limited := rules
		limited.Notice = 1500 * time.Millisecond
		v := core.NewEvacuation(evacuationStart, limited)
		ending := newRun("ending", 0, 9, 200*time.Millisecond)
		ending.EndsIn = time.Second
		all := []core.EvacuatedRun{ending, newRun("long", 1, 1, 200*time.Millisecond)}
		v.Step(evacuationStart, core.RunsAdded{Runs: all, Own: true})
		ids, _ := movesAndWake(v.Step(settled, core.WakeTimeReached{}))
		Expect(ids).To(Equal([]string{"long"}))
		ids, wake := movesAndWake(v.Step(settled.Add(220*time.Millisecond), core.RunFinished{ID: "long"}))
		Expect(ids).To(BeEmpty())
		Expect(wake).To(Equal(evacuationStart.Add(limited.Notice - 200*time.Millisecond - limited.Overhead)))
		ids, _ = movesAndWake(v.Step(wake, core.WakeTimeReached{}))
		Expect(ids).To(Equal([]string{"ending"}))
	})

	It("has the target of the next run reserved before its turn", func() {
		v := core.NewEvacuation(evacuationStart, rules)
		all := []core.EvacuatedRun{newRun("a", 0, 1, 100*time.Millisecond), newRun("b", 1, 1, 100*time.Millisecond)}
		Expect(v.Step(evacuationStart, core.RunsAdded{Runs: all, Own: true})).To(ContainElement(core.PrepareMove{ID: "a"}))
		Expect(v.Step(settled, core.WakeTimeReached{})).To(ContainElements(core.MoveRun{ID: "a"}, core.PrepareMove{ID: "b"}))
	})

	It("moves a run again if its box retries the move", func() {
		v := core.NewEvacuation(evacuationStart, rules)
		own := core.RunsAdded{Runs: []core.EvacuatedRun{newRun("own", 1, 1, 100*time.Millisecond)}, Own: true}
		v.Step(evacuationStart, own)
		v.Step(settled, core.WakeTimeReached{})
		ids, _ := movesAndWake(v.Step(settled, core.RunFinished{ID: "own"}))
		Expect(ids).To(BeEmpty())
		ids, _ = movesAndWake(v.Step(settled.Add(time.Millisecond), own))
		Expect(ids).To(Equal([]string{"own"}))
	})
})

// TestEvacuationOrder simulates boxes whose messages are delayed or lost. Each run is
// moved exactly once by its own box, and no two moves overlap unless messages are
// lost.
func TestEvacuationOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := core.DefaultEvacuationRules()
		boxCount := rapid.IntRange(1, 5).Draw(t, "boxes")
		lossy := rapid.Bool().Draw(t, "lossy")
		plans := make([]*core.Evacuation, boxCount)
		wakes := make([]time.Time, boxCount)
		owner := make(map[string]int)
		copyTime := make(map[string]time.Duration)
		moved := make(map[string]int)
		moveEnds := make(map[string]time.Time) // end times of the moves in progress
		overlaps := 0
		now := evacuationStart
		var step func(box int, ev core.Event)
		broadcast := func(from int, ev core.Event) {
			for b := range plans {
				if b != from && !(lossy && rapid.Bool().Draw(t, "lost")) {
					step(b, ev)
				}
			}
		}
		step = func(box int, ev core.Event) {
			started, wake := movesAndWake(plans[box].Step(now, ev))
			wakes[box] = wake
			for _, id := range started {
				if owner[id] != box {
					t.Fatalf("box %d moves run %s of box %d", box, id, owner[id])
				}
				if len(moveEnds) > 0 {
					overlaps++
				}
				moved[id]++
				moveEnds[id] = now.Add(copyTime[id])
				broadcast(box, core.MoveStarted{ID: id})
			}
		}
		for b := range plans {
			plans[b] = core.NewEvacuation(now, rules)
		}
		for b := range plans {
			var own []core.EvacuatedRun
			for i := range rapid.IntRange(0, 4).Draw(t, "runs") {
				id := fmt.Sprintf("%d-%d", b, i)
				r := newRun(id, rapid.IntRange(0, 1).Draw(t, "rank"), rapid.Float64Range(0, 9).Draw(t, "value"), time.Duration(rapid.IntRange(1, 300).Draw(t, "ms"))*time.Millisecond)
				owner[id] = b
				copyTime[id] = r.CopyTime
				own = append(own, r)
			}
			step(b, core.RunsAdded{Runs: own, Own: true})
			broadcast(b, core.RunsAdded{Runs: own})
		}
		for range 1000 {
			var next time.Time
			for _, at := range wakes {
				if !at.IsZero() && (next.IsZero() || at.Before(next)) {
					next = at
				}
			}
			finished := ""
			for id, at := range moveEnds {
				if next.IsZero() || !at.After(next) {
					next, finished = at, id
				}
			}
			if next.IsZero() {
				break
			}
			now = next
			if finished != "" {
				delete(moveEnds, finished)
				step(owner[finished], core.RunFinished{ID: finished})
				broadcast(owner[finished], core.RunFinished{ID: finished})
				continue
			}
			for b, at := range wakes {
				if !at.IsZero() && !at.After(now) {
					step(b, core.WakeTimeReached{})
				}
			}
		}
		for id := range owner {
			if moved[id] != 1 {
				t.Fatalf("run %s was moved %d times", id, moved[id])
			}
		}
		if !lossy && overlaps > 0 {
			t.Fatalf("%d moves started during another one", overlaps)
		}
	})
}
