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
func (b *backoffs) extend(now time.Time, endpoint string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(d); until.After(b.until[endpoint]) {
		b.until[endpoint] = until
		b.hasAny.Store(true)
	}
}

// remaining returns how much longer an endpoint is backed off from, or 0.
func (b *backoffs) remaining(now time.Time, endpoint string) time.Duration {
	if !b.hasAny.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until[endpoint].Sub(now), 0)
}

// all returns the remaining backoffs by endpoint ID.
func (b *backoffs) all(now time.Time) map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]time.Duration)
	for endpoint, until := range b.until {
		if until.After(now) {
			all[endpoint] = until.Sub(now)
		}
	}
	return all
}

// suspended shortens all backoffs by the time for which the machine was suspended, which
// the monotonic clock did not count.
func (b *backoffs) suspended(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for endpoint, until := range b.until {
		b.until[endpoint] = until.Add(-d)
	}
}

func (b *backoffs) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for endpoint, until := range b.until {
		if !until.After(now) {
			delete(b.until, endpoint)
		}
	}
	b.hasAny.Store(len(b.until) > 0)
}
