package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
)

// lossCheckDelay is how long an engine that broke off a connection must send nothing to count
// as gone: a single connection may break for other reasons.
const lossCheckDelay = 300 * time.Millisecond

// notices learns the notice periods of leaving engines, by service. It is safe for concurrent
// use.
type notices struct {
	mu         sync.Mutex
	estimators map[string]*core.NoticeEstimator
}

func newNotices() *notices {
	return &notices{estimators: make(map[string]*core.NoticeEstimator)}
}

// withEstimator calls action with the estimator of a service, under the lock.
func (n *notices) withEstimator(service string, action func(*core.NoticeEstimator)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.estimators[service]
	if e == nil {
		e = core.NewNoticeEstimator(core.DefaultNoticeRules())
		n.estimators[service] = e
	}
	action(e)
}

// estimate returns how long a leaving engine of a service is expected to run at least.
func (n *notices) estimate(service string) (period time.Duration) {
	n.withEstimator(service, func(e *core.NoticeEstimator) { period = e.Estimate() })
	return period
}

// reportLoss handles a connection that the request's engine broke off. If the engine is leaving
// and sends nothing afterwards, it has ended, and its notice period is known. Connections that
// this box closed itself don't count.
func (p *proxiedRequest) reportLoss(now time.Time, endpoint string, err error) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	g := p.gateway
	g.mu.Lock()
	v := g.evacuations[endpoint]
	g.mu.Unlock()
	p.mu.Lock()
	stopped := p.handover != nil // by its move, not by the engine's end
	p.mu.Unlock()
	if v == nil || stopped || p.terminalEvent() != nil || !v.markLost() {
		return
	}
	time.AfterFunc(lossCheckDelay, func() {
		if g.balancer.ActiveSince(now.Add(lossCheckDelay/2), endpoint) {
			v.clearLost()
			return
		}
		period := now.Sub(v.startedAt)
		v.observeNotice(period)
		g.onEvacuating(fleet.Evacuating{
			Endpoint: endpoint,
			Notice:   period,
		})
	})
}

// markLost marks the engine as lost and reports whether it was not marked yet.
func (v *evacuation) markLost() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasLost := v.lost
	v.lost = true
	return !wasLost
}

func (v *evacuation) clearLost() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lost = false
}

// observeNotice records how long the engine ran after it was found to be leaving.
func (v *evacuation) observeNotice(period time.Duration) {
	g := v.gateway
	if v.service == "" {
		return
	}
	g.notices.withEstimator(v.service, func(e *core.NoticeEstimator) { e.Observe(period) })
	g.counters.observeNotice(v.service, period)
	g.log.Info("leaving engine has ended",
		zap.String("endpoint", v.endpoint),
		zap.Duration("notice", period),
		zap.Duration("expected_from_now_on", g.notices.estimate(v.service)),
	)
}
