package fleet_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// countingReporter counts the questions to engines, which all are empty.
type countingReporter struct{ asked atomic.Int64 }

func (r *countingReporter) Report(_ context.Context, e routing.Endpoint) (routing.Report, error) {
	r.asked.Add(1)
	return routing.Report{
		Endpoint: e.ID,
		Total:    30000,
	}, nil
}

// engineList gives a configuration with one service of engines and a list of them, in
// the zones of startFleet's boxes.
func engineList(engines int) *fleet.Snapshot {
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

// After all of 295 boxes had lost power and started again, each asked up to 130 engines
// for their load until it had met the others, on a connection of its own each: a box that
// knows nobody yet takes itself for the one that asks all. With 72 boxes and 24 engines in
// virtual time: 2,658 questions in the first eight seconds without the wait for the others,
// 776 with it; five a second and engine, as of a list that nobody confirms, are 960.
func TestBoxesThatStartTogetherAskEachEngineOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const engines = 24
		reporter := &countingReporter{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*fleet.LoadReports
		beginFleet(t, 72, 20*smallLink, func(b *fleet.State) *fleet.LoadReports {
			b.ApplySnapshot(time.Now(), engineList(engines))
			r := fleet.NewLoadReports(reporter, b, zap.NewNop(), func(time.Time, routing.Report) {})
			all = append(all, r)
			return r
		})
		for _, r := range all {
			go r.Run(ctx)
		}
		const looked = 8 * time.Second
		usual := 5 * engines * looked.Seconds()
		time.Sleep(looked)
		g.Expect(reporter.asked.Load()).To(gomega.BeNumerically("<", usual))
		before := reporter.asked.Load()
		time.Sleep(looked)
		g.Expect(reporter.asked.Load()-before).To(gomega.BeNumerically("~", usual, usual/10), "in calm times")
		cancel()
		time.Sleep(time.Second)
	})
}

// Boxes whose seeds come up last know nobody for seconds, and took themselves for alone
// after the first: each asked every engine for its load.
func TestBoxesThatWaitForTheirSeedAskNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const engines, boxes = 24, 12
		reporter := &countingReporter{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*fleet.LoadReports
		f := beginFleet(t, 0, 20*smallLink, func(b *fleet.State) *fleet.LoadReports {
			b.ApplySnapshot(time.Now(), engineList(engines))
			r := fleet.NewLoadReports(reporter, b, zap.NewNop(), func(time.Time, routing.Report) {})
			all = append(all, r)
			return r
		})
		for box := 1; box < boxes; box++ {
			f.start(box)
			go all[box-1].Run(ctx)
		}
		time.Sleep(3 * time.Second)
		g.Expect(reporter.asked.Load()).To(gomega.BeZero())
		f.start(0)
		go all[boxes-1].Run(ctx)
		time.Sleep(3 * time.Second)
		g.Expect(reporter.asked.Load()).To(gomega.BeNumerically(">", 0))
		cancel()
		time.Sleep(time.Second)
	})
}
