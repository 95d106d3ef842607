package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// startSingleGroup starts boxes in two zones that form one group, since there are few engines.
func startSingleGroup(t *testing.T, boxes int) *testFleet {
	f := startFleet(t, boxes, 10*smallLinkBytesPerSecond)
	for _, state := range f.states {
		state.ApplySnapshot(time.Now(), engineSnapshot(20))
	}
	time.Sleep(discoveryTime)
	return f
}

func (f *testFleet) receivedPlacements() []int64 {
	var out []int64
	for _, n := range f.placements {
		out = append(out, n.Load())
	}
	return out
}

// Boxes need the placements of all zones, or they overload engines in other zones. In a large
// group they are relayed, so that each box must get each placement exactly once.
func TestEachBoxOfALargeGroupReceivesEachPlacementOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const boxes = 36
		f := startSingleGroup(t, boxes)
		for i, p := range f.peers {
			g.Expect(p.Group().Members).To(gomega.HaveLen(boxes-1), "box %d", i)
		}
		for sender := range 3 {
			f.peers[sender].BroadcastPlacement(fleet.Placement{
				Endpoint: "e-00",
				Tokens:   100,
			})
			time.Sleep(100 * time.Millisecond)
			for i, n := range f.receivedPlacements() {
				expected := sender + 1
				if i <= sender {
					expected = sender // a box doesn't receive its own
				}
				g.Expect(n).To(gomega.BeEquivalentTo(expected), "box %d", i)
			}
		}
	})
}

// In a large group each box forwards an update to a few others only; it must still reach all.
func TestUpdateReachesAllBoxesOfALargeGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startSingleGroup(t, 36)
		e := endpoint("e-new", 9, false)
		update, changed := f.states[7].ApplyChanges(time.Now(), &fleet.Changes{
			Revision: 9,
			Updated:  []routing.Endpoint{e},
		})
		g.Expect(changed).To(gomega.BeTrue())
		f.peers[7].BroadcastUpdate(update)
		time.Sleep(50 * time.Millisecond)
		for i, state := range f.states {
			_, known := state.View().Endpoint("e-new")
			g.Expect(known).To(gomega.BeTrue(), "box %d", i)
		}
	})
}
