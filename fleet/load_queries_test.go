package fleet_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// queriedFleet is a fleet whose boxes query engines, with the engines that each box has heard of.
type queriedFleet struct {
	*testFleet
	reporter *countingReporter
	mu       sync.Mutex
	known    []map[string]bool // by box: engines of which it has a load report
}

// startQueriedFleet starts boxes that query idle engines and confirm the list as the store's
// readers would. It waits until the boxes know each other.
func startQueriedFleet(t *testing.T, boxes, engines int) *queriedFleet {
	q := &queriedFleet{reporter: &countingReporter{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var all []*fleet.LoadReports
	q.testFleet = launchFleet(t, boxes, 20*smallLinkBytesPerSecond, func(state *fleet.State) *fleet.LoadReports {
		state.ApplySnapshot(time.Now(), engineSnapshot(engines))
		known := make(map[string]bool)
		q.known = append(q.known, known)
		r := fleet.NewLoadReports(q.reporter, state, zap.NewNop(), func(_ time.Time, report routing.Report) {
			q.mu.Lock()
			defer q.mu.Unlock()
			known[report.Endpoint] = true
		})
		all = append(all, r)
		return r
	})
	for _, r := range all {
		go r.Run(ctx)
	}
	go confirmLists(ctx, q.states)
	time.Sleep(discoveryTime)
	return q
}

// confirmLists confirms the boxes' lists several times a second.
func confirmLists(ctx context.Context, states []*fleet.State) {
	for ctx.Err() == nil {
		for _, s := range states {
			s.Confirm(time.Now(), s.View().ListRevision, 0)
		}
		fleet.Sleep(ctx, 100*time.Millisecond)
	}
}

// queriesIn returns the number of queries in a time.
func (q *queriedFleet) queriesIn(d time.Duration) float64 {
	before := q.reporter.queries.Load()
	time.Sleep(d)
	return float64(q.reporter.queries.Load() - before)
}

// Guards against load queries that grow with the number of engines: most engines of a large fleet
// are idle, and querying them like busy ones costs more than the requests do.
func TestIdleEnginesAreQueriedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		for _, engines := range []int{48, 96} {
			q := startQueriedFleet(t, 24, engines)
			g.Expect(q.queriesIn(8*time.Second) / 8).To(gomega.BeNumerically("<=", 0.06*float64(engines)))
		}
	})
}

// Guards against load reports that are old when they matter: an engine that gets a prompt is
// queried at the full rate until it is idle again.
func TestEngineInUseIsQueriedTwiceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const engine = "e-07"
		q := startQueriedFleet(t, 24, 48)
		g.Expect(q.queriesWhileUsed(8*time.Second, engine)).To(gomega.BeNumerically("~", 16, 2))
		time.Sleep(4 * time.Second)
		before := q.reporter.queriesOf(engine)
		time.Sleep(8 * time.Second)
		g.Expect(q.reporter.queriesOf(engine)-before).To(gomega.BeNumerically("<=", 1), "idle again")
	})
}

// queriesWhileUsed returns the number of queries of an engine in a time in which one box places a
// prompt there each second.
func (q *queriedFleet) queriesWhileUsed(d time.Duration, engine string) int {
	before := q.reporter.queriesOf(engine)
	for range d / time.Second {
		q.peers[3].BroadcastPlacement(fleet.Placement{
			Endpoint: engine,
			Tokens:   1000,
		})
		time.Sleep(time.Second)
	}
	return q.reporter.queriesOf(engine) - before
}

// Guards against gossip that grows with the number of engines: reports of idle engines tell other
// boxes nothing.
func TestReportsOfIdleEnginesAreNotGossiped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const engines = 48
		q := startQueriedFleet(t, 24, engines)
		q.forgetReports()
		q.queriesIn(90 * time.Second)
		g.Expect(q.knownReports()).To(gomega.Equal(engines), "each engine's report at the box that queries it")
	})
}

// forgetReports drops what is known of the boxes' reports.
func (q *queriedFleet) forgetReports() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, engines := range q.known {
		clear(engines)
	}
}

// knownReports returns the number of engines of which the boxes got reports, summed over all boxes.
func (q *queriedFleet) knownReports() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, engines := range q.known {
		n += len(engines)
	}
	return n
}
