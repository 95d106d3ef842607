package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func endpoint(id string, revision routing.Revision, leaving bool) routing.Endpoint {
	return routing.Endpoint{
		ID:       id,
		Service:  "s",
		Revision: revision,
		Leaving:  leaving,
	}
}

func document(version uint64) *routing.Document {
	return &routing.Document{Version: version}
}

func snapshot(revision routing.Revision, all ...routing.Endpoint) *fleet.Snapshot {
	return &fleet.Snapshot{
		Revision:  revision,
		Document:  document(1),
		Endpoints: all,
	}
}

func serving(b *fleet.Belief) []string {
	var out []string
	for _, e := range b.View().Serving("s") {
		out = append(out, e.ID)
	}
	return out
}

var _ = Describe("a belief", func() {
	var b *fleet.Belief
	var changes []fleet.ChangeKind
	BeforeEach(func() {
		changes = nil
		b = fleet.NewBelief(fleet.WithOnChange(func(c fleet.Change) { changes = append(changes, c.Kind) }))
		b.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false)))
	})

	It("gives new requests to endpoints that are ready only", func() {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{endpoint("a", 11, true)},
		})
		Expect(serving(b)).To(Equal([]string{"b"}))
		Expect(changes).To(ContainElement(fleet.EndpointLeaving))
		_, known := b.View().Endpoint("a")
		Expect(known).To(BeTrue())
	})

	// With the store silent for eight seconds nobody told of nine engines that left,
	// and some 35 streams were cut.
	It("takes an engine's own word that it leaves, whatever the store said last", func() {
		Expect(b.Leaves(noon, "engine", "a")).To(BeTrue())
		Expect(b.Leaves(noon, "peer", "a")).To(BeFalse())
		Expect(b.Leaves(noon, "peer", "nobody knows it")).To(BeFalse())
		Expect(serving(b)).To(Equal([]string{"b"}))
		Expect(changes).To(ContainElement(fleet.EndpointLeaving))
		b.ApplySnapshot(noon.Add(time.Second), snapshot(11, endpoint("a", 1, false), endpoint("b", 2, false)))
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("tells of a change when its view holds it, and all that came with it", func() {
		seen := 0
		var told *fleet.Belief
		told = fleet.NewBelief(fleet.WithOnChange(func(c fleet.Change) {
			if c.Kind == fleet.EndpointLeaving {
				seen++
				Expect(serving(told)).To(Equal([]string{"c"}))
			}
		}))
		told.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false), endpoint("c", 3, false)))
		told.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{endpoint("a", 11, true), endpoint("b", 12, true)},
		})
		Expect(seen).To(Equal(2))
	})

	It("drops an endpoint whose entry goes, at once", func() {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Removed: []fleet.Removal{{
				Name:     "a",
				Revision: 12,
			}},
		})
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("never brings back an endpoint that was leaving, whoever says so", func() {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{endpoint("a", 11, true)},
		})
		b.ApplyViews(noon, "peer", fleet.Views{
			Changed:   20,
			Endpoints: []routing.Endpoint{endpoint("a", 15, false), endpoint("b", 2, false)},
		})
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("never goes back to an older configuration", func() {
		b.ApplyDocument("peer", document(7))
		b.ApplyDocument("peer", document(5))
		b.ApplySnapshot(noon, snapshot(30, endpoint("a", 1, false)))
		Expect(b.View().Configuration()).To(BeEquivalentTo(7))
	})

	It("gives entries that went with the store away two seconds after its return", func() {
		b.StoreAway()
		b.StoreBack(noon)
		b.ApplySnapshot(noon, snapshot(20, endpoint("b", 2, false)))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
		b.Tick(noon.Add(time.Second))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
		b.ApplyChanges(noon.Add(time.Second), &fleet.Changes{
			Revision: 21,
			Updated:  []routing.Endpoint{endpoint("a", 21, false)},
		})
		b.Tick(noon.Add(3 * time.Second))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
	})

	It("takes an entry that is still missing then as gone", func() {
		b.StoreAway()
		b.StoreBack(noon)
		b.ApplySnapshot(noon, snapshot(20, endpoint("b", 2, false)))
		b.Tick(noon.Add(2 * time.Second))
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("takes a list of a peer with a removal, though the store is away here", func() {
		b.StoreAway()
		b.ApplyViews(noon, "peer", fleet.Views{
			Changed:   25,
			Endpoints: []routing.Endpoint{endpoint("b", 2, false)},
		})
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("is as old as it is after a suspension of its machine", func() {
		b.HeardOf(noon, 9)
		b.HandleSuspension(3 * time.Second)
		Expect(b.View().Confirmed).To(Equal(noon.Add(-3 * time.Second)))
		Expect(b.Awaited(noon)).To(Equal(3 * time.Second))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
	})

	It("takes no older list from a peer", func() {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 30,
			Updated:  []routing.Endpoint{endpoint("c", 30, false)},
		})
		b.ApplyViews(noon, "peer", fleet.Views{
			Changed:   29,
			Endpoints: []routing.Endpoint{endpoint("a", 1, false)},
		})
		Expect(serving(b)).To(Equal([]string{"a", "b", "c"}))
	})

	It("takes news in order as complete, and news after a gap as not", func() {
		at := b.View().Changed
		later := noon.Add(time.Second)
		Expect(b.ApplyNews(later, "peer", fleet.News{
			After:   at,
			Changed: 12,
			Updated: []routing.Endpoint{endpoint("c", 12, false)},
		})).To(BeTrue())
		Expect(b.View().Changed).To(BeEquivalentTo(12))
		Expect(b.View().Confirmed).To(Equal(later))
		Expect(b.ApplyNews(later.Add(time.Second), "peer", fleet.News{
			After:   15,
			Changed: 16,
			Updated: []routing.Endpoint{endpoint("d", 16, false)},
		})).To(BeTrue())
		Expect(serving(b)).To(ContainElement("d"))
		Expect(b.View().Changed).To(BeEquivalentTo(12))
		Expect(b.View().Confirmed).To(Equal(later))
	})

	It("hands the same news on only once", func() {
		n := fleet.News{
			After:   b.View().Changed,
			Changed: 12,
			Updated: []routing.Endpoint{endpoint("c", 12, false)},
		}
		Expect(b.ApplyNews(noon, "peer", n)).To(BeTrue())
		Expect(b.ApplyNews(noon, "peer", n)).To(BeFalse())
	})

	It("is confirmed by peers only up to what they know", func() {
		b.Confirm(noon.Add(time.Second), b.View().Changed+1, 0)
		Expect(b.View().Confirmed).To(Equal(noon))
		b.Confirm(noon.Add(2*time.Second), b.View().Changed, 500*time.Millisecond)
		Expect(b.View().Confirmed).To(Equal(noon.Add(1500 * time.Millisecond)))
	})
})

