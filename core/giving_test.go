package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("giving large copies", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rules := core.DefaultGivingRules()
	var g *core.Giving[string]
	BeforeEach(func() { g = core.NewGiving[string](rules) })

	It("goes to a few at a time", func() {
		Expect(g.Begin(start, "a")).To(BeTrue())
		Expect(g.Begin(start, "b")).To(BeTrue())
		Expect(g.Begin(start, "c")).To(BeFalse())
		Expect(g.Done(start.Add(time.Second), "a")).To(Equal(time.Second))
		Expect(g.Begin(start, "c")).To(BeTrue())
	})

	It("begins anew for a taker that asks anew", func() {
		g.Begin(start, "a")
		g.Begin(start, "b")
		Expect(g.Begin(start.Add(time.Millisecond), "a")).To(BeTrue())
		Expect(g.Begin(start.Add(time.Millisecond), "c")).To(BeFalse())
	})

	It("waits for nobody who has stopped asking", func() {
		g.Begin(start, "a")
		g.Begin(start, "b")
		later := start.Add(rules.Idle)
		g.GoOn(later, "b")
		Expect(g.Begin(later, "c")).To(BeFalse())
		Expect(g.Begin(later.Add(time.Millisecond), "c")).To(BeTrue())
		Expect(g.Begin(later.Add(time.Millisecond), "d")).To(BeFalse())
	})
})
