package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// The boxes' part of the story that box/era_test.go tells: all boxes must end on what the
// store says in its newest era, whichever of them reads it, and in whatever order word of
// older eras comes.

func revision(era, number uint64) routing.Revision {
	r, err := routing.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

func TestAllBoxesTakeTheListOfANewEraFromTheOneThatReadIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		for _, b := range f.beliefs {
			b.ApplySnapshot(time.Now(), snapshot(revision(0, 90), endpoint("i-1", revision(0, 90), false)))
		}
		f.beliefs[4].ApplySnapshot(time.Now(), snapshot(revision(1, 70), endpoint("i-2", revision(1, 65), false)))
		time.Sleep(1500 * time.Millisecond)
		for _, b := range f.beliefs {
			g.Expect(b.View().ListRevision.Era()).To(gomega.BeEquivalentTo(1))
			g.Expect(b.View().IsAvailable("i-2")).To(gomega.BeTrue())
			g.Expect(b.View().IsAvailable("i-1")).To(gomega.BeTrue(), "what the copy lacks has its time to come back")
		}
	})
}

// A box that hears of the new era from a peer has no reader to tell it that the time of
// what the copy lacks is over.
func TestWhatACopyLacksIsGivenUpByBoxesThatHeardOfItFromOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := fleet.NewState()
	b.ApplySnapshot(now, zoned(revision(0, 10), drain("zone-b", revision(0, 9))))
	b.ApplyPeerState(now, "peer", fleet.PeerState{
		ListRevision: revision(1, 5),
		Endpoints:    []routing.Endpoint{endpoint("i-old", revision(0, 10), false), endpoint("i-new", revision(1, 5), false)},
		Zones:        []routing.ZoneDrain{drain("zone-b", revision(0, 9))},
	})
	b.DropExpired(now.Add(time.Second))
	g.Expect(b.View().IsAvailable("i-old")).To(gomega.BeTrue())
	g.Expect(b.View().Drained("zone-b")).To(gomega.BeTrue())
	b.DropExpired(now.Add(3 * time.Second))
	g.Expect(b.View().IsAvailable("i-old")).To(gomega.BeFalse())
	g.Expect(b.View().IsAvailable("i-new")).To(gomega.BeTrue())
	g.Expect(b.View().Drained("zone-b")).To(gomega.BeFalse())
}

func TestABoxThatKnowsANewerEraBelievesNothingOfAnOlderOne(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := fleet.NewState()
	b.ApplySnapshot(now, snapshot(revision(2, 5), endpoint("i-1", revision(2, 5), false)))
	before := b.View().ConfirmedAt
	later := now.Add(time.Second)
	old := endpoint("i-old", revision(1, 900), false)
	b.ApplySnapshot(later, snapshot(revision(1, 900), old))
	b.ApplyUpdate(later, "peer", fleet.Update{
		BaseRevision: revision(1, 899),
		ListRevision: revision(1, 900),
		Updated:      []routing.Endpoint{old},
		Removed:      []fleet.Removal{{Name: "i-1", Revision: revision(1, 900)}},
		Zones:        []routing.ZoneDrain{drain("zone-a", revision(1, 900))},
	})
	b.ApplyPeerState(later, "peer", fleet.PeerState{
		ListRevision: revision(1, 900),
		Endpoints:    []routing.Endpoint{old},
	})
	b.Confirm(later, revision(1, 900), 0)
	g.Expect(b.View().IsAvailable("i-old")).To(gomega.BeFalse())
	g.Expect(b.View().IsAvailable("i-1")).To(gomega.BeTrue())
	g.Expect(b.View().ConfirmedAt).To(gomega.Equal(before))
}

func TestAnEndpointIsNotColdAgainBecauseItsEntryIsReadInALaterEra(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	cold := func(era uint64) routing.Endpoint {
		e := endpoint("i-1", revision(era, 5), false)
		e.ColdFor = 5 * time.Second
		return e
	}
	b := fleet.NewState()
	b.ApplySnapshot(now, snapshot(revision(0, 5), cold(0)))
	later := now.Add(6 * time.Second)
	b.ApplySnapshot(later, snapshot(revision(1, 5), cold(1)))
	e, _ := b.View().Endpoint("i-1")
	g.Expect(e.ColdAt(later)).To(gomega.BeFalse())
}

