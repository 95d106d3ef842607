package admission

import (
	"time"
)

// drainRate measures how many requests a second leave the queue for an endpoint.
type drainRate struct {
	perSecond   float64
	starts      float64
	windowStart time.Time
}

// drainRateWindow is the time over which starts are counted.
const drainRateWindow = time.Second

// drainRateWeight is the weight of the newest window.
const drainRateWeight = 0.3

func (r *drainRate) countStart(now time.Time) {
	r.tick(now)
	r.starts++
}

func (r *drainRate) tick(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
		return
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < drainRateWindow {
		return
	}
	latest := r.starts / elapsed.Seconds()
	if r.perSecond == 0 {
		r.perSecond = latest
	} else {
		r.perSecond += drainRateWeight * (latest - r.perSecond)
	}
	r.starts = 0
	r.windowStart = now
}

// The bounds of what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// expectedWait is the time until the requests ahead have left the queue, at the
// rate at which the queue really drains. An unmeasured rate refuses nobody.
func (m *Model) expectedWait(r *Request) time.Duration {
	ahead := m.waiting.ahead(r.order)
	if ahead == 0 || m.drainRate.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / m.drainRate.perSecond * float64(time.Second))
}

func (m *Model) retryAfter(r *Request) time.Duration {
	wait := m.expectedWait(r)
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
