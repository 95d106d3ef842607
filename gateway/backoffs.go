package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// backoffs holds the times until which endpoints have asked this box to send nothing.
type backoffs struct {
	hasAny atomic.Bool // whether until has entries; lets most lookups skip the lock
	mu     sync.Mutex
	until  map[string]time.Time // by endpoint ID
}

func newBackoffs() *backoffs { return &backoffs{until: make(map[string]time.Time)} }

// extend records a backoff of d; it never shortens one that is in force.
func (r *backoffs) extend(now time.Time, endpoint string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := now.Add(d); until.After(r.until[endpoint]) {
		r.until[endpoint] = until
		r.hasAny.Store(true)
	}
}

// remaining returns how much longer an endpoint is backed off from, or 0.
func (r *backoffs) remaining(now time.Time, endpoint string) time.Duration {
	if !r.hasAny.Load() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.until[endpoint].Sub(now), 0)
}

// all returns the remaining backoffs by endpoint ID.
func (r *backoffs) all(now time.Time) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]time.Duration)
	for endpoint, until := range r.until {
		if until.After(now) {
			all[endpoint] = until.Sub(now)
		}
	}
	return all
}

// suspended shortens all backoffs by the time for which the machine was suspended, which
// the monotonic clock did not count.
func (r *backoffs) suspended(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, until := range r.until {
		r.until[endpoint] = until.Add(-d)
	}
}

func (r *backoffs) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, until := range r.until {
		if !until.After(now) {
			delete(r.until, endpoint)
		}
	}
	r.hasAny.Store(len(r.until) > 0)
}
