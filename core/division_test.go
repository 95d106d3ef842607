package core_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("what is divided among all boxes", func() {
	begin := time.Unix(1000, 0)
	now := begin.Add(time.Minute)
	names := func(prefix string, n int) []core.Peer {
		var all []core.Peer
		for i := range n {
			all = append(all, core.Peer{Box: fmt.Sprintf("%s-%d", prefix, i)})
		}
		return all
	}
	division := func(self string, start time.Time, others ...[]core.Peer) *core.ShareAllocator {
		d := core.NewShareAllocator(start, self, core.DefaultShareRules())
		for _, some := range others {
			d.Observe(start.Add(time.Second), without(some, self))
			d.Observe(now, without(some, self))
		}
		return d
	}
	claimed := func(all []*core.ShareAllocator, thing string, units int) int {
		sum := 0
		for _, d := range all {
			sum += d.Share(now, thing, units)
		}
		return sum
	}

	It("is divided without rest where all know the same others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			boxes := names("box", rapid.IntRange(1, 80).Draw(t, "boxes"))
			units := rapid.IntRange(0, 60).Draw(t, "units")
			var all []*core.ShareAllocator
			for _, b := range boxes {
				all = append(all, division(b.Box, begin, boxes))
			}
			if got := claimed(all, "e-1", units); got != units {
				t.Fatalf("%d of %d units are claimed", got, units)
			}
		})
	})

	It("gives a box that starts nothing until others have heard of it", func() {
		d := core.NewShareAllocator(now.Add(-4*time.Second), "box-0", core.DefaultShareRules())
		Expect(d.Share(now, "e-1", 10)).To(BeZero())
		Expect(d.Share(now.Add(2*time.Second), "e-1", 10)).To(Equal(10))
	})

	It("keeps the part of a box that is silent, and not that of one that left", func() {
		boxes := names("box", 2)
		d := division("box-0", begin, boxes)
		before := d.Share(now, "e-1", 10)
		Expect(before).To(BeNumerically("<", 10))
		d.Observe(now.Add(30*time.Minute), nil)
		Expect(d.Share(now.Add(30*time.Minute), "e-1", 10)).To(Equal(before))
		boxes[1].Leaving = true
		d.Observe(now.Add(30*time.Minute), boxes[1:])
		d.Observe(now.Add(31*time.Minute), boxes[1:])
		Expect(d.Share(now.Add(31*time.Minute), "e-1", 10)).To(Equal(10))
	})

	// A part of the fleet is cut off from the others, and not from the endpoints, while
	// boxes are added: those that are cut off know nothing of the added ones.
	It("is claimed twice by few while boxes are added and others are cut off", func() {
		const plays = 1000
		draw := rand.New(rand.NewPCG(1, 2))
		worst := 0.0
		over := 0
		for play := range plays {
			old := names("old", 3+draw.IntN(60))
			added := names("new", draw.IntN(3*len(old)/4+1))
			cut := draw.IntN(len(old)*35/100 + 1)
			units := 7 + draw.IntN(60)
			seen := append([]core.Peer(nil), old...)
			for i := range cut {
				seen[i].Suspect = true
			}
			var all []*core.ShareAllocator
			for i, b := range old {
				d := division(b.Box, begin.Add(-time.Hour), old)
				if i >= cut {
					d.Observe(now, without(append(seen, added...), b.Box))
				}
				all = append(all, d)
			}
			for _, b := range added {
				all = append(all, division(b.Box, begin, append(seen, added...)))
			}
			got := float64(claimed(all, fmt.Sprintf("e-%d", play), units)) / float64(units)
			worst = max(worst, got)
			if got > 1.25 {
				over++
			}
		}
		AddReportEntry("worst", worst)
		Expect(over).To(BeZero(), fmt.Sprintf("worst %.2f", worst))
	})
})

func without(all []core.Peer, box string) []core.Peer {
	var some []core.Peer
	for _, p := range all {
		if p.Box != box {
			some = append(some, p)
		}
	}
	return some
}
