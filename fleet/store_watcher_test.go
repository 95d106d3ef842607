package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// fakeStore is an in-memory store with injectable faults; its watches wait in virtual time.
type fakeStore struct {
	mu              sync.Mutex
	revision        routing.Revision
	endpoints       map[string]routing.Endpoint
	version         uint64
	fault           error
	historyLost     bool
	changesTooLarge bool // watches return ErrChangesTooLarge
	reads           int  // of everything or of the configuration
	fullReads       int
	watches         int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		endpoints: make(map[string]routing.Endpoint),
		version:   1,
	}
}

func (s *fakeStore) put(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.endpoints[id] = endpoint(id, s.revision, false)
}

func (s *fakeStore) setFault(fault error, historyLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.historyLost = historyLost
}

// callCounts returns the numbers of reads and watches.
func (s *fakeStore) callCounts() (reads, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.watches
}

func (s *fakeStore) Read(context.Context) (*fleet.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.fullReads++
	if s.fault != nil {
		return nil, s.fault
	}
	s.historyLost = false
	out := &fleet.Snapshot{
		Revision: s.revision,
		Document: document(s.version),
	}
	for _, e := range s.endpoints {
		out.Endpoints = append(out.Endpoints, e)
	}
	return out, nil
}

func (s *fakeStore) ReadDocument(context.Context) (*routing.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.fault != nil {
		return nil, s.fault
	}
	return document(s.version), nil
}

func (s *fakeStore) Watch(ctx context.Context, after routing.Revision, wait time.Duration) (*fleet.Changes, error) {
	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		if c, err := s.changesSince(after); c != nil || err != nil {
			return c, err
		}
		if waited >= wait || ctx.Err() != nil {
			return &fleet.Changes{Revision: after}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *fakeStore) changesSince(after routing.Revision) (*fleet.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	if s.fault != nil {
		return nil, s.fault
	}
	if s.historyLost {
		return nil, fleet.ErrHistoryLost
	}
	if s.changesTooLarge && after < s.revision {
		return nil, fleet.ErrChangesTooLarge
	}
	c := &fleet.Changes{Revision: s.revision}
	for _, e := range s.endpoints {
		if e.Revision > after {
			c.Updated = append(c.Updated, e)
		}
	}
	if len(c.Updated) == 0 {
		return nil, nil
	}
	return c, nil
}

const (
	propagationBound = 2 * time.Second
	// standbyRank is the rank of a standby, otherRank that of a box that is neither reader
	// nor standby.
	standbyRank = 7
	otherRank   = 100
)

// runStoreWatcher runs a scenario with a StoreWatcher in virtual time.
func runStoreWatcher(t *testing.T, scenario func(g *gomega.WithT, s *fakeStore, state *fleet.State), options ...fleet.StoreWatcherOption) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeStore()
		state := fleet.NewState()
		w := fleet.NewStoreWatcher(s, state, propagationBound, options...)
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		s.put("a")
		time.Sleep(time.Second)
		scenario(gomega.NewWithT(t), s, state)
		cancel()
		<-done
	})
}

func TestReaderAppliesChangesWithinTheBound(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.put("b")
		time.Sleep(propagationBound / 2)
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}))
	})
}

func TestReaderReadsEverythingWhenHistoryIsLost(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.setFault(nil, true)
		s.put("b")
		time.Sleep(propagationBound)
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}))
	})
}

// A watch with too many changes must not be retried from the same revision, since it would
// return even more.
func TestReaderReadsEverythingWhenChangesAreTooLarge(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.mu.Lock()
		s.changesTooLarge = true
		s.mu.Unlock()
		s.put("b")
		time.Sleep(propagationBound / 2)
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}))
		g.Expect(state.IsStoreDown()).To(gomega.BeFalse(), "the store answers")
	})
}

func TestReaderCatchesUpAfterAnOutage(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.setFault(errors.New("store down"), false)
		s.put("b")
		time.Sleep(30 * time.Second)
		g.Expect(state.IsStoreDown()).To(gomega.BeTrue())
		g.Expect(serving(state)).To(gomega.Equal([]string{"a"}))
		s.setFault(nil, false)
		time.Sleep(propagationBound)
		g.Expect(state.IsStoreDown()).To(gomega.BeFalse())
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}))
	})
}

func TestRetriesDuringAnOutageAreBounded(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, _ *fleet.State) {
		s.setFault(errors.New("store down"), false)
		readsBefore, watchesBefore := s.callCounts()
		time.Sleep(time.Minute)
		reads, watches := s.callCounts()
		g.Expect(reads - readsBefore + watches - watchesBefore).To(gomega.BeNumerically("<", 150))
	})
}

func TestOtherBoxesReadOnlyWithoutUpdates(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		before, _ := s.callCounts()
		for range 20 {
			state.Confirm(time.Now(), state.View().ListRevision, 0)
			time.Sleep(500 * time.Millisecond)
		}
		reads, _ := s.callCounts()
		g.Expect(reads).To(gomega.Equal(before))
		s.put("b")
		time.Sleep(propagationBound)
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}), "without readers it reads the store itself")
	}, fleet.WithReaderRank(func() int { return otherRank }))
}

