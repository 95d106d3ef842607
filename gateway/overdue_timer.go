package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
)

const (
	// overdueFactor is after how many times the route's usual time an answer, or a
	// stream's first event, is overdue; on a calm day one in a hundred took 2.3 to
	// 4.0 times the median, by route.
	overdueFactor = 4.0
	// minOverduePart is the least such time, as a part of the route's target: what
	// comes elsewhere within the rest of it is still in time.
	minOverduePart = 0.5
	// averageWeight is the weight of the newest time in a usual one.
	averageWeight = 0.1
)

// durationAverages are learned times, each by a name.
type durationAverages struct {
	mu  sync.Mutex
	all map[string]time.Duration
}

func newDurationAverages() durationAverages {
	return durationAverages{all: make(map[string]time.Duration)}
}

func (u *durationAverages) learn(name string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usual, known := u.all[name]
	if !known {
		u.all[name] = took
		return
	}
	u.all[name] = usual + time.Duration(averageWeight*float64(took-usual))
}

// mean gives the usual time of a name, or 0 before any was learned.
func (u *durationAverages) mean(name string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.all[name]
}

// overdueTimer waits for a send's answer to begin. An endpoint that fails part of its
// requests by silence looks well otherwise: its other streams go on, its reports
// come. A request that may run again leaves it for another one; for any, the
// endpoint gets less new work, here and in the group.
type overdueTimer struct {
	proxiedRequest    *proxiedRequest
	run               run
	endpointConn      *endpointConn
	mayRetryElsewhere bool // the request may go elsewhere
	timer             *time.Timer
}

// startOverdueTimer starts the wait for a send; a route whose usual time isn't known yet
// has none.
func (p *proxiedRequest) startOverdueTimer(l *endpointConn) *overdueTimer {
	o := &overdueTimer{
		proxiedRequest:    p,
		run:               p.currentRun(),
		endpointConn:      l,
		mayRetryElsewhere: !p.headSent && p.call.MayRunAgain(),
	}
	usualAnswer := p.gateway.usualAnswer.mean(p.route.Name)
	after := max(time.Duration(overdueFactor*float64(usualAnswer)), time.Duration(minOverduePart*float64(p.route.Target)))
	if usualAnswer > 0 && time.Until(p.currentDeadline()) > after+usualAnswer {
		o.timer = time.AfterFunc(after, func() { o.onOverdue(after) })
	}
	return o
}

func (o *overdueTimer) stop() {
	if o.timer != nil {
		o.timer.Stop()
	}
}

func (o *overdueTimer) onOverdue(after time.Duration) {
	p := o.proxiedRequest
	g := p.gateway
	now := time.Now()
	mayRetryElsewhere := o.mayRetryElsewhere && g.hasRetryBudget(p.service.Name)
	p.logAsync("answer overdue",
		zap.String("endpoint", o.run.endpoint.ID),
		zap.Duration("after", after),
		zap.Bool("leaves", mayRetryElsewhere),
	)
	g.spread.Failed(now, o.run.endpoint.ID, false)
	g.onPlaced(fleet.Placement{
		Endpoint: o.run.endpoint.ID,
		Overdue:  true,
	})
	// One that fell silent ends under the request without a break, and its callers leave
	// before the request's own time is over.
	go p.checkEndpoint(o.run)
	if mayRetryElsewhere {
		_ = o.endpointConn.Close()
	}
}

// hasRetryBudget tells whether the retry budget has room for one more send.
func (g *Gateway) hasRetryBudget(service string) bool {
	now := time.Now()
	has := 0
	boxes := g.boxes()
	g.withBudget(service, now, func(b *core.SharedBudget) { has = b.Available(now, boxes) })
	return has > 0
}
