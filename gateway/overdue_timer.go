package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// overdueFactor is the multiple of the route's usual time after which an answer, or a
	// stream's first event, is overdue. At normal load, one answer in a hundred takes 2.3 to
	// 4 times the route's median.
	overdueFactor = 4.0
	// minOverdueFraction is the least such time, as a fraction of the route's target; an
	// answer from another endpoint can still meet the target after it.
	minOverdueFraction = 0.5
	// averageWeight is the weight of the newest value in a moving average.
	averageWeight = 0.1
)

// durationAverages holds exponential moving averages of durations, by name.
type durationAverages struct {
	mu       sync.Mutex
	averages map[string]time.Duration
}

func newDurationAverages() durationAverages {
	return durationAverages{averages: make(map[string]time.Duration)}
}

func (a *durationAverages) updateAverages(name string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	usual, known := a.averages[name]
	if !known {
		a.averages[name] = took
		return
	}
	a.averages[name] = usual + time.Duration(averageWeight*float64(took-usual))
}

// mean returns the average for a name, or 0 if there is none yet.
func (a *durationAverages) mean(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.averages[name]
}

// overdueTimer waits for the answer to a send to begin. It detects endpoints that leave some
// requests unanswered while their other streams and their reports look normal. An overdue
// request that is repeatable is sent to another endpoint; in any case the endpoint gets
// less new work, here and in the group.
type overdueTimer struct {
	proxiedRequest    *proxiedRequest
	run               run
	endpointConn      *endpointConn
	mayRetryElsewhere bool        // the request may be sent to another endpoint
	hasHead           atomic.Bool // the head of the answer was read
	timer             *time.Timer
	stopped           bool // used by the request's goroutine only
}

// startOverdueTimer starts the timer for a send. It never fires if the route's usual time is
// unknown or too little time is left for another send.
func (p *proxiedRequest) startOverdueTimer(conn *endpointConn) *overdueTimer {
	o := &overdueTimer{
		proxiedRequest:    p,
		run:               p.currentRun(),
		endpointConn:      conn,
		mayRetryElsewhere: !p.headSent && p.call.MayRunAgain(),
	}
	p.gateway.unanswered.add(o)
	usualAnswerTimes := p.gateway.usualAnswerTimes.mean(p.route.Name)
	after := p.overdueAfter()
	if usualAnswerTimes > 0 && time.Until(p.currentDeadline()) > after+usualAnswerTimes {
		o.timer = time.AfterFunc(after, func() { o.onOverdue(after) })
	}
	return o
}

// overdueAfter returns the time after which an answer, or a stream's first event, is overdue.
func (p *proxiedRequest) overdueAfter() time.Duration {
	usual := float64(p.gateway.usualAnswerTimes.mean(p.route.Name))
	return time.Duration(max(overdueFactor*usual, minOverdueFraction*float64(p.route.LatencyTarget)))
}

func (o *overdueTimer) stop() {
	if o.stopped {
		return
	}
	o.stopped = true
	o.proxiedRequest.gateway.unanswered.remove(o)
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
	g.balancer.Failed(now, o.run.endpoint.ID, false)
	if !o.hasHead.Load() {
		g.recordUnanswered(o.run.endpoint, core.FailedSilent)
	}
	g.announceOverdue(o.run.endpoint)
	// A crash that leaves the connection open shows in no other way, and the caller may
	// leave before the request's deadline.
	go p.checkEndpoint(o.run)
	if mayRetryElsewhere {
		_ = o.endpointConn.Close()
	}
}

// hasRetryBudget reports whether the service's retry budget allows one more send.
func (g *Gateway) hasRetryBudget(service string) bool { return g.availableRetries(service) > 0 }

// availableRetries returns the number of sends that the service's retry budget allows now.
func (g *Gateway) availableRetries(service string) int {
	now := time.Now()
	available := 0
	share := g.budgetShare()
	g.withBudget(service, now, func(b *core.SharedBudget) { available = b.Available(now, share) })
	return available
}
