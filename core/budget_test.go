package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the shared retry budget", func() {
	rules := core.BudgetRules{
		Ratio:  0.2,
		Slack:  20,
		Window: 10 * time.Second,
		Safety: 1,
	}

	It("gives a box its share of the slack, and more as requests come", func() {
		b := core.NewSharedBudget(noon, rules, true)
		spent := 0
		for b.Allow(noon, 4) {
			spent++
		}
		Expect(spent).To(Equal(5))
		for range 50 {
			b.CountRequest(noon)
		}
		for b.Allow(noon, 4) {
			spent++
		}
		Expect(spent).To(Equal(15))
	})

	It("begins without slack in a process that was started again", func() {
		b := core.NewSharedBudget(noon, rules, false)
		Expect(b.Allow(noon, 1)).To(BeFalse())
		Expect(b.Allow(noon.Add(rules.Window), 1)).To(BeTrue())
	})

	It("lends what it counts as spent, and borrows for a second", func() {
		lender := core.NewSharedBudget(noon, rules, true)
		borrower := core.NewSharedBudget(noon, rules, false)
		Expect(lender.TransferOut(noon, 4, 4, 2)).To(Equal(3))
		Expect(lender.Remaining(noon, 4)).To(Equal(2))
		borrower.TransferIn(noon, 3)
		Expect(borrower.Allow(noon, 4)).To(BeTrue())
		Expect(borrower.Available(noon, 4)).To(Equal(2))
		Expect(borrower.Allow(noon.Add(2*time.Second), 4)).To(BeFalse())
	})

	It("keeps to the bound in every window, whatever the order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := core.NewSharedBudget(noon, rules, true)
			var requests, sends []time.Time
			now := noon
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "request") {
					b.CountRequest(now)
					requests = append(requests, now)
					continue
				}
				if b.Allow(now, 2) {
					sends = append(sends, now)
				}
			}
			// The requests may be counted in the window or in the half before it.
			for _, end := range sends {
				inWindow := count(sends, end.Add(-rules.Window), end)
				seen := count(requests, end.Add(-rules.Window-rules.Window/2), end)
				if float64(inWindow) > rules.Ratio*float64(seen)+float64(rules.Slack)/2 {
					t.Fatalf("%d sends in a window with %d requests", inWindow, seen)
				}
			}
		})
	})
})

func count(all []time.Time, after, to time.Time) int {
	n := 0
	for _, at := range all {
		if at.After(after) && !at.After(to) {
			n++
		}
	}
	return n
}
