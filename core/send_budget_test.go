package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the send budget", func() {
	begin := time.Unix(1000, 0)

	It("allows no more sends than the share in any second, whatever is reserved and canceled", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.IntRange(0, 5).Draw(t, "share")
			budget := core.NewSendBudget(core.DefaultSendBudgetRules())
			now := begin
			reserved := 0
			var sent []time.Time
			for range 200 {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 3).Draw(t, "action") {
				case 0:
					if budget.Reserve(now, share) {
						reserved++
					}
				case 1:
					if reserved > 0 {
						reserved--
						budget.CancelReservation()
					}
				default:
					if budget.Acquire(now, share, reserved > 0) {
						sent = append(sent, now)
					}
					reserved = max(reserved-1, 0)
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

	It("uses a reservation for the send that holds it", func() {
		budget := core.NewSendBudget(core.DefaultSendBudgetRules())
		Expect(budget.Reserve(begin, 1)).To(BeTrue())
		Expect(budget.CanReserve(begin, 1)).To(BeFalse())
		Expect(budget.Acquire(begin.Add(time.Second), 1, true)).To(BeTrue())
		Expect(budget.Acquire(begin.Add(2*time.Second), 1, false)).To(BeFalse())
		Expect(budget.Acquire(begin.Add(2200*time.Millisecond), 1, false)).To(BeTrue())
	})

	It("expires a reservation that is never used", func() {
		budget := core.NewSendBudget(core.DefaultSendBudgetRules())
		Expect(budget.Reserve(begin, 1)).To(BeTrue())
		Expect(budget.CanReserve(begin.Add(5*time.Second), 1)).To(BeTrue())
		Expect(budget.IsIdle(begin.Add(5 * time.Second))).To(BeTrue())
	})
})
