package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("giving large copies", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rules := core.DefaultTransferRules()
	var g *core.TransferLimiter[string]
	BeforeEach(func() { g = core.NewTransferLimiter[string](rules) })

	It("goes to a few at a time", func() {
		Expect(g.TryStart(start, "a")).To(BeTrue())
		Expect(g.TryStart(start, "b")).To(BeTrue())
		Expect(g.TryStart(start, "c")).To(BeFalse())
		Expect(g.Finish(start.Add(time.Second), "a")).To(Equal(time.Second))
		Expect(g.TryStart(start, "c")).To(BeTrue())
	})

	It("begins anew for a taker that asks anew", func() {
		g.TryStart(start, "a")
		g.TryStart(start, "b")
		Expect(g.TryStart(start.Add(time.Millisecond), "a")).To(BeTrue())
		Expect(g.TryStart(start.Add(time.Millisecond), "c")).To(BeFalse())
	})

	It("waits for nobody who has stopped asking", func() {
		g.TryStart(start, "a")
		g.TryStart(start, "b")
		later := start.Add(rules.IdleTimeout)
		g.RecordProgress(later, "b")
		Expect(g.TryStart(later, "c")).To(BeFalse())
		Expect(g.TryStart(later.Add(time.Millisecond), "c")).To(BeTrue())
		Expect(g.TryStart(later.Add(time.Millisecond), "d")).To(BeFalse())
	})
})
