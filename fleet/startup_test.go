package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// countingReporter counts load queries and reports engines that run the given number of requests.
type countingReporter struct {
	queries atomic.Int64
	running int

	mu       sync.Mutex
	byEngine map[string]int // queries, by endpoint ID
}

func (r *countingReporter) Report(_ context.Context, e routing.Endpoint) (routing.Report, error) {
	r.queries.Add(1)
	r.mu.Lock()
	if r.byEngine == nil {
		r.byEngine = make(map[string]int)
	}
	r.byEngine[e.ID]++
	r.mu.Unlock()
	return routing.Report{
		Endpoint: e.ID,
		Running:  r.running,
		Total:    30000,
	}, nil
}

func (r *countingReporter) queriesOf(engine string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byEngine[engine]
}

// engineSnapshot returns a configuration with one engine service and a list of engines in the
// zones of startFleet's boxes.
func engineSnapshot(engines int) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Revision: 2,
		Document: &routing.Document{
			Version: 2,
			Services: []routing.Service{{
				Name:   "s",
				Engine: &routing.Engine{Slots: 8},
			}},
		},
	}
	for i := range engines {
		e := endpoint(fmt.Sprintf("e-%02d", i), 2, false)
		e.Zone = fmt.Sprintf("zone-%d", i%2)
		s.Endpoints = append(s.Endpoints, e)
	}
	return s
}

// A starting box that knows no peers yet must not conclude that it has to query all engines, or
// boxes that start together overload them.
func TestBoxesThatStartTogetherQueryEachEngineOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const engines = 24
		reporter := &countingReporter{running: 1}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*fleet.LoadReports
		launchFleet(t, 72, 20*smallLinkBytesPerSecond, func(state *fleet.State) *fleet.LoadReports {
			state.ApplySnapshot(time.Now(), engineSnapshot(engines))
			r := fleet.NewLoadReports(reporter, state, zap.NewNop(), func(time.Time, routing.Report) {})
			all = append(all, r)
			return r
		})
		for _, r := range all {
			go r.Run(ctx)
		}
		const observationTime = 8 * time.Second
		expectedQueries := 5 * engines * observationTime.Seconds()
		time.Sleep(observationTime)
		g.Expect(reporter.queries.Load()).To(gomega.BeNumerically("<", expectedQueries))
		before := reporter.queries.Load()
		time.Sleep(observationTime)
		g.Expect(reporter.queries.Load()-before).To(gomega.BeNumerically("~", expectedQueries, expectedQueries/10), "in steady state")
		cancel()
		time.Sleep(time.Second)
	})
}

// Boxes whose seed starts last know no peers for seconds. They must not conclude that they are
// alone and query every engine.
func TestBoxesThatWaitForTheirSeedQueryNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const engines, boxes = 24, 12
		reporter := &countingReporter{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*fleet.LoadReports
		f := launchFleet(t, 0, 20*smallLinkBytesPerSecond, func(state *fleet.State) *fleet.LoadReports {
			state.ApplySnapshot(time.Now(), engineSnapshot(engines))
			r := fleet.NewLoadReports(reporter, state, zap.NewNop(), func(time.Time, routing.Report) {})
			all = append(all, r)
			return r
		})
		for box := 1; box < boxes; box++ {
			f.start(box)
			go all[box-1].Run(ctx)
		}
		time.Sleep(3 * time.Second)
		g.Expect(reporter.queries.Load()).To(gomega.BeZero())
		f.start(0)
		go all[boxes-1].Run(ctx)
		time.Sleep(3 * time.Second)
		g.Expect(reporter.queries.Load()).To(gomega.BeNumerically(">", 0))
		cancel()
		time.Sleep(time.Second)
	})
}
