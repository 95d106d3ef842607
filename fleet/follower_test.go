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

// source is a store in memory with faults; it waits in virtual time.
type source struct {
	mu       sync.Mutex
	revision routing.Revision
	all      map[string]routing.Endpoint
	version  uint64
	fault    error
	lost     bool
	much     bool // a watch brings too much
	reads    int
	watches  int
}

func newSource() *source {
	return &source{
		all:     make(map[string]routing.Endpoint),
		version: 1,
	}
}

func (s *source) put(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.all[id] = endpoint(id, s.revision, false)
}

func (s *source) set(fault error, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.lost = lost
}

// calls gives how often the source was read and watched.
func (s *source) calls() (reads, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.watches
}

func (s *source) Read(context.Context) (*fleet.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.fault != nil {
		return nil, s.fault
	}
	s.lost = false
	out := &fleet.Snapshot{
		Revision: s.revision,
		Document: document(s.version),
	}
	for _, e := range s.all {
		out.Endpoints = append(out.Endpoints, e)
	}
	return out, nil
}

func (s *source) Watch(ctx context.Context, after routing.Revision, wait time.Duration) (*fleet.Changes, error) {
	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		if c, err := s.since(after); c != nil || err != nil {
			return c, err
		}
		if waited >= wait || ctx.Err() != nil {
			return &fleet.Changes{Revision: after}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *source) since(after routing.Revision) (*fleet.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	if s.fault != nil {
		return nil, s.fault
	}
	if s.lost {
		return nil, fleet.ErrHistoryLost
	}
	if s.much && after < s.revision {
		return nil, fleet.ErrChangesTooLarge
	}
	c := &fleet.Changes{Revision: s.revision}
	for _, e := range s.all {
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
	within = 2 * time.Second
	// standbyRank is a box's that reads first when nothing comes from the readers, and
	// otherRank one's that doesn't.
	standbyRank = 7
	otherRank   = 100
)

// follow plays a follower in virtual time.
func follow(t *testing.T, play func(g *gomega.WithT, s *source, b *fleet.State), options ...fleet.StoreWatcherOption) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSource()
		b := fleet.NewState()
		f := fleet.NewStoreWatcher(s, b, within, options...)
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		s.put("a")
		time.Sleep(time.Second)
		play(gomega.NewWithT(t), s, b)
		cancel()
		<-done
	})
}

func TestReaderSeesChangesWithinTheBound(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, b *fleet.State) {
		s.put("b")
		time.Sleep(within / 2)
		g.Expect(serving(b)).To(gomega.Equal([]string{"a", "b"}))
	})
}

func TestReaderReadsAnewWhenHistoryIsLost(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, b *fleet.State) {
		s.set(nil, true)
		s.put("b")
		time.Sleep(within)
		g.Expect(serving(b)).To(gomega.Equal([]string{"a", "b"}))
	})
}

// A watch that brings too much is not made again from the same revision: it would
// bring still more.
func TestReaderReadsAnewWhenTheChangesAreTooMuch(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, b *fleet.State) {
		s.mu.Lock()
		s.much = true
		s.mu.Unlock()
		s.put("b")
		time.Sleep(within / 2)
		g.Expect(serving(b)).To(gomega.Equal([]string{"a", "b"}))
		g.Expect(b.IsStoreDown()).To(gomega.BeFalse(), "the store is well")
	})
}

func TestReaderCatchesUpAfterAnOutage(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, b *fleet.State) {
		s.set(errors.New("away"), false)
		s.put("b")
		time.Sleep(30 * time.Second)
		g.Expect(b.IsStoreDown()).To(gomega.BeTrue())
		g.Expect(serving(b)).To(gomega.Equal([]string{"a"}))
		s.set(nil, false)
		time.Sleep(within)
		g.Expect(b.IsStoreDown()).To(gomega.BeFalse())
		g.Expect(serving(b)).To(gomega.Equal([]string{"a", "b"}))
	})
}

func TestOutageIsNotHammered(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, _ *fleet.State) {
		s.set(errors.New("away"), false)
		readsBefore, watchesBefore := s.calls()
		time.Sleep(time.Minute)
		reads, watches := s.calls()
		g.Expect(reads - readsBefore + watches - watchesBefore).To(gomega.BeNumerically("<", 150))
	})
}

func TestOtherBoxesReadOnlyWhenNothingComes(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, b *fleet.State) {
		before, _ := s.calls()
		for range 20 {
			b.Confirm(time.Now(), b.View().ListRevision, 0)
			time.Sleep(500 * time.Millisecond)
		}
		reads, _ := s.calls()
		g.Expect(reads).To(gomega.Equal(before))
		s.put("b")
		time.Sleep(within)
		g.Expect(serving(b)).To(gomega.Equal([]string{"a", "b"}), "the readers are gone, so that it reads itself")
	}, fleet.WithReaderRank(func() int { return otherRank }))
}

