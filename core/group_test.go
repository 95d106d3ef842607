package core_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the groups of a fleet", func() {
	fleet := func(perZone, zones int) []core.Peer {
		var all []core.Peer
		for z := range zones {
			for i := range perZone {
				all = append(all, core.Peer{
					Box:  fmt.Sprintf("box-%d-%d", z, i),
					Zone: fmt.Sprintf("zone-%d", z),
				})
			}
		}
		return all
	}
	endpoints := func(perZone, zones int) []core.EndpointLocation {
		var all []core.EndpointLocation
		for z := range zones {
			for i := range perZone {
				all = append(all, core.EndpointLocation{
					ID:   fmt.Sprintf("engine-%d-%d", z, i),
					Zone: fmt.Sprintf("zone-%d", z),
				})
			}
		}
		return all
	}
	groupOf := func(all []core.Peer, i, engines int) core.Group {
		others := append([]core.Peer(nil), all[:i]...)
		return core.GroupOf(all[i], append(others, all[i+1:]...), engines)
	}

	It("is one for a small fleet, with all endpoints", func() {
		g := groupOf(fleet(3, 3), 4, 9)
		Expect(g.Members).To(HaveLen(8))
		Expect(g.PreferredEndpoints(endpoints(3, 3))).To(HaveLen(9))
	})

	It("are of one zone and bounded at any size, and share all endpoints out", func() {
		for _, perZone := range []int{18, 26, 100} {
			all := fleet(perZone, 3)
			used := make(map[string]int)
			for i := range all {
				g := groupOf(all, i, 900)
				Expect(len(g.Members)).To(BeNumerically("<=", 17))
				for id := range g.PreferredEndpoints(endpoints(15, 3)) {
					used[id]++
				}
			}
			Expect(used).To(HaveLen(45))
		}
	})

	It("are larger where boxes have few engines, in steps and bounded", func() {
		Expect(core.GroupSize(470, 5300)).To(Equal(12))
		Expect(core.GroupSize(78, 45)).To(Equal(48))
		Expect(core.GroupSize(78, 38)).To(Equal(48))
		Expect(core.GroupSize(300, 20)).To(Equal(48))
		Expect(core.GroupSize(300, 0)).To(Equal(12))
		g := groupOf(fleet(36, 3), 40, 45)
		Expect(g.Members).To(HaveLen(35))
		Expect(g.PreferredEndpoints(endpoints(15, 3))).To(HaveLen(15))
	})

	It("is one where all boxes together have few engines", func() {
		g := groupOf(fleet(26, 3), 30, 45)
		Expect(g.Members).To(HaveLen(77))
		Expect(g.PreferredEndpoints(endpoints(15, 3))).To(HaveLen(45))
		Expect(groupOf(fleet(26, 3), 30, 73).Members).To(HaveLen(25))
	})

	It("agree with each other", func() {
		all := fleet(26, 3)
		g := groupOf(all, 7, 45)
		for i, p := range all {
			for _, name := range g.Members {
				if p.Box == name {
					Expect(groupOf(all, i, 45).Members).To(ContainElement(all[7].Box))
				}
			}
		}
	})
})
