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

func serving(b *fleet.State) []string {
	var out []string
	for _, e := range b.View().Serving("s") {
		out = append(out, e.ID)
	}
	return out
}

var _ = Describe("a belief", func() {
	var b *fleet.State
	var changes []fleet.ChangeKind
	BeforeEach(func() {
		changes = nil
		b = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) { changes = append(changes, c.Kind) }))
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
		Expect(b.MarkLeaving(noon, "engine", "a")).To(BeTrue())
		Expect(b.MarkLeaving(noon, "peer", "a")).To(BeFalse())
		Expect(b.MarkLeaving(noon, "peer", "nobody knows it")).To(BeFalse())
		Expect(serving(b)).To(Equal([]string{"b"}))
		Expect(changes).To(ContainElement(fleet.EndpointLeaving))
		b.ApplySnapshot(noon.Add(time.Second), snapshot(11, endpoint("a", 1, false), endpoint("b", 2, false)))
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("tells of a change when its view holds it, and all that came with it", func() {
		seen := 0
		var told *fleet.State
		told = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) {
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
		b.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 20,
			Endpoints:    []routing.Endpoint{endpoint("a", 15, false), endpoint("b", 2, false)},
		})
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("never goes back to an older configuration", func() {
		b.ApplyDocument("peer", document(7))
		b.ApplyDocument("peer", document(5))
		b.ApplySnapshot(noon, snapshot(30, endpoint("a", 1, false)))
		Expect(b.View().ConfigVersion()).To(BeEquivalentTo(7))
	})

	It("gives entries that went with the store away two seconds after its return", func() {
		b.MarkStoreDown()
		b.MarkStoreUp(noon)
		b.ApplySnapshot(noon, snapshot(20, endpoint("b", 2, false)))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
		b.DropExpired(noon.Add(time.Second))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
		b.ApplyChanges(noon.Add(time.Second), &fleet.Changes{
			Revision: 21,
			Updated:  []routing.Endpoint{endpoint("a", 21, false)},
		})
		b.DropExpired(noon.Add(3 * time.Second))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
	})

	It("takes an entry that is still missing then as gone", func() {
		b.MarkStoreDown()
		b.MarkStoreUp(noon)
		b.ApplySnapshot(noon, snapshot(20, endpoint("b", 2, false)))
		b.DropExpired(noon.Add(2 * time.Second))
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("takes a list of a peer with a removal, though the store is away here", func() {
		b.MarkStoreDown()
		b.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 25,
			Endpoints:    []routing.Endpoint{endpoint("b", 2, false)},
		})
		Expect(serving(b)).To(Equal([]string{"b"}))
	})

	It("is as old as it is after a suspension of its machine", func() {
		b.NoteConfigVersion(noon, 9)
		b.HandleSuspension(3 * time.Second)
		Expect(b.View().ConfirmedAt).To(Equal(noon.Add(-3 * time.Second)))
		Expect(b.ConfigLag(noon)).To(Equal(3 * time.Second))
		Expect(serving(b)).To(Equal([]string{"a", "b"}))
	})

	It("takes no older list from a peer", func() {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 30,
			Updated:  []routing.Endpoint{endpoint("c", 30, false)},
		})
		b.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 29,
			Endpoints:    []routing.Endpoint{endpoint("a", 1, false)},
		})
		Expect(serving(b)).To(Equal([]string{"a", "b", "c"}))
	})

	It("takes news in order as complete, and news after a gap as not", func() {
		at := b.View().ListRevision
		later := noon.Add(time.Second)
		Expect(b.ApplyUpdate(later, "peer", fleet.Update{
			BaseRevision: at,
			ListRevision: 12,
			Updated:      []routing.Endpoint{endpoint("c", 12, false)},
		})).To(BeTrue())
		Expect(b.View().ListRevision).To(BeEquivalentTo(12))
		Expect(b.View().ConfirmedAt).To(Equal(later))
		Expect(b.ApplyUpdate(later.Add(time.Second), "peer", fleet.Update{
			BaseRevision: 15,
			ListRevision: 16,
			Updated:      []routing.Endpoint{endpoint("d", 16, false)},
		})).To(BeTrue())
		Expect(serving(b)).To(ContainElement("d"))
		Expect(b.View().ListRevision).To(BeEquivalentTo(12))
		Expect(b.View().ConfirmedAt).To(Equal(later))
	})

	It("hands the same news on only once", func() {
		n := fleet.Update{
			BaseRevision: b.View().ListRevision,
			ListRevision: 12,
			Updated:      []routing.Endpoint{endpoint("c", 12, false)},
		}
		Expect(b.ApplyUpdate(noon, "peer", n)).To(BeTrue())
		Expect(b.ApplyUpdate(noon, "peer", n)).To(BeFalse())
	})

	It("is confirmed by peers only up to what they know", func() {
		b.Confirm(noon.Add(time.Second), b.View().ListRevision+1, 0)
		Expect(b.View().ConfirmedAt).To(Equal(noon))
		b.Confirm(noon.Add(2*time.Second), b.View().ListRevision, 500*time.Millisecond)
		Expect(b.View().ConfirmedAt).To(Equal(noon.Add(1500 * time.Millisecond)))
	})
})

var _ = Describe("what changed since a revision", func() {
	var b *fleet.State
	BeforeEach(func() {
		b = fleet.NewState()
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
		updated, removed, ok := b.ChangesSince(13)
		Expect(ok).To(BeTrue())
		Expect(updated).To(BeEmpty())
		Expect(removed).To(Equal([]fleet.Removal{{
			Name:     "a",
			Revision: 15,
		}}))
	})

	It("isn't known from before the box's own first list", func() {
		_, _, ok := b.ChangesSince(1)
		Expect(ok).To(BeFalse())
	})

	It("brings a box that is behind to the same list", func() {
		behind := fleet.NewState()
		behind.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false)))
		updated, removed, _ := b.ChangesSince(behind.View().ListRevision)
		behind.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: b.View().ListRevision,
			Endpoints:    updated,
			Removed:      removed,
			Partial:      true,
		})
		Expect(serving(behind)).To(Equal(serving(b)))
		Expect(behind.View().ListRevision).To(Equal(b.View().ListRevision))
	})

	It("is no whole list for a box that has none", func() {
		empty := fleet.NewState()
		empty.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 15,
			Endpoints:    []routing.Endpoint{endpoint("c", 13, false)},
			Partial:      true,
		})
		Expect(empty.View().HasEndpointList).To(BeFalse())
	})
})

var _ = Describe("endpoints that join together", func() {
	It("are one change for each source, with all their ids", func() {
		var joined [][]string
		b := fleet.NewState(fleet.WithOnChange(func(c fleet.Change) {
			if c.Kind == fleet.EndpointJoined {
				joined = append(joined, c.JoinedIDs)
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