// drawnStore is a store with eras in a few lines.
type drawnStore struct {
	era     uint64
	number  uint64
	entries map[string]routing.Endpoint
	kept    map[string]routing.Endpoint // the copy
	keptAt  uint64
}

func (s *drawnStore) next() routing.Revision {
	s.number++
	return revision(s.era, s.number)
}

// comeBack returns from the copy, whose entries are read with the new era.
func (s *drawnStore) comeBack() {
	s.era++
	s.number = s.keptAt
	s.entries = maps.Clone(s.kept)
	for name, e := range s.entries {
		e.Revision = revision(s.era, e.Revision.Number())
		s.entries[name] = e
	}
}

func (s *drawnStore) snapshot() *fleet.Snapshot {
	return snapshot(revision(s.era, s.number), slices.Collect(maps.Values(s.entries))...)
}

// give tells a box what another one has that is newer.
func give(now time.Time, from, to *fleet.State) {
	has := from.View()
	wants := to.View()
	if !has.HasEndpointList || has.ListRevision <= wants.ListRevision {
		return
	}
	v := fleet.PeerState{
		ListRevision: has.ListRevision,
		Age:          now.Sub(has.ConfirmedAt),
		Zones:        has.Zones,
	}
	if updated, removed, ok := from.ChangesSince(wants.ListRevision); ok {
		v.Partial = true
		v.Endpoints, v.Removed = updated, removed
	} else {
		for _, name := range drawnNames {
			if e, ok := has.Endpoint(name); ok {
				v.Endpoints = append(v.Endpoints, e)
			}
		}
	}
	to.ApplyPeerState(now, "peer", v)
}

var drawnNames = []string{"i-1", "i-2", "i-3", "i-4"}

func TestAllBoxesEndOnWhatTheStoreSaysInItsNewestEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		s := &drawnStore{entries: map[string]routing.Endpoint{}, kept: map[string]routing.Endpoint{}}
		boxes := []*fleet.State{fleet.NewState(), fleet.NewState(), fleet.NewState()}
		any := func(what string) *fleet.State { return boxes[rapid.IntRange(0, 2).Draw(t, what)] }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(drawnNames).Draw(t, "name")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				s.entries[name] = endpoint(name, s.next(), false)
			case 2:
				s.kept, s.keptAt = maps.Clone(s.entries), s.number
			case 3:
				s.comeBack()
			case 4, 5:
				any("reads").ApplySnapshot(now, s.snapshot())
			default:
				give(now, any("gives"), any("takes"))
			}
			for _, b := range boxes {
				b.DropExpired(now)
			}
		}
		boxes[0].ApplySnapshot(now, s.snapshot())
		for range 2 {
			give(now, boxes[0], boxes[1])
			give(now, boxes[1], boxes[2])
			now = now.Add(5 * time.Second)
			for _, b := range boxes {
				b.DropExpired(now)
			}
			// The store's next change is told as it comes.
			s.entries["i-4"] = endpoint("i-4", s.next(), false)
			boxes[0].ApplyChanges(now, &fleet.Changes{
				Revision: revision(s.era, s.number),
				Updated:  []routing.Endpoint{s.entries["i-4"]},
			})
		}
		give(now, boxes[0], boxes[1])
		give(now, boxes[1], boxes[2])
		for i, b := range boxes {
			for _, name := range drawnNames {
				_, published := s.entries[name]
				if b.View().IsAvailable(name) != published {
					t.Fatal(fmt.Sprintf("box %d sends to %s: %t, published: %t", i, name, b.View().IsAvailable(name), published))
				}
			}
			if b.View().ListRevision.Era() != s.era {
				t.Fatalf("box %d is in era %d of %d", i, b.View().ListRevision.Era(), s.era)
			}
		}
	})
}