var _ = Describe("what changed since a revision", func() {
	var b *fleet.Belief
	BeforeEach(func() {
		b = fleet.NewBelief()
		b.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false)))
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 15,
			Updated:  []routing.Endpoint{endpoint("c", 13, false)},
			Removed: []fleet.Removal{{
				Name:     "a",
				Revision: 15,
			}},
		})
	})

	It("holds updates and removals by their own revisions", func() {
		updated, removed, ok := b.Since(13)
		Expect(ok).To(BeTrue())
		Expect(updated).To(BeEmpty())
		Expect(removed).To(Equal([]fleet.Removal{{
			Name:     "a",
			Revision: 15,
		}}))
	})

	It("isn't known from before the box's own first list", func() {
		_, _, ok := b.Since(1)
		Expect(ok).To(BeFalse())
	})

	It("brings a box that is behind to the same list", func() {
		behind := fleet.NewBelief()
		behind.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false)))
		updated, removed, _ := b.Since(behind.View().Changed)
		behind.ApplyViews(noon, "peer", fleet.Views{
			Changed:   b.View().Changed,
			Endpoints: updated,
			Removed:   removed,
			Partial:   true,
		})
		Expect(serving(behind)).To(Equal(serving(b)))
		Expect(behind.View().Changed).To(Equal(b.View().Changed))
	})

	It("is no whole list for a box that has none", func() {
		empty := fleet.NewBelief()
		empty.ApplyViews(noon, "peer", fleet.Views{
			Changed:   15,
			Endpoints: []routing.Endpoint{endpoint("c", 13, false)},
			Partial:   true,
		})
		Expect(empty.View().Listed).To(BeFalse())
	})
})

var _ = Describe("endpoints that join together", func() {
	It("are one change for each source, with all their ids", func() {
		var joined [][]string
		b := fleet.NewBelief(fleet.WithOnChange(func(c fleet.Change) {
			if c.Kind == fleet.EndpointJoined {
				joined = append(joined, c.Joined)
			}
		}))
		b.ApplySnapshot(noon, snapshot(10))
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{endpoint("a", 11, false), endpoint("b", 12, false)},
		})
		Expect(joined).To(Equal([][]string{{"a", "b"}}))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
	})
})
