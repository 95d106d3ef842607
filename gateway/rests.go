package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// rests keeps until when endpoints want nothing from this box. A refusal that asks for rest
// is no failure that fades: the endpoint said when it can be asked again.
type rests struct {
	present atomic.Bool // whether any endpoint rests; most boxes know of none
	mu      sync.Mutex
	until   map[string]time.Time // by the endpoint's id
}

func newRests() *rests { return &rests{until: make(map[string]time.Time)} }

// ask takes that an endpoint wants rest; one that it asked for before holds on.
func (r *rests) ask(now time.Time, endpoint string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := now.Add(d); until.After(r.until[endpoint]) {
		r.until[endpoint] = until
		r.present.Store(true)
	}
}

// left gives how much longer an endpoint wants nothing from this box.
func (r *rests) left(now time.Time, endpoint string) time.Duration {
	if !r.present.Load() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.until[endpoint].Sub(now), 0)
}

// all gives how much longer each endpoint that rests wants nothing from this box.
func (r *rests) all(now time.Time) map[string]time.Duration {
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
func (r *rests) suspended(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, until := range r.until {
		r.until[endpoint] = until.Add(-d)
	}
}

func (r *rests) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, until := range r.until {
		if !until.After(now) {
			delete(r.until, endpoint)
		}
	}
	r.present.Store(len(r.until) > 0)
}
