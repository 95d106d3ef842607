package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("one box's sends to an endpoint that bears some a second", func() {
	begin := time.Unix(1000, 0)

	It("are no more than its share in any second, whatever was planned and given up", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.IntRange(0, 5).Draw(t, "share")
			r := core.NewSendBudget(core.DefaultSendBudgetRules())
			now := begin
			held := 0
			var sent []time.Time
			for range 200 {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					if r.Reserve(now, share) {
						held++
					}
				case 1:
					if held > 0 {
						held--
						r.CancelReservation()
					}
				default:
					if r.Acquire(now, share, held > 0) {
						sent = append(sent, now)
					}
					held = max(held-1, 0)
				}
				first := 0
				for i, at := range sent {
					for at.Sub(sent[first]) >= time.Second {
						first++
					}
					if i-first+1 > share {
						t.Fatalf("%d sends within a second, %d allowed", i-first+1, share)
					}
				}
			}
		})
	})

	It("find the place that was kept for them", func() {
		r := core.NewSendBudget(core.DefaultSendBudgetRules())
		Expect(r.Reserve(begin, 1)).To(BeTrue())
		Expect(r.CanReserve(begin, 1)).To(BeFalse())
		Expect(r.Acquire(begin.Add(time.Second), 1, true)).To(BeTrue())
		Expect(r.Acquire(begin.Add(2*time.Second), 1, false)).To(BeFalse())
		Expect(r.Acquire(begin.Add(2200*time.Millisecond), 1, false)).To(BeTrue())
	})

	It("lose a place whose plan was never carried out", func() {
		r := core.NewSendBudget(core.DefaultSendBudgetRules())
		Expect(r.Reserve(begin, 1)).To(BeTrue())
		Expect(r.CanReserve(begin.Add(5*time.Second), 1)).To(BeTrue())
		Expect(r.IsIdle(begin.Add(5 * time.Second))).To(BeTrue())
	})
})
