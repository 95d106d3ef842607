package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/fleet"
)

// startingFleet is a fleet whose boxes have no state and read a store.
type startingFleet struct {
	*testFleet
	store *fakeStore
	watch func(box int)
}

// newStartingFleet returns a fleet without boxes and a store with endpoints. Each box has the
// first one as its seed.
func newStartingFleet(t *testing.T, endpoints int, limit time.Duration) *startingFleet {
	f := &startingFleet{
		testFleet: launchFleetWith(t, 0, 20*smallLinkBytesPerSecond, func(*fleet.State) *fleet.LoadReports { return nil }),
		store:     newFakeStore(),
	}
	for i := range endpoints {
		f.store.put(fmt.Sprintf("e-%04d", i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f.watch = func(box int) {
		w := fleet.NewStoreWatcher(f.store, f.states[box], limit,
			fleet.WithReaderRank(f.peers[box].ReaderRank),
			fleet.WithStartupPeers(f.peers[box], false),
			fleet.WithOnUpdate(f.peers[box].BroadcastUpdate),
		)
		go w.Run(ctx)
	}
	return f
}

// startBoxes starts the boxes of a range at the same moment.
func (f *startingFleet) startBoxes(from, to int) {
	for i := from; i < to; i++ {
		f.start(i)
		f.watch(len(f.states) - 1)
	}
}

// servingBoxes returns how many boxes have a configuration and all endpoints.
func (f *startingFleet) servingBoxes(endpoints int) int {
	n := 0
	for _, s := range f.states {
		if v := s.View(); v.Table != nil && len(serving(s)) == endpoints {
			n++
		}
	}
	return n
}

// Guards against a store that limits how fast a large fleet returns: if all boxes start at once,
// few read the whole list, and the others get it from them.
func TestBoxesThatStartTogetherRarelyReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const endpoints = 600
		for _, boxes := range []int{48, 96} {
			f := newStartingFleet(t, endpoints, propagationLimit)
			f.startBoxes(0, boxes)
			time.Sleep(3 * time.Second)
			g.Expect(f.servingBoxes(endpoints)).To(gomega.Equal(boxes))
			reads, _ := f.store.callCounts()
			g.Expect(reads).To(gomega.BeNumerically("<=", 10), "reads by %d boxes", boxes)
		}
	})
}

// Guards against store reads at each restart: a box that starts among others gets its state from
// them.
func TestBoxThatRestartsDoesNotReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const endpoints, boxes = 600, 24
		f := newStartingFleet(t, endpoints, propagationLimit)
		f.startBoxes(0, boxes)
		time.Sleep(discoveryTime)
		before, _ := f.store.callCounts()
		f.startBoxes(boxes, boxes+1)
		time.Sleep(700 * time.Millisecond)
		g.Expect(f.servingBoxes(endpoints)).To(gomega.Equal(boxes + 1))
		after, _ := f.store.callCounts()
		g.Expect(after).To(gomega.Equal(before))
	})
}

// Guards against a fleet that waits for seeds that are down: its boxes read the store themselves.
func TestBoxesWithoutTheirSeedReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const endpoints, boxes = 600, 12
		f := newStartingFleet(t, endpoints, propagationLimit)
		f.startBoxes(1, boxes)
		time.Sleep(3 * time.Second)
		g.Expect(f.servingBoxes(endpoints)).To(gomega.Equal(boxes - 1))
	})
}
