package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("a pace table", func() {
	const fast, usual = 17 * time.Millisecond, 38 * time.Millisecond
	var t *admission.PaceTable
	BeforeEach(func() {
		t = admission.NewPaceTable()
		for i := range 8 {
			pace := usual
			if i%4 == 0 {
				pace = fast
			}
			t.ObservePace(simStart, fmt.Sprintf("e%d", i), pace)
		}
		for range 100 {
			t.ObserveStream(simStart, "e0", 4, false)
			t.ObserveStream(simStart, "e1", 4, true)
		}
	})
	breaks := func(now time.Time, id string) float64 { return t.BreakProbability(now, id) }

	It("attributes breaks to engines of about the same pace", func() {
		Expect(breaks(simStart, "e4")).To(BeNumerically("<", 0.01))
		Expect(breaks(simStart, "e2")).To(BeNumerically("~", 0.25, 0.01))
		t.ObservePace(simStart, "e9", usual*11/10)
		Expect(breaks(simStart, "e9")).To(Equal(breaks(simStart, "e2")))
	})

	It("assigns an engine without a pace the average of the engines", func() {
		Expect(breaks(simStart, "new")).To(BeNumerically("~", 0.75*breaks(simStart, "e1")+0.25*breaks(simStart, "e0"), 1e-9))
	})

	It("averages the streams of an engine and reports changes of its class", func() {
		change, changed := t.ObservePace(simStart, "e1", usual)
		Expect(changed).To(BeFalse())
		Expect(change.Interval).To(BeNumerically("~", usual, time.Microsecond))
		change, changed = t.ObservePace(simStart, "e1", 3*usual)
		Expect(changed).To(BeTrue())
		Expect(change.WasKnown).To(BeTrue())
		Expect(change.Interval).To(BeNumerically("~", usual*5/3, time.Microsecond))
		Expect(change.After).To(BeNumerically(">", change.Before))
	})

	// Guards against a pace that outlives the incarnation that it was observed of.
	It("knows nothing of an engine that restarted", func() {
		t.Forget("e0")
		_, known := t.Pace("e0")
		Expect(known).To(BeFalse())
		Expect(breaks(simStart, "e0")).To(Equal(breaks(simStart, "new")))
	})

	// Guards against avoiding engines for good because of pauses long ago.
	It("halves the weight of what it knows every 30 s, and forgets it", func() {
		later := simStart.Add(30 * time.Second)
		for range 50 {
			t.ObserveStream(later, "e1", 4, false)
		}
		Expect(breaks(later, "e1")).To(BeNumerically("~", 0.125, 0.01))
		later = later.Add(10 * time.Minute)
		t.ObserveStream(later, "e1", 1, false)
		Expect(breaks(later, "e1")).To(BeNumerically("<", 0.001))
		_, known := t.Pace("e2")
		Expect(known).To(BeFalse())
	})

	It("shows the classes, fastest first", func() {
		all := t.Summaries(simStart)
		Expect(all).To(HaveLen(2))
		Expect(all[0].Engines).To(Equal(2))
		Expect(all[0].EventInterval).To(BeNumerically("~", fast, time.Microsecond))
		Expect(all[0].Exposures).To(BeNumerically("~", 400, 1e-6))
		Expect(all[1].Breaks).To(BeNumerically("~", 100, 1e-6))
		Expect(all[0].Class.String()).To(Equal("0.47"))
	})
})

