package fleet_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// zonedSnapshot returns a snapshot with one endpoint in each of two zones.
func zonedSnapshot(revision routing.Revision, drained ...routing.ZoneDrain) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Revision:     revision,
		DrainedZones: drained,
	}
	for _, zone := range []string{"a", "b"} {
		e := endpoint("e-"+zone, 1, false)
		e.Zone = zone
		s.Endpoints = append(s.Endpoints, e)
	}
	return s
}

func drainedZone(zone string, revision routing.Revision) routing.ZoneDrain {
	return routing.ZoneDrain{
		Zone:     zone,
		Drained:  true,
		Revision: revision,
	}
}

func undrainedZone(zone string, revision routing.Revision) routing.ZoneDrain {
	return routing.ZoneDrain{
		Zone:     zone,
		Revision: revision,
	}
}

func TestDrainedZoneGetsNoRequestsUntilTheDrainEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	state := fleet.NewState()
	state.ApplySnapshot(now, zonedSnapshot(5, drainedZone("a", 3)))
	g.Expect(serving(state)).To(gomega.Equal([]string{"e-b"}))
	_, known := state.View().Endpoint("e-a")
	g.Expect(known).To(gomega.BeTrue(), "running streams are still served")
	g.Expect(state.View().IsAvailable("e-a")).To(gomega.BeFalse())

	// A full read without the zone ends its drain.
	state.ApplySnapshot(now, zonedSnapshot(6))
	g.Expect(serving(state)).To(gomega.Equal([]string{"e-a", "e-b"}))

	// A late update with the former drain changes nothing; a new drain does.
	state.ApplyUpdate(now, "peer", fleet.Update{
		BaseRevision: 6,
		ListRevision: 7,
		Zones:        []routing.ZoneDrain{drainedZone("a", 3)},
	})
	g.Expect(serving(state)).To(gomega.HaveLen(2))
	state.ApplyUpdate(now, "peer", fleet.Update{
		BaseRevision: 7,
		ListRevision: 9,
		Zones:        []routing.ZoneDrain{drainedZone("a", 9)},
	})
	g.Expect(serving(state)).To(gomega.Equal([]string{"e-b"}))

	// An endpoint that joins a drained zone gets no requests either.
	e := endpoint("e-new", 10, false)
	e.Zone = "a"
	state.ApplyChanges(now, &fleet.Changes{
		Revision: 10,
		Updated:  []routing.Endpoint{e},
	})
	g.Expect(serving(state)).To(gomega.Equal([]string{"e-b"}))
}

func TestZoneUpdateAfterAMissedUpdateDoesNotAdvanceTheListRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	state := fleet.NewState()
	state.ApplySnapshot(now, zonedSnapshot(5))
	state.ApplyUpdate(now, "peer", fleet.Update{
		BaseRevision: 8,
		ListRevision: 9,
		Zones:        []routing.ZoneDrain{drainedZone("a", 9)},
	})
	g.Expect(serving(state)).To(gomega.Equal([]string{"e-b"}))
	g.Expect(state.View().ListRevision).To(gomega.BeEquivalentTo(1), "the missed changes must be fetched")
}

// Zone changes arrive by updates, by fetched state that may be older, and from the store. In any
// order, all boxes must end with the newest.
func TestZoneStatesConvergeInAnyOrderOfUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []routing.ZoneDrain
		newest := make(map[string]bool)
		for revision := routing.Revision(10); revision < 20; revision++ {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			z := undrainedZone(zone, revision)
			z.Drained = rapid.Bool().Draw(t, "drained")
			all = append(all, z)
			newest[zone] = z.Drained
		}
		state := fleet.NewState()
		state.ApplySnapshot(time.Now(), zonedSnapshot(5))
		for i, z := range rapid.Permutation(all).Draw(t, "order") {
			if i%2 == 0 {
				state.ApplyUpdate(time.Now(), "peer", fleet.Update{
					BaseRevision: 100,
					ListRevision: 101,
					Zones:        []routing.ZoneDrain{z},
				})
				continue
			}
			state.ApplyPeerState(time.Now(), "peer", fleet.PeerState{
				ListRevision: z.Revision,
				Partial:      true,
				Zones:        []routing.ZoneDrain{z},
			})
		}
		for zone, drained := range newest {
			if state.View().Drained(zone) != drained {
				t.Fatalf("zone %s: drained is %v, want %v", zone, state.View().Drained(zone), drained)
			}
		}
	})
}