// A box that had heard of a newer configuration and got it from nobody kept waiting, as
// long as other boxes' word said that its list was whole.
func TestOtherBoxesReadAConfigurationThatNobodyGivesThem(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, b *fleet.State) {
		s.mu.Lock()
		s.version = 9
		s.mu.Unlock()
		b.NoteConfigVersion(time.Now(), 9)
		for range 10 {
			b.Confirm(time.Now(), b.View().ListRevision, 0)
			time.Sleep(within / 10)
		}
		g.Expect(b.View().ConfigVersion()).To(gomega.BeEquivalentTo(9))
	}, fleet.WithReaderRank(func() int { return otherRank }))
}

// A store that dropped its history, and answered no watch for a second before, made the
// list of all 295 boxes older than the readers' patience at once.
func TestOnlyStandbysReadFirstWhenNothingComesFromTheReaders(t *testing.T) {
	// readsAt gives when a box that hears nothing reads the store for the second time.
	readsAt := func(rank int) time.Duration {
		var at time.Duration
		follow(t, func(g *gomega.WithT, s *source, _ *fleet.State) {
			// It read at its start, a second ago.
			for at = time.Second; at < within; at += 10 * time.Millisecond {
				if reads, _ := s.calls(); reads > 1 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(at).To(gomega.BeNumerically("<", within), "it reads in the end")
		}, fleet.WithReaderRank(func() int { return rank }))
		return at
	}
	first, others := readsAt(standbyRank), readsAt(otherRank)
	g := gomega.NewWithT(t)
	g.Expect(first).To(gomega.BeNumerically("~", within*6/10, within/10))
	g.Expect(others).To(gomega.BeNumerically("~", within*3/4, within/10))
	g.Expect(others - first).To(gomega.BeNumerically(">=", within/10))
}

// While engines leave and join all the time, five readers each asked the store for the
// next changes every 150 ms, together: a change ends all their watches at once. Five
// readers and a change each 20 ms for three seconds: 102 watches when all rest alike, 52
// when each rests longer than the one before, and the changes known as soon.
func TestReadersRestInTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newSource()
		var beliefs []*fleet.State
		var all sync.WaitGroup
		for rank := range 5 {
			b := fleet.NewState()
			beliefs = append(beliefs, b)
			f := fleet.NewStoreWatcher(s, b, within, fleet.WithReaderRank(func() int { return rank }))
			all.Go(func() { f.Run(ctx) })
		}
		time.Sleep(time.Second)
		_, before := s.calls()
		for i := range 150 {
			s.put(fmt.Sprintf("e-%03d", i))
			time.Sleep(20 * time.Millisecond)
			newest := 0
			for _, b := range beliefs {
				newest = max(newest, len(serving(b)))
			}
			g.Expect(newest).To(gomega.BeNumerically(">=", i-8), "known within 0.17 s by the first")
		}
		_, after := s.calls()
		g.Expect(after - before).To(gomega.BeNumerically("<", 60))
		cancel()
		all.Wait()
	})
}

// Each of 295 boxes that started at once took itself for a reader and watched the store
// for a second, until it knew the others.
func TestStartingBoxThatMeetsOthersDoesNotWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newSource()
		begun := time.Now()
		f := fleet.NewStoreWatcher(s, fleet.NewState(), within, fleet.WithReaderRank(func() int {
			if time.Since(begun) < 300*time.Millisecond {
				return 0
			}
			return otherRank
		}))
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(time.Second)
		reads, watches := s.calls()
		g.Expect(reads).To(gomega.Equal(1))
		g.Expect(watches).To(gomega.BeZero())
		cancel()
		<-done
	})
}

// While the store was silent for eight and six seconds, 295 boxes went on asking it some
// seconds each.
func TestOtherBoxesAskAStoreThatIsAwaySeldom(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, b *fleet.State) {
		s.set(errors.New("away"), false)
		before, _ := s.calls()
		time.Sleep(12 * time.Second)
		reads, _ := s.calls()
		g.Expect(reads - before).To(gomega.BeNumerically("<=", 6))
		s.set(nil, false)
		s.put("b")
		time.Sleep(4 * time.Second)
		g.Expect(serving(b)).To(gomega.Equal([]string{"a", "b"}))
	}, fleet.WithReaderRank(func() int { return otherRank }))
}