var _ = Describe("pause-sensitive streams at an engine", func() {
	now := simStart
	e := routing.Endpoint{
		ID:    "e1",
		Slots: 8,
	}
	req := admission.Requirements{
		Tokens: 3000,
		Memory: 30_000,
	}
	var b *admission.Balancer
	BeforeEach(func() {
		b = admission.NewBalancer("z", func() float64 { return 0.5 })
		b.ObservePace(now, "", e.ID, time.Millisecond)
		b.ObserveStream(now, "", e.ID, 10, true)
	})
	estimate := func(at time.Time) admission.PaceEstimate { return *b.Estimate(at, e, req).Pace }

	It("count until they end, each with the harm of a further prompt", func() {
		b.BeginStream(now, e.ID, 100, 800, false)
		b.BeginStream(now, e.ID, 100, 0, true)
		Expect(estimate(now).Streams).To(Equal(2))
		Expect(estimate(now).ExpectedMisses).To(BeNumerically("~", 2*estimate(now).BreakProbability, 1e-9))
		b.EndStream(now, e.ID, 100, false)
		b.EndStream(now, e.ID, 200, true) // its begin was lost
		Expect(estimate(now).Streams).To(Equal(1))
	})

	// Guards against engines that are avoided for good because a box was killed, or because
	// the message of the end of its stream was lost.
	It("of other boxes count for a limited time, own ones until they end", func() {
		b.BeginStream(now, e.ID, 100, 800, false)
		b.BeginStream(now, e.ID, 100, 0, true)
		Expect(estimate(now.Add(10 * time.Second)).Streams).To(Equal(2))
		Expect(estimate(now.Add(time.Minute)).Streams).To(Equal(1))
	})

	It("leave no pace behind when their engine restarts", func() {
		b.BeginSend(now, e.ID, 3000, 100)
		b.Forget(e.ID)
		Expect(estimate(now).EventInterval).To(BeZero())
	})

	// Guards against state that grows with every engine that ever was: messages about an engine
	// arrive also after it is gone, and its own runs end after that.
	It("leave nothing behind after their engine is gone", func() {
		b.AddRemotePrompt(now, "gone", 10)
		b.AddRemotePrompt(now, e.ID, 10)
		b.BeginSend(now, "busy", 3000, 100)
		b.AddPrompt(now, "busy", 100)
		for _, id := range []string{"gone", "busy"} {
			b.Forget(id)
			b.BeginStream(now, id, 100, 0, true)
			b.EndStream(now, id, 100, true)
			b.AddRemotePrompt(now, id, 10)
		}
		known := func(id string) bool { return id == e.ID }
		b.DropUnused(now, known)
		Expect(b.PromptCount("gone")).To(Equal(1)) // it may be one that this box doesn't know yet
		later := now.Add(time.Minute)
		b.DropUnused(later, known)
		Expect(b.PromptCount("gone")).To(BeZero())
		Expect(b.PromptCount("busy")).To(Equal(2))
		b.EndSend(later, "busy", now, 3000)
		b.DropUnused(later.Add(time.Minute), known)
		Expect(b.PromptCount("busy")).To(BeZero())
		Expect(b.PromptCount(e.ID)).To(Equal(1))
	})

	It("are expected to miss more on an engine that gets more prompts", func() {
		req.PauseSensitive = true
		req.ExpectedEvents = 1000
		few := estimate(now).ExpectedMisses
		for range 8 {
			b.AddRemotePrompt(now, e.ID, 10)
		}
		Expect(b.PromptCount(e.ID)).To(Equal(8))
		Expect(estimate(now).ExpectedMisses).To(BeNumerically(">", few+0.05))
	})

	It("are weighed against a late first event", func() {
		late := req
		late.Prompt = 3000
		late.LatencyTarget = 300 * time.Millisecond
		Expect(b.Estimate(now, e, late).Pace.ExpectedMisses).To(BeNumerically(">", 0.5))
		late.LatencyTarget = 3 * time.Second
		Expect(b.Estimate(now, e, late).Pace.ExpectedMisses).To(BeNumerically("<", 0.01))
	})
})

// BenchmarkObservePace measures what each message about a pace costs.
func BenchmarkObservePace(b *testing.B) {
	t := admission.NewPaceTable()
	for i := range 110 {
		t.ObservePace(simStart, fmt.Sprintf("e%d", i), time.Duration(17+i%20)*time.Millisecond)
	}
	for b.Loop() {
		t.ObservePace(simStart, "e7", 20*time.Millisecond)
	}
}

// BenchmarkPick measures a placement after a change of an engine's pace; it must take less than
// 50 microseconds at 44 and at 110 engines.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{44, 110} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			balancer := admission.NewBalancer("z", random.Float64)
			var all []routing.Endpoint
			group := make(map[string]bool)
			for i := range engines {
				id := fmt.Sprintf("e%d", i)
				all = append(all, routing.Endpoint{
					ID:    id,
					Zone:  "z",
					Slots: 24,
				})
				group[id] = true
				balancer.ObservePace(simStart, "", id, time.Duration(17+random.IntN(20))*time.Millisecond)
				for range 7 {
					balancer.AddRemotePrompt(simStart, id, 3000)
					balancer.BeginStream(simStart, id, 3000, 0, true)
				}
			}
			balancer.SetGroupEngines(group)
			req := admission.Requirements{
				Tokens:         3800,
				Prompt:         3000,
				Memory:         33_000,
				Shared:         true,
				PauseSensitive: true,
				ExpectedEvents: 187,
				LatencyTarget:  time.Second,
				Size:           750,
			}
			for b.Loop() {
				balancer.ObserveStream(simStart, "", "e1", 4, random.IntN(9) == 0)
				balancer.Pick(simStart, all, req)
			}
		})
	}
}
