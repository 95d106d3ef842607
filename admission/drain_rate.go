package admission

import (
	"time"
)

// rate measures how many requests a second leave the queue for an endpoint.
type rate struct {
	perSecond float64
	count     float64
	since     time.Time
}

// rateWindow is the time over which starts are counted.
const rateWindow = time.Second

// rateWeight is the weight of the newest window.
const rateWeight = 0.3

func (r *rate) started(now time.Time) {
	r.tick(now)
	r.count++
}

func (r *rate) tick(now time.Time) {
	if r.since.IsZero() {
		r.since = now
		return
	}
	passed := now.Sub(r.since)
	if passed < rateWindow {
		return
	}
	seen := r.count / passed.Seconds()
	if r.perSecond == 0 {
		r.perSecond = seen
	} else {
		r.perSecond += rateWeight * (seen - r.perSecond)
	}
	r.count = 0
	r.since = now
}

// The bounds of what a refused caller is told.
const (
	leastRetryAfter = time.Second
	mostRetryAfter  = 2 * time.Minute
)

// expectedWait is the time until the requests ahead have left the queue, at the
// rate at which the queue really drains. An unmeasured rate refuses nobody.
func (m *Model) expectedWait(r *Request) time.Duration {
	ahead := m.waiting.ahead(r.order)
	if ahead == 0 || m.rate.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / m.rate.perSecond * float64(time.Second))
}

func (m *Model) retryAfter(r *Request) time.Duration {
	wait := m.expectedWait(r)
	return min(mostRetryAfter, max(leastRetryAfter, wait))
}
