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
	totalShare := func(all []*core.ShareAllocator, thing string, units int) int {
		sum := 0
		for _, allocator := range all {
			sum += allocator.Share(now, thing, units)
		}
		return sum
	}

	It("is divided without rest where all know the same others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			boxes := newPeers("box", rapid.IntRange(1, 80).Draw(t, "boxes"))
			units := rapid.IntRange(0, 60).Draw(t, "units")
			var all []*core.ShareAllocator
			for _, b := range boxes {
				all = append(all, newAllocator(b.Box, begin, boxes))
			}
			if got := totalShare(all, "e-1", units); got != units {
				t.Fatalf("%d of %d units are claimed", got, units)
			}
		})
	})

	It("gives a box that starts nothing until others have heard of it", func() {
		allocator := core.NewShareAllocator(now.Add(-4*time.Second), "box-0", core.DefaultShareRules())
		Expect(allocator.Share(now, "e-1", 10)).To(BeZero())
		Expect(allocator.Share(now.Add(2*time.Second), "e-1", 10)).To(Equal(10))
	})

	It("keeps the part of a box that is silent, and not that of one that left", func() {
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

	// A part of the fleet is cut off from the others, and not from the endpoints, while
	// boxes are added: those that are cut off know nothing of the added ones.
	It("is claimed twice by few while boxes are added and others are cut off", func() {
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
