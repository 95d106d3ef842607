package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

// evacuationNow is any time.
var evacuationNow = time.Unix(1_800_000_000, 0)

func run(id string, rank int, worth float64, copying time.Duration) core.EvacuatedRun {
	return core.EvacuatedRun{
		ID:       id,
		Rank:     rank,
		Value:    worth,
		CopyTime: copying,
	}
}

// moves gives the runs that are to be moved, and when the plan is to be woken.
func moves(commands []core.Command) (ids []string, wake time.Time) {
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

var _ = Describe("the plan for an engine that leaves", func() {
	rules := core.DefaultEvacuationRules()
	settled := evacuationNow.Add(rules.Settle)

	It("moves one run after the other, in the same order at every box", func() {
		a := core.NewEvacuation(evacuationNow, rules)
		b := core.NewEvacuation(evacuationNow, rules)
		ofA := []core.EvacuatedRun{run("a1", 1, 4, 200*time.Millisecond), run("a2", 0, 1, 200*time.Millisecond)}
		ofB := []core.EvacuatedRun{run("b1", 1, 5, 200*time.Millisecond)}
		a.Step(evacuationNow, core.RunsAdded{Runs: ofA, Own: true})
		b.Step(evacuationNow, core.RunsAdded{Runs: ofB, Own: true})
		a.Step(evacuationNow, core.RunsAdded{Runs: ofB})
		b.Step(evacuationNow, core.RunsAdded{Runs: ofA})

		at, _ := moves(a.Step(settled, core.WakeTimeReached{}))
		Expect(at).To(Equal([]string{"a2"}), "the lowest rank goes first")
		at, _ = moves(b.Step(settled, core.WakeTimeReached{}))
		Expect(at).To(BeEmpty())

		later := settled.Add(210 * time.Millisecond)
		at, _ = moves(b.Step(later, core.RunFinished{ID: "a2"}))
		Expect(at).To(Equal([]string{"b1"}), "then the one that saves most for its time")
		at, _ = moves(a.Step(later, core.RunFinished{ID: "a2"}))
		Expect(at).To(BeEmpty())
		at, _ = moves(a.Step(later.Add(210*time.Millisecond), core.RunFinished{ID: "b1"}))
		Expect(at).To(Equal([]string{"a1"}))
	})

	It("waits for the other boxes' word first, and not for ever for their moves", func() {
		v := core.NewEvacuation(evacuationNow, rules)
		v.Step(evacuationNow, core.RunsAdded{Runs: []core.EvacuatedRun{run("x", 1, 9, 100*time.Millisecond)}})
		at, wake := moves(v.Step(evacuationNow, core.RunsAdded{Runs: []core.EvacuatedRun{run("own", 1, 1, 100*time.Millisecond)}, Own: true}))
		Expect(at).To(BeEmpty())
		Expect(wake).To(Equal(settled))
		at, wake = moves(v.Step(settled, core.WakeTimeReached{}))
		Expect(at).To(BeEmpty())
		Expect(wake).To(Equal(settled.Add(200*time.Millisecond + rules.Slack)))
		at, _ = moves(v.Step(wake, core.WakeTimeReached{}))
		Expect(at).To(Equal([]string{"own"}))
	})

	It("takes a run in again whose move is to be tried once more", func() {
		v := core.NewEvacuation(evacuationNow, rules)
		own := core.RunsAdded{Runs: []core.EvacuatedRun{run("own", 1, 1, 100*time.Millisecond)}, Own: true}
		v.Step(evacuationNow, own)
		v.Step(settled, core.WakeTimeReached{})
		at, _ := moves(v.Step(settled, core.RunFinished{ID: "own"}))
		Expect(at).To(BeEmpty())
		at, _ = moves(v.Step(settled.Add(time.Millisecond), own))
		Expect(at).To(Equal([]string{"own"}))
	})
})

// TestEvacuationOrder plays boxes whose messages come late, or get lost: each
// run is moved exactly once by its own box, and where nothing is lost no two
// moves are under way together.
func TestEvacuationOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := core.DefaultEvacuationRules()
		boxes := rapid.IntRange(1, 5).Draw(t, "boxes")
		lossy := rapid.Bool().Draw(t, "messages get lost")
		plans := make([]*core.Evacuation, boxes)
		wakes := make([]time.Time, boxes)
		owner := make(map[string]int)
		copying := make(map[string]time.Duration)
		moved := make(map[string]int)
		ends := make(map[string]time.Time) // of the moves under way
		overlaps := 0
		now := evacuationNow
		var step func(box int, ev core.Event)
		tell := func(from int, ev core.Event) {
			for b := range plans {
				if b != from && !(lossy && rapid.Bool().Draw(t, "lost")) {
					step(b, ev)
				}
			}
		}
		step = func(box int, ev core.Event) {
			started, wake := moves(plans[box].Step(now, ev))
			wakes[box] = wake
			for _, id := range started {
				if owner[id] != box {
					t.Fatalf("box %d moves the run %s of box %d", box, id, owner[id])
				}
				if len(ends) > 0 {
					overlaps++
				}
				moved[id]++
				ends[id] = now.Add(copying[id])
			}
		}
		for b := range plans {
			plans[b] = core.NewEvacuation(now, rules)
		}
		for b := range plans {
			var own []core.EvacuatedRun
			for i := range rapid.IntRange(0, 4).Draw(t, "runs") {
				id := fmt.Sprintf("%d-%d", b, i)
				r := run(id, rapid.IntRange(0, 1).Draw(t, "rank"), rapid.Float64Range(0, 9).Draw(t, "worth"), time.Duration(rapid.IntRange(1, 300).Draw(t, "ms"))*time.Millisecond)
				owner[id] = b
				copying[id] = r.CopyTime
				own = append(own, r)
			}
			step(b, core.RunsAdded{Runs: own, Own: true})
			tell(b, core.RunsAdded{Runs: own})
		}
		for range 200 {
			var next time.Time
			for _, at := range wakes {
				if !at.IsZero() && (next.IsZero() || at.Before(next)) {
					next = at
				}
			}
			over := ""
			for id, at := range ends {
				if next.IsZero() || !at.After(next) {
					next, over = at, id
				}
			}
			if next.IsZero() {
				break
			}
			now = next
			if over != "" {
				delete(ends, over)
				step(owner[over], core.RunFinished{ID: over})
				tell(owner[over], core.RunFinished{ID: over})
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
			t.Fatalf("%d moves began beside another one", overlaps)
		}
	})
}
