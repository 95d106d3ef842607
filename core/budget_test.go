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

	It("grants a box its share of the slack, and more retries as requests come", func() {
		b := core.NewSharedBudget(noon, rules, true)
		spent := 0
		for b.Allow(noon, core.BudgetShare{Boxes: 4}) {
			spent++
		}
		Expect(spent).To(Equal(5))
		for range 50 {
			b.CountRequest(noon)
		}
		for b.Allow(noon, core.BudgetShare{Boxes: 4}) {
			spent++
		}
		Expect(spent).To(Equal(15))
	})

	// Guards against a slack that nobody may use because each box's part of it is below one.
	It("divides the whole slack among the boxes, also if they are more than its units", func() {
		for _, boxes := range []int{1, 3, 20, 40, 1000} {
			total := 0
			for rank := range boxes {
				b := core.NewSharedBudget(noon, rules, true)
				total += b.Remaining(noon, core.BudgetShare{
					Boxes: boxes,
					Rank:  rank,
				})
			}
			Expect(total).To(Equal(rules.Slack), "%d boxes", boxes)
		}
	})

	It("has no slack in the first window after a restart", func() {
		b := core.NewSharedBudget(noon, rules, false)
		Expect(b.Allow(noon, core.BudgetShare{Boxes: 1})).To(BeFalse())
		Expect(b.Allow(noon.Add(rules.Window), core.BudgetShare{Boxes: 1})).To(BeTrue())
	})

	It("transfers retries, which count as spent at the sender and expire at the receiver", func() {
		sender := core.NewSharedBudget(noon, rules, true)
		receiver := core.NewSharedBudget(noon, rules, false)
		Expect(sender.TransferOut(noon, core.BudgetShare{Boxes: 4}, 4, 2)).To(Equal(3))
		Expect(sender.Remaining(noon, core.BudgetShare{Boxes: 4})).To(Equal(2))
		receiver.TransferIn(noon, 3)
		Expect(receiver.Allow(noon, core.BudgetShare{Boxes: 4})).To(BeTrue())
		Expect(receiver.Available(noon, core.BudgetShare{Boxes: 4})).To(Equal(2))
		Expect(receiver.Allow(noon.Add(2*time.Second), core.BudgetShare{Boxes: 4})).To(BeFalse())
	})

	It("stays within the limit in every window", func() {
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
				if b.Allow(now, core.BudgetShare{Boxes: 2}) {
					sends = append(sends, now)
				}
			}
			// A request counts for its window and up to half a window beyond it.
			for _, end := range sends {
				inWindow := countBetween(sends, end.Add(-rules.Window), end)
				seen := countBetween(requests, end.Add(-rules.Window-rules.Window/2), end)
				if float64(inWindow) > rules.Ratio*float64(seen)+float64(rules.Slack)/2 {
					t.Fatalf("%d sends in a window with %d requests", inWindow, seen)
				}
			}
		})
	})
})

func countBetween(all []time.Time, after, to time.Time) int {
	n := 0
	for _, at := range all {
		if at.After(after) && !at.After(to) {
			n++
		}
	}
	return n
}
