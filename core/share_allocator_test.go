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

var _ = Describe("the share allocator", func() {
	begin := time.Unix(1000, 0)
	now := begin.Add(time.Minute)
	newPeers := func(prefix string, n int) []core.Peer {
		var all []core.Peer
		for i := range n {
			all = append(all, core.Peer{Box: fmt.Sprintf("%s-%d", prefix, i)})
		}
		return all
	}
	newAllocator := func(self string, start time.Time, others ...[]core.Peer) *core.ShareAllocator {
		allocator := core.NewShareAllocator(start, self, core.DefaultShareRules())
		for _, rest := range others {
			allocator.Observe(start.Add(time.Second), withoutBox(rest, self))
			allocator.Observe(now, withoutBox(rest, self))
		}
		return allocator
	}
	totalShare := func(all []*core.ShareAllocator, resource string, units int) int {
		sum := 0
		for _, allocator := range all {
			sum += allocator.Share(now, resource, units)
		}
		return sum
	}

	It("assigns every unit exactly once when all boxes know each other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			boxes := newPeers("box", rapid.IntRange(1, 80).Draw(t, "boxes"))
			units := rapid.IntRange(0, 60).Draw(t, "units")
			var all []*core.ShareAllocator
			for _, b := range boxes {
				all = append(all, newAllocator(b.Box, begin, boxes))
			}
			if got := totalShare(all, "e-1", units); got != units {
				t.Fatalf("%d of %d units claimed", got, units)
			}
		})
	})

	It("gives a starting box no share until the others have heard of it", func() {
		allocator := core.NewShareAllocator(now.Add(-4*time.Second), "box-0", core.DefaultShareRules())
		Expect(allocator.Share(now, "e-1", 10)).To(BeZero())
		Expect(allocator.Share(now.Add(2*time.Second), "e-1", 10)).To(Equal(10))
	})

	It("keeps the share of a silent box, but not of one that left", func() {
		boxes := newPeers("box", 2)
		allocator := newAllocator("box-0", begin, boxes)
		before := allocator.Share(now, "e-1", 10)
		Expect(before).To(BeNumerically("<", 10))
		allocator.Observe(now.Add(30*time.Minute), nil)
		Expect(allocator.Share(now.Add(30*time.Minute), "e-1", 10)).To(Equal(before))
		boxes[1].Leaving = true
		allocator.Observe(now.Add(30*time.Minute), boxes[1:])
		allocator.Observe(now.Add(31*time.Minute), boxes[1:])
		Expect(allocator.Share(now.Add(31*time.Minute), "e-1", 10)).To(Equal(10))
	})

	// Part of the fleet is partitioned off from the other boxes, but not from the
	// endpoints, while boxes join that the isolated ones don't know.
	It("claims few units twice while boxes join during a partition", func() {
		const rounds = 1000
		random := rand.New(rand.NewPCG(1, 2))
		worst := 0.0
		exceeded := 0
		for round := range rounds {
			old := newPeers("old", 3+random.IntN(60))
			added := newPeers("new", random.IntN(3*len(old)/4+1))
			isolated := random.IntN(len(old)*35/100 + 1)
			units := 7 + random.IntN(60)
			visible := append([]core.Peer(nil), old...)
			for i := range isolated {
				visible[i].Suspect = true
			}
			var all []*core.ShareAllocator
			for i, b := range old {
				allocator := newAllocator(b.Box, begin.Add(-time.Hour), old)
				if i >= isolated {
					allocator.Observe(now, withoutBox(append(visible, added...), b.Box))
				}
				all = append(all, allocator)
			}
			for _, b := range added {
				all = append(all, newAllocator(b.Box, begin, append(visible, added...)))
			}
			got := float64(totalShare(all, fmt.Sprintf("e-%d", round), units)) / float64(units)
			worst = max(worst, got)
			if got > 1.25 {
				exceeded++
			}
		}
		AddReportEntry("worst", worst)
		Expect(exceeded).To(BeZero(), fmt.Sprintf("worst %.2f", worst))
	})
})

func withoutBox(all []core.Peer, box string) []core.Peer {
	var rest []core.Peer
	for _, p := range all {
		if p.Box != box {
			rest = append(rest, p)
		}
	}
	return rest
}
