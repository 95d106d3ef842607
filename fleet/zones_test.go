package fleet_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// zoned gives a snapshot with an endpoint in each of two zones.
func zoned(revision routing.Revision, drained ...routing.ZoneDrain) *fleet.Snapshot {
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

func drain(zone string, revision routing.Revision) routing.ZoneDrain {
	return routing.ZoneDrain{
		Zone:     zone,
		Drained:  true,
		Revision: revision,
	}
}

func back(zone string, revision routing.Revision) routing.ZoneDrain {
	return routing.ZoneDrain{
		Zone:     zone,
		Revision: revision,
	}
}

func TestADrainedZoneServesNothingUntilItIsTakenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := fleet.NewState()
	b.ApplySnapshot(now, zoned(5, drain("a", 3)))
	g.Expect(serving(b)).To(gomega.Equal([]string{"e-b"}))
	_, known := b.View().Endpoint("e-a")
	g.Expect(known).To(gomega.BeTrue(), "its streams are still served")
	g.Expect(b.View().IsAvailable("e-a")).To(gomega.BeFalse())

	// A reading of everything that doesn't name it any more takes it back.
	b.ApplySnapshot(now, zoned(6))
	g.Expect(serving(b)).To(gomega.Equal([]string{"e-a", "e-b"}))

	// Late word of the former drain changes nothing; a new one does.
	b.ApplyUpdate(now, "peer", fleet.Update{
		BaseRevision: 6,
		ListRevision: 7,
		Zones:        []routing.ZoneDrain{drain("a", 3)},
	})
	g.Expect(serving(b)).To(gomega.HaveLen(2))
	b.ApplyUpdate(now, "peer", fleet.Update{
		BaseRevision: 7,
		ListRevision: 9,
		Zones:        []routing.ZoneDrain{drain("a", 9)},
	})
	g.Expect(serving(b)).To(gomega.Equal([]string{"e-b"}))

	// A server that joins there meanwhile serves nothing either.
	e := endpoint("e-new", 10, false)
	e.Zone = "a"
	b.ApplyChanges(now, &fleet.Changes{
		Revision: 10,
		Updated:  []routing.Endpoint{e},
	})
	g.Expect(serving(b)).To(gomega.Equal([]string{"e-b"}))
}

func TestNewsOfAZoneWithAGapBeforeThemDontCloseTheGap(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := fleet.NewState()
	b.ApplySnapshot(now, zoned(5))
	b.ApplyUpdate(now, "peer", fleet.Update{
		BaseRevision: 8,
		ListRevision: 9,
		Zones:        []routing.ZoneDrain{drain("a", 9)},
	})
	g.Expect(serving(b)).To(gomega.Equal([]string{"e-b"}))
	g.Expect(b.View().ListRevision).To(gomega.BeEquivalentTo(1), "what lies between is asked for")
}

// Boxes hear of a zone's changes by news, by views of peers that may be older, and from
// the store; whatever the order, all end with the newest.
func TestBoxesAgreeOnZonesWhateverTheyHearFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []routing.ZoneDrain
		newest := make(map[string]bool)
		for revision := routing.Revision(10); revision < 20; revision++ {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			z := back(zone, revision)
			z.Drained = rapid.Bool().Draw(t, "drained")
			all = append(all, z)
			newest[zone] = z.Drained
		}
		b := fleet.NewState()
		b.ApplySnapshot(time.Now(), zoned(5))
		for i, z := range rapid.Permutation(all).Draw(t, "order") {
			if i%2 == 0 {
				b.ApplyUpdate(time.Now(), "peer", fleet.Update{
					BaseRevision: 100,
					ListRevision: 101,
					Zones:        []routing.ZoneDrain{z},
				})
				continue
			}
			b.ApplyPeerState(time.Now(), "peer", fleet.PeerState{
				ListRevision: z.Revision,
				Partial:      true,
				Zones:        []routing.ZoneDrain{z},
			})
		}
		for zone, drained := range newest {
			if b.View().Drained(zone) != drained {
				t.Fatalf("zone %s: drained is %v, want %v", zone, b.View().Drained(zone), drained)
			}
		}
	})
}
