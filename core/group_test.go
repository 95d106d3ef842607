package core_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("groups of a fleet", func() {
	newFleet := func(perZone, zones int) []core.Peer {
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
	newEndpoints := func(perZone, zones int) []core.EndpointLocation {
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

	It("put a small fleet with all its endpoints into one group", func() {
		group := groupOf(newFleet(3, 3), 4, 9)
		Expect(group.Members).To(HaveLen(8))
		Expect(group.PreferredEndpoints(newEndpoints(3, 3))).To(HaveLen(9))
	})

	It("stay within one zone, are bounded in size and cover all endpoints", func() {
		for _, perZone := range []int{18, 26, 100} {
			all := newFleet(perZone, 3)
			used := make(map[string]int)
			for i := range all {
				group := groupOf(all, i, 900)
				Expect(len(group.Members)).To(BeNumerically("<=", 17))
				for id := range group.PreferredEndpoints(newEndpoints(15, 3)) {
					used[id]++
				}
			}
			Expect(used).To(HaveLen(45))
		}
	})

	It("are larger when boxes have few engines, in steps and up to a bound", func() {
		Expect(core.GroupSize(470, 5300)).To(Equal(12))
		Expect(core.GroupSize(78, 45)).To(Equal(48))
		Expect(core.GroupSize(78, 38)).To(Equal(48))
		Expect(core.GroupSize(300, 20)).To(Equal(48))
		Expect(core.GroupSize(300, 0)).To(Equal(12))
		group := groupOf(newFleet(36, 3), 40, 45)
		Expect(group.Members).To(HaveLen(35))
		Expect(group.PreferredEndpoints(newEndpoints(15, 3))).To(HaveLen(15))
	})

	It("put a larger fleet with few engines into one group", func() {
		group := groupOf(newFleet(26, 3), 30, 45)
		Expect(group.Members).To(HaveLen(77))
		Expect(group.PreferredEndpoints(newEndpoints(15, 3))).To(HaveLen(45))
		Expect(groupOf(newFleet(26, 3), 30, 73).Members).To(HaveLen(25))
	})

	It("have symmetric membership", func() {
		all := newFleet(26, 3)
		group := groupOf(all, 7, 45)
		for i, p := range all {
			for _, name := range group.Members {
				if p.Box == name {
					Expect(groupOf(all, i, 45).Members).To(ContainElement(all[7].Box))
				}
			}
		}
	})
})
