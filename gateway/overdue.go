package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
)

const (
	// overdueTimes is after how many times the route's usual time an answer, or a
	// stream's first event, is overdue; on a calm day one in a hundred took 2.3 to
	// 4.0 times the median, by route.
	overdueTimes = 4.0
	// overdueTarget is the least such time, as a part of the route's target: what
	// comes elsewhere within the rest of it is still in time.
	overdueTarget = 0.5
	// usualWeight is the weight of the newest time in a usual one.
	usualWeight = 0.1
)

// usualTimes are learned times, each by a name.
type usualTimes struct {
	mu  sync.Mutex
	all map[string]time.Duration
}

func newUsualTimes() usualTimes {
	return usualTimes{all: make(map[string]time.Duration)}
}

func (u *usualTimes) learn(name string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usual, known := u.all[name]
	if !known {
		u.all[name] = took
		return
	}
	u.all[name] = usual + time.Duration(usualWeight*float64(took-usual))
}

// of gives the usual time of a name, or 0 before any was learned.
func (u *usualTimes) of(name string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.all[name]
}

// overdue waits for a send's answer to begin. An endpoint that fails part of its
// requests by silence looks well otherwise: its other streams go on, its reports
// come. A request that may run again leaves it for another one; for any, the
// endpoint gets less new work, here and in the group.
type overdue struct {
	passage *passage
	run     run
	link    *link
	leaves  bool // the request may go elsewhere
	timer   *time.Timer
}

// awaitAnswer starts the wait for a send; a route whose usual time isn't known yet
// has none.
func (p *passage) awaitAnswer(l *link) *overdue {
	o := &overdue{
		passage: p,
		run:     p.currentRun(),
		link:    l,
		leaves:  !p.begun && p.call.MayRunAgain(),
	}
	usual := p.gateway.usual.of(p.route.Name)
	after := max(time.Duration(overdueTimes*float64(usual)), time.Duration(overdueTarget*float64(p.route.LatencyTarget)))
	if usual > 0 && time.Until(p.until()) > after+usual {
		o.timer = time.AfterFunc(after, func() { o.passed(after) })
	}
	return o
}

func (o *overdue) stop() {
	if o.timer != nil {
		o.timer.Stop()
	}
}

func (o *overdue) passed(after time.Duration) {
	p := o.passage
	g := p.gateway
	now := time.Now()
	leaves := o.leaves && g.hasSend(p.service.Name)
	p.note("answer overdue",
		zap.String("endpoint", o.run.endpoint.ID),
		zap.Duration("after", after),
		zap.Bool("leaves", leaves),
	)
	g.spread.Failed(now, o.run.endpoint.ID, false)
	g.onPlaced(fleet.Placement{
		Endpoint:      o.run.endpoint.ID,
		AnswerOverdue: true,
	})
	// One that fell silent ends under the request without a break, and its callers leave
	// before the request's own time is over.
	go p.look(o.run)
	if leaves {
		_ = o.link.Close()
	}
}

// hasSend tells whether the retry budget has room for one more send.
func (g *Gateway) hasSend(service string) bool {
	now := time.Now()
	has := 0
	boxes := g.boxes()
	g.budget(service, now, func(b *core.SharedBudget) { has = b.Available(now, boxes) })
	return has > 0
}