// A box that can't fetch an announced configuration must read it from the store, even while peers
// confirm its list.
func TestOtherBoxesReadAConfigurationThatNoPeerDelivers(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.mu.Lock()
		s.version = 9
		s.mu.Unlock()
		state.NoteConfigVersion(time.Now(), 9)
		for range 10 {
			state.Confirm(time.Now(), state.View().ListRevision, 0)
			time.Sleep(propagationBound / 10)
		}
		g.Expect(state.View().ConfigVersion()).To(gomega.BeEquivalentTo(9))
	}, fleet.WithReaderRank(func() int { return otherRank }))
}

// When the readers fail, all other boxes' lists become stale at the same time. Only the standbys
// may read the store at first.
func TestStandbysReadBeforeOtherBoxesWithoutUpdates(t *testing.T) {
	// readsAt returns when a box without updates reads the store for the second time.
	readsAt := func(rank int) time.Duration {
		var at time.Duration
		runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, _ *fleet.State) {
			// The first read was at its start, a second ago.
			for at = time.Second; at < propagationBound; at += 10 * time.Millisecond {
				if reads, _ := s.callCounts(); reads > 1 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(at).To(gomega.BeNumerically("<", propagationBound), "the box must read")
		}, fleet.WithReaderRank(func() int { return rank }))
		return at
	}
	standby, others := readsAt(standbyRank), readsAt(otherRank)
	g := gomega.NewWithT(t)
	g.Expect(standby).To(gomega.BeNumerically("~", propagationBound*6/10, propagationBound/10))
	g.Expect(others).To(gomega.BeNumerically("~", propagationBound*3/4, propagationBound/10))
	g.Expect(others - standby).To(gomega.BeNumerically(">=", propagationBound/10))
}

// A change ends the watches of all readers at once. They must pause for different times, so that
// frequent changes don't cause a watch by each reader, while the first still sees each soon.
func TestReadersPauseForDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeStore()
		var states []*fleet.State
		var watchers sync.WaitGroup
		for rank := range 5 {
			state := fleet.NewState()
			states = append(states, state)
			w := fleet.NewStoreWatcher(s, state, propagationBound, fleet.WithReaderRank(func() int { return rank }))
			watchers.Go(func() { w.Run(ctx) })
		}
		time.Sleep(time.Second)
		_, before := s.callCounts()
		for i := range 150 {
			s.put(fmt.Sprintf("e-%03d", i))
			time.Sleep(20 * time.Millisecond)
			newest := 0
			for _, state := range states {
				newest = max(newest, len(serving(state)))
			}
			g.Expect(newest).To(gomega.BeNumerically(">=", i-8), "changes must be known within 0.17 s")
		}
		_, after := s.callCounts()
		g.Expect(after - before).To(gomega.BeNumerically("<", 60))
		cancel()
		watchers.Wait()
	})
}

// A starting box must not watch the store as a reader before it had time to discover its peers.
func TestStartingBoxThatDiscoversPeersDoesNotWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeStore()
		startedAt := time.Now()
		w := fleet.NewStoreWatcher(s, fleet.NewState(), propagationBound, fleet.WithReaderRank(func() int {
			if time.Since(startedAt) < 300*time.Millisecond {
				return 0
			}
			return otherRank
		}))
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(time.Second)
		reads, watches := s.callCounts()
		g.Expect(reads).To(gomega.Equal(1))
		g.Expect(watches).To(gomega.BeZero())
		cancel()
		<-done
	})
}

// During a store outage, boxes that are neither readers nor standbys must retry rarely.
func TestOtherBoxesRarelyRetryAStoreThatIsDown(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.setFault(errors.New("store down"), false)
		before, _ := s.callCounts()
		time.Sleep(12 * time.Second)
		reads, _ := s.callCounts()
		g.Expect(reads - before).To(gomega.BeNumerically("<=", 6))
		s.setFault(nil, false)
		s.put("b")
		time.Sleep(4 * time.Second)
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}))
	}, fleet.WithReaderRank(func() int { return otherRank }))
}

// Guards against the whole list being read by all boxes when the store returns from an outage, in
// which all lists have become stale.
func TestBoxWithAListReadsOnlyWhatChanged(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.setFault(errors.New("store down"), false)
		time.Sleep(2 * propagationBound)
		s.mu.Lock()
		before := s.fullReads
		s.version = 3
		s.mu.Unlock()
		s.setFault(nil, false)
		s.put("b")
		time.Sleep(2 * propagationBound)
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}))
		g.Expect(state.View().ConfigVersion()).To(gomega.BeEquivalentTo(3))
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.fullReads).To(gomega.Equal(before))
	}, fleet.WithReaderRank(func() int { return otherRank }))
}

// Guards against changes that are lost when the store has compacted them.
func TestBoxWithAListReadsEverythingWhenHistoryIsLost(t *testing.T) {
	runStoreWatcher(t, func(g *gomega.WithT, s *fakeStore, state *fleet.State) {
		s.setFault(nil, true)
		s.put("b")
		time.Sleep(2 * propagationBound)
		g.Expect(serving(state)).To(gomega.Equal([]string{"a", "b"}))
	}, fleet.WithReaderRank(func() int { return otherRank }))
}
