package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("slow spells", func() {
	const pace, slowPace = 20 * time.Millisecond, 50 * time.Millisecond
	var s *admission.SlowSpells
	BeforeEach(func() { s = admission.NewSlowSpells() })
	at := func(d time.Duration) time.Time { return simStart.Add(d) }
	observe := func(d, interval time.Duration, prompted bool) bool {
		return s.ObserveInterval(at(d), "e1", interval, pace, prompted)
	}
	rest := func(d time.Duration) time.Duration { return s.Rest(at(d), "e1") }

	// Guards against more than one message for an engine and spell.
	It("are new once, until they end", func() {
		Expect(observe(0, pace, false)).To(BeFalse())
		Expect(rest(0)).To(BeZero())
		Expect(observe(slowPace, slowPace, false)).To(BeTrue())
		for i := range 20 {
			Expect(observe(time.Duration(i+2)*slowPace, slowPace, false)).To(BeFalse())
			Expect(rest(time.Duration(i+2) * slowPace)).To(BeNumerically(">=", 300*time.Millisecond))
		}
		Expect(observe(1100*time.Millisecond, pace, false)).To(BeFalse())
		Expect(rest(1100 * time.Millisecond)).To(BeZero())
		Expect(observe(1200*time.Millisecond, slowPace, false)).To(BeTrue())
	})

	// Guards against engines that are avoided because they prefill a prompt.
	It("are told from the effects of a prompt", func() {
		Expect(observe(0, slowPace, true)).To(BeFalse())
		Expect(observe(0, 2*pace, false)).To(BeFalse()) // the message about the prompt was lost
		Expect(observe(time.Second, 2*slowPace, true)).To(BeTrue())
	})

	It("show in answers, relative to the engine's usual slowdown", func() {
		for i := range 50 {
			Expect(s.ObserveAnswer(at(time.Duration(i)*time.Second), "e1", 0.55)).To(BeFalse())
		}
		Expect(s.ObserveAnswer(at(time.Minute), "e1", 1.375)).To(BeTrue())
		Expect(s.ObserveAnswer(at(time.Minute), "e1", 1.375)).To(BeFalse())
		Expect(rest(time.Minute)).To(BeNumerically(">", 0))
		s.ObserveAnswer(at(time.Minute+time.Millisecond), "e1", 0.55)
		Expect(rest(time.Minute + time.Millisecond)).To(BeZero())
		Expect(s.ObserveAnswer(at(0), "e2", 1.2)).To(BeFalse())
		Expect(s.ObserveAnswer(at(0), "e3", 2.5)).To(BeTrue()) // the first answer of an engine
	})

	// Guards against an interval from before a message that undoes it, and against engines that
	// are avoided for long because of a doubled, late or wrong message.
	It("of other boxes' messages count for a bounded time, or until a usual interval", func() {
		s.Record(at(0), "e1", time.Hour)
		s.Record(at(0), "e1", time.Hour)
		s.Record(at(0), "e2", -time.Hour)
		Expect(s.Rest(at(0), "e2")).To(BeZero())
		Expect(observe(pace/2, pace, false)).To(BeFalse())
		Expect(rest(pace / 2)).To(BeNumerically(">", 0))
		Expect(rest(5 * time.Second)).To(BeZero())
		Expect(observe(2*pace, pace, false)).To(BeFalse())
		Expect(rest(2 * pace)).To(BeZero())
	})

	It("have a learned usual length", func() {
		Expect(s.UsualLength()).To(Equal(300 * time.Millisecond))
		for i := range 100 {
			begin := time.Duration(i) * 4 * time.Second
			for j := range 13 {
				observe(begin+time.Duration(j)*slowPace, slowPace, false)
			}
			observe(begin+13*slowPace, pace, false)
		}
		Expect(s.UsualLength()).To(BeNumerically("~", 13*slowPace, 50*time.Millisecond))
	})

	// Guards against an engine that stays slow, whose time would make all spells look long.
	It("of a length beyond the bound raise the usual length by the bound only", func() {
		for i := range 1200 {
			observe(time.Duration(i)*slowPace, slowPace, false)
		}
		Expect(s.UsualLength()).To(BeNumerically("<", 2*time.Second))
	})

	It("are forgotten with their engine", func() {
		observe(0, slowPace, false)
		s.Forget("e1")
		Expect(rest(0)).To(BeZero())
	})
})

var _ = Describe("long and short streams on engines with slow spells", func() {
	// Guards against prompts that are sent to engines in a slow spell, where they make streams
	// miss their pause target, and against late first events in exchange.
	It("miss fewer targets if the boxes see the spells", func() {
		load := paceLoad{
			Boxes:     8,
			Engines:   20,
			Rate:      15,
			LongShare: 0.5,
			FastShare: -1,
			Duration:  40 * time.Second,
		}
		var now, before paceResult
		spells := 0
		for seed := range uint64(spellSeeds) {
			for _, sees := range []bool{false, true} {
				load.Spells = sees
				s := load.simulate(seed + 1)
				sum := &before
				if sees {
					sum = &now
					spells += s.spellsSeen
				}
				sum.Streams += s.long.Streams
				sum.Paused += s.long.Paused
				sum.LateFirst += s.long.LateFirst + s.short.LateFirst
			}
		}
		AddReportEntry("with, without; spells", []any{now, before, spells})
		Expect(now.Paused * before.Streams).To(BeNumerically("<", before.Paused*now.Streams*4/5))
		Expect(now.LateFirst).To(BeNumerically("<=", before.LateFirst+4))
	})
})

// spellSeeds is the number of simulations that are compared; the results of one vary by more than
// the difference.
const spellSeeds = 8

// BenchmarkObserveInterval measures what slow spells add to each event of a stream; it must take
// less than a microsecond.
func BenchmarkObserveInterval(b *testing.B) {
	balancer := admission.NewBalancer("z", func() float64 { return 0.5 })
	for i := range 110 {
		id := string(rune('a' + i))
		balancer.ObservePace(simStart, "model", id, 20*time.Millisecond)
		balancer.AddRemotePrompt(simStart, id, 3000)
	}
	e := routing.Endpoint{ID: "b"}
	at := simStart.Add(time.Minute)
	for b.Loop() {
		at = at.Add(20 * time.Millisecond)
		balancer.ObserveInterval(at, "model", e.ID, 20*time.Millisecond)
	}
}
