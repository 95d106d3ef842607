package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// backoffs keeps until when endpoints want nothing from this box. A refusal that asks for rest
// is no failure that fades: the endpoint said when it can be asked again.
type backoffs struct {
	hasAny atomic.Bool // whether any endpoint rests; most boxes know of none
	mu     sync.Mutex
	until  map[string]time.Time // by the endpoint's id
}

func newBackoffs() *backoffs { return &backoffs{until: make(map[string]time.Time)} }

// extend takes that an endpoint wants rest; one that it asked for before holds on.
func (r *backoffs) extend(now time.Time, endpoint string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := now.Add(d); until.After(r.until[endpoint]) {
		r.until[endpoint] = until
		r.hasAny.Store(true)
	}
}

// remaining gives how much longer an endpoint wants nothing from this box.
func (r *backoffs) remaining(now time.Time, endpoint string) time.Duration {
	if !r.hasAny.Load() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.until[endpoint].Sub(now), 0)
}

// all gives how much longer each endpoint that rests wants nothing from this box.
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

// suspended takes that the machine was suspended for a time that its clock didn't count.
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
