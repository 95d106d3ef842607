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

func serving(state *fleet.State) []string {
	var out []string
	for _, e := range state.View().Serving("s") {
		out = append(out, e.ID)
	}
	return out
}

var _ = Describe("the state", func() {
	var state *fleet.State
	var changes []fleet.ChangeKind
	BeforeEach(func() {
		changes = nil
		state = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) { changes = append(changes, c.Kind) }))
		state.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false)))
	})

	It("serves only endpoints that are not leaving", func() {
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{endpoint("a", 11, true)},
		})
		Expect(serving(state)).To(Equal([]string{"b"}))
		Expect(changes).To(ContainElement(fleet.EndpointLeaving))
		_, known := state.View().Endpoint("a")
		Expect(known).To(BeTrue())
	})

	// While the store is down, engines announce themselves that they are leaving. If that is
	// ignored, their streams break.
	It("accepts an engine's own announcement that it is leaving, whatever the store said", func() {
		Expect(state.MarkLeaving(noon, "engine", "a")).To(BeTrue())
		Expect(state.MarkLeaving(noon, "peer", "a")).To(BeFalse())
		Expect(state.MarkLeaving(noon, "peer", "unknown")).To(BeFalse())
		Expect(serving(state)).To(Equal([]string{"b"}))
		Expect(changes).To(ContainElement(fleet.EndpointLeaving))
		state.ApplySnapshot(noon.Add(time.Second), snapshot(11, endpoint("a", 1, false), endpoint("b", 2, false)))
		Expect(serving(state)).To(Equal([]string{"b"}))
	})

	It("reports a change after its view contains it and all changes that arrived with it", func() {
		seen := 0
		var observed *fleet.State
		observed = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) {
			if c.Kind == fleet.EndpointLeaving {
				seen++
				Expect(serving(observed)).To(Equal([]string{"c"}))
			}
		}))
		observed.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false), endpoint("c", 3, false)))
		observed.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{endpoint("a", 11, true), endpoint("b", 12, true)},
		})
		Expect(seen).To(Equal(2))
	})

	It("drops an endpoint at once when its entry is removed", func() {
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Removed: []fleet.Removal{{
				Name:     "a",
				Revision: 12,
			}},
		})
		Expect(serving(state)).To(Equal([]string{"b"}))
	})

	It("never makes a leaving endpoint available again, whatever a peer sends", func() {
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{endpoint("a", 11, true)},
		})
		state.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 20,
			Endpoints:    []routing.Endpoint{endpoint("a", 15, false), endpoint("b", 2, false)},
		})
		Expect(serving(state)).To(Equal([]string{"b"}))
	})

	It("never reverts to an older configuration", func() {
		state.ApplyStoreDocument(document(7))
		state.ApplyStoreDocument(document(5))
		state.ApplySnapshot(noon, snapshot(30, endpoint("a", 1, false)))
		Expect(state.View().ConfigVersion()).To(BeEquivalentTo(7))
	})

	It("keeps entries that are missing after a store outage for the grace period", func() {
		state.MarkStoreDown()
		state.MarkStoreUp(noon)
		state.ApplySnapshot(noon, snapshot(20, endpoint("b", 2, false)))
		Expect(serving(state)).To(Equal([]string{"a", "b"}))
		state.DropExpired(noon.Add(time.Second))
		Expect(serving(state)).To(Equal([]string{"a", "b"}))
		state.ApplyChanges(noon.Add(time.Second), &fleet.Changes{
			Revision: 21,
			Updated:  []routing.Endpoint{endpoint("a", 21, false)},
		})
		state.DropExpired(noon.Add(3 * time.Second))
		Expect(serving(state)).To(Equal([]string{"a", "b"}))
	})

	It("drops entries that are still missing after the grace period", func() {
		state.MarkStoreDown()
		state.MarkStoreUp(noon)
		state.ApplySnapshot(noon, snapshot(20, endpoint("b", 2, false)))
		state.DropExpired(noon.Add(2 * time.Second))
		Expect(serving(state)).To(Equal([]string{"b"}))
	})

	It("applies a removal in a peer's list while the store is down here", func() {
		state.MarkStoreDown()
		state.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 25,
			Endpoints:    []routing.Endpoint{endpoint("b", 2, false)},
		})
		Expect(serving(state)).To(Equal([]string{"b"}))
	})

	It("counts a suspension of the machine in its ages", func() {
		state.NoteConfigVersion(noon, 9)
		state.HandleSuspension(3 * time.Second)
		Expect(state.View().ConfirmedAt).To(Equal(noon.Add(-3 * time.Second)))
		Expect(state.ConfigLag(noon)).To(Equal(3 * time.Second))
		Expect(serving(state)).To(Equal([]string{"a", "b"}))
	})

	It("ignores an older list from a peer", func() {
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 30,
			Updated:  []routing.Endpoint{endpoint("c", 30, false)},
		})
		state.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 29,
			Endpoints:    []routing.Endpoint{endpoint("a", 1, false)},
		})
		Expect(serving(state)).To(Equal([]string{"a", "b", "c"}))
	})

	It("advances its revision with an update in order, but not after a missed one", func() {
		at := state.View().ListRevision
		later := noon.Add(time.Second)
		Expect(state.ApplyUpdate(later, "peer", fleet.Update{
			BaseRevision: at,
			ListRevision: 12,
			Updated:      []routing.Endpoint{endpoint("c", 12, false)},
		})).To(BeTrue())
		Expect(state.View().ListRevision).To(BeEquivalentTo(12))
		Expect(state.View().ConfirmedAt).To(Equal(later))
		Expect(state.ApplyUpdate(later.Add(time.Second), "peer", fleet.Update{
			BaseRevision: 15,
			ListRevision: 16,
			Updated:      []routing.Endpoint{endpoint("d", 16, false)},
		})).To(BeTrue())
		Expect(serving(state)).To(ContainElement("d"))
		Expect(state.View().ListRevision).To(BeEquivalentTo(12))
		Expect(state.View().ConfirmedAt).To(Equal(later))
	})

	It("reports an update as new only once", func() {
		n := fleet.Update{
			BaseRevision: state.View().ListRevision,
			ListRevision: 12,
			Updated:      []routing.Endpoint{endpoint("c", 12, false)},
		}
		Expect(state.ApplyUpdate(noon, "peer", n)).To(BeTrue())
		Expect(state.ApplyUpdate(noon, "peer", n)).To(BeFalse())
	})

	It("is not confirmed by a peer that has a newer list", func() {
		state.Confirm(noon.Add(time.Second), state.View().ListRevision+1, 0)
		Expect(state.View().ConfirmedAt).To(Equal(noon))
		state.Confirm(noon.Add(2*time.Second), state.View().ListRevision, 500*time.Millisecond)
		Expect(state.View().ConfirmedAt).To(Equal(noon.Add(1500 * time.Millisecond)))
	})
})

