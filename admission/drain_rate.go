package admission

import (
	"time"
)

// drainRate measures how many requests per second leave the queue for an endpoint.
type drainRate struct {
	perSecond   float64 // smoothed over the windows
	starts      float64 // in the current window
	windowStart time.Time
}

// drainRateWindow is the minimum length of a window.
const drainRateWindow = time.Second

// drainRateWeight is the weight of the latest window in the average.
const drainRateWeight = 0.3

func (r *drainRate) countStart(now time.Time) {
	r.tick(now)
	r.starts++
}

// tick updates the average if the current window is over.
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

// The bounds of the retry delay that a refused caller receives.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// expectedWait estimates how long a request will wait from the number of requests ahead and
// the drain rate. It is 0 while the rate is unknown, so that no request is refused for it.
func (m *Model) expectedWait(r *Request) time.Duration {
	ahead := m.waiting.ahead(r.order)
	if ahead == 0 || m.drainRate.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / m.drainRate.perSecond * float64(time.Second))
}

// retryAfter returns the delay after which the caller of a refused request may retry.
func (m *Model) retryAfter(r *Request) time.Duration {
	wait := m.expectedWait(r)
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
