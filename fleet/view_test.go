package fleet_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("a new view", func() {
	It("contains the current entries after arbitrary changes and leaves the previous view unchanged", func() {
		r := rand.New(rand.NewPCG(1, 2))
		b := fleet.NewState()
		b.ApplySnapshot(noon, snapshot(1))
		want := make(map[string]routing.Endpoint)
		ready := func() []routing.Endpoint {
			var out []routing.Endpoint
			for _, e := range want {
				if !e.Leaving {
					out = append(out, e)
				}
			}
			slices.SortFunc(out, func(a, b routing.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
			return out
		}
		service := endpoint("x", 1, false).Service
		for step := range routing.Revision(400) {
			before := b.View()
			served := slices.Clone(before.Serving(service))
			c := &fleet.Changes{Revision: step + 2}
			removed := make(map[string]bool)
			for range 1 + r.IntN(4) {
				id := fmt.Sprintf("i-%03d", r.IntN(90))
				if _, known := want[id]; known && r.IntN(3) == 0 {
					removed[id] = true
				}
			}
			for id := range removed {
				delete(want, id)
				c.Removed = append(c.Removed, fleet.Removal{
					Name:     id,
					Revision: step + 2,
				})
			}
			// Each name is new, since an endpoint that was leaving never comes back.
			e := endpoint(fmt.Sprintf("i-%03d", step%90+100*(step/90)), step+2, false)
			want[e.ID] = e
			c.Updated = append(c.Updated, e)
			if len(want) > 2 && r.IntN(4) == 0 {
				leaving := ready()[0]
				leaving.Leaving = true
				leaving.Revision = step + 2
				want[leaving.ID] = leaving
				c.Updated = append(c.Updated, leaving)
			}
			b.ApplyChanges(noon, c)
			Expect(b.View().Serving(service)).To(Equal(ready()))
			for id := range want {
				e, known := b.View().Endpoint(id)
				Expect(known).To(BeTrue())
				Expect(e).To(Equal(want[id]))
			}
			for id := range removed {
				if _, again := want[id]; !again {
					_, known := b.View().Endpoint(id)
					Expect(known).To(BeFalse())
				}
			}
			if len(served) > 0 {
				Expect(before.Serving(service)).To(Equal(served))
			}
		}
	})
})

// BenchmarkApplyUpdate measures applying one change to a list of 3,000 endpoints.
func BenchmarkApplyUpdate(b *testing.B) {
	state := fleet.NewState()
	var all []routing.Endpoint
	for i := range 3000 {
		all = append(all, endpoint(fmt.Sprintf("i-%05x", i*7919%65536), routing.Revision(i+1), false))
	}
	state.ApplySnapshot(time.Now(), snapshot(4000, all...))
	for i := range b.N {
		state.ApplyUpdate(time.Now(), "peer", fleet.Update{
			BaseRevision: routing.Revision(4000 + i),
			ListRevision: routing.Revision(4001 + i),
			Updated:      []routing.Endpoint{endpoint("i-00000", routing.Revision(4001+i), false)},
		})
	}
}