var _ = Describe("the changes since a revision", func() {
	var state *fleet.State
	BeforeEach(func() {
		state = fleet.NewState()
		state.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false)))
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 15,
			Updated:  []routing.Endpoint{endpoint("c", 13, false)},
			Removed: []fleet.Removal{{
				Name:     "a",
				Revision: 15,
			}},
		})
	})

	It("are selected by the revisions of the updates and removals", func() {
		updated, removed, ok := state.ChangesSince(13)
		Expect(ok).To(BeTrue())
		Expect(updated).To(BeEmpty())
		Expect(removed).To(Equal([]fleet.Removal{{
			Name:     "a",
			Revision: 15,
		}}))
	})

	It("are unknown before the box's first list", func() {
		_, _, ok := state.ChangesSince(1)
		Expect(ok).To(BeFalse())
	})

	It("bring a box that is behind to the same list", func() {
		behind := fleet.NewState()
		behind.ApplySnapshot(noon, snapshot(10, endpoint("a", 1, false), endpoint("b", 2, false)))
		updated, removed, _ := state.ChangesSince(behind.View().ListRevision)
		behind.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: state.View().ListRevision,
			Endpoints:    updated,
			Removed:      removed,
			Partial:      true,
		})
		Expect(serving(behind)).To(Equal(serving(state)))
		Expect(behind.View().ListRevision).To(Equal(state.View().ListRevision))
	})

	It("are not applied as a complete list by a box without one", func() {
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
	It("are reported as one change per source with all their ids", func() {
		var joined [][]string
		state := fleet.NewState(fleet.WithOnChange(func(c fleet.Change) {
			if c.Kind == fleet.EndpointJoined {
				joined = append(joined, c.JoinedIDs)
			}
		}))
		state.ApplySnapshot(noon, snapshot(10))
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{endpoint("a", 11, false), endpoint("b", 12, false)},
		})
		Expect(joined).To(Equal([][]string{{"a", "b"}}))
		Expect(serving(state)).To(Equal([]string{"a", "b"}))
	})
})
