package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the transfer limiter", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rules := core.DefaultTransferRules()
	var limiter *core.TransferLimiter[string]
	BeforeEach(func() { limiter = core.NewTransferLimiter[string](rules) })

	It("bounds concurrent transfers", func() {
		Expect(limiter.TryStart(start, "a")).To(BeTrue())
		Expect(limiter.TryStart(start, "b")).To(BeTrue())
		Expect(limiter.TryStart(start, "c")).To(BeFalse())
		Expect(limiter.Finish(start.Add(time.Second), "a")).To(Equal(time.Second))
		Expect(limiter.TryStart(start, "c")).To(BeTrue())
	})

	It("replaces the transfer of a receiver that starts again", func() {
		limiter.TryStart(start, "a")
		limiter.TryStart(start, "b")
		Expect(limiter.TryStart(start.Add(time.Millisecond), "a")).To(BeTrue())
		Expect(limiter.TryStart(start.Add(time.Millisecond), "c")).To(BeFalse())
	})

	It("frees the slot of an idle receiver", func() {
		limiter.TryStart(start, "a")
		limiter.TryStart(start, "b")
		later := start.Add(rules.IdleTimeout)
		limiter.RecordProgress(later, "b")
		Expect(limiter.TryStart(later, "c")).To(BeFalse())
		Expect(limiter.TryStart(later.Add(time.Millisecond), "c")).To(BeTrue())
		Expect(limiter.TryStart(later.Add(time.Millisecond), "d")).To(BeFalse())
	})
})
