package core

import (
	"time"
)

// LeaseState is the state of an owner's hold on one endpoint.
type LeaseState string

// An owner waits out its predecessor, grants a safe share, or grants all.
const (
	LeaseWaiting LeaseState = "waiting"
	LeaseSafe    LeaseState = "safe-share"
	LeaseFull    LeaseState = "full"
	LeaseClosed  LeaseState = "closed"
)

type leaseTrigger string

const (
	leaseWaited leaseTrigger = "waited"
	leaseClear  leaseTrigger = "clear"
	leaseStale  leaseTrigger = "stale"
	leaseClose  leaseTrigger = "close"
	leaseOpen   leaseTrigger = "open"
)

var leaseLifecycle = NewLifecycle(map[LeaseState]map[leaseTrigger]LeaseState{
	LeaseWaiting: {
		leaseWaited: LeaseSafe,
		leaseClear:  LeaseFull,
		leaseClose:  LeaseClosed,
	},
	LeaseSafe: {
		leaseClear: LeaseFull,
		leaseStale: LeaseSafe,
		leaseClose: LeaseClosed,
	},
	LeaseFull: {
		leaseStale: LeaseSafe,
		leaseClear: LeaseFull,
		leaseClose: LeaseClosed,
	},
	LeaseClosed: {
		leaseOpen:  LeaseWaiting,
		leaseClose: LeaseClosed,
	},
})

// LeaseRules are the bounds of memory leases.
type LeaseRules struct {
	TTL   time.Duration
	Fresh time.Duration
}

// DefaultLeaseRules gives the bounds that the processes use.
func DefaultLeaseRules() LeaseRules {
	return LeaseRules{
		TTL:   2 * time.Second,
		Fresh: 5 * time.Second,
	}
}

// Hold is an owner's right to lease out one endpoint. It says how much of the
// endpoint may be leased; who gets how much is the Shares policy's matter.
type Hold struct {
	State     LeaseState
	Endpoint  string
	leaving   bool
	waitUntil time.Time
	reading   time.Time
	rules     LeaseRules
	guards    Guards
}

// HoldTaken tells that the list makes this box the endpoint's owner. Planned
// means that the old owner handed over or that there was none.
type HoldTaken struct {
	EventBase
	Planned bool
}

// HoldLost tells that the list makes another box the owner.
type HoldLost struct{ EventBase }

// EndpointLeaving tells whether the list shows the endpoint as leaving.
type EndpointLeaving struct {
	EventBase
	Leaving bool
}

// ForeignUse tells whether the endpoint's own report shows memory in use that
// this owner's leases don't explain.
type ForeignUse struct {
	EventBase
	Seen bool
}

// NewHold starts closed.
func NewHold(endpoint string, rules LeaseRules, options ...Option) *Hold {
	return &Hold{
		State:    LeaseClosed,
		Endpoint: endpoint,
		rules:    rules,
		guards:   newGuards(options),
	}
}

// Step applies one event.
func (h *Hold) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HoldTaken:
		h.taken(now, e)
	case HoldLost:
		_ = leaseLifecycle.Fire(&h.State, leaseClose)
	case EndpointLeaving:
		h.leaving = e.Leaving
	case ListConfirmed:
		h.confirmed(e)
	case ForeignUse:
		h.foreign(now, e)
	}
	return nil
}

func (h *Hold) taken(now time.Time, e HoldTaken) {
	if leaseLifecycle.Fire(&h.State, leaseOpen) != nil {
		return
	}
	h.waitUntil = now.Add(h.rules.Fresh + h.rules.TTL)
	if e.Planned || !h.guards.on(GuardLeaseTakeover) {
		_ = leaseLifecycle.Fire(&h.State, leaseClear)
	}
}

func (h *Hold) confirmed(e ListConfirmed) {
	if e.At.After(h.reading) {
		h.reading = e.At
	}
}

func (h *Hold) foreign(now time.Time, e ForeignUse) {
	if e.Seen || now.Before(h.waitUntil) {
		return
	}
	if h.State == LeaseSafe {
		_ = leaseLifecycle.Fire(&h.State, leaseClear)
	}
}

// safeDivisor is the part of an endpoint that an owner may lease when another
// owner may still believe in its own right: two halves never exceed the whole.
const safeDivisor = 2

// Grantable gives how many of an endpoint's units may be leased now, and until
// when at the longest.
func (h *Hold) Grantable(now time.Time, capacity int) (int, time.Duration) {
	if h.State == LeaseClosed || h.leaving && h.guards.on(GuardLeaseLeaving) {
		return 0, 0
	}
	if h.State == LeaseWaiting {
		if now.Before(h.waitUntil) {
			return 0, 0
		}
		_ = leaseLifecycle.Fire(&h.State, leaseWaited)
	}
	if h.State == LeaseSafe || now.Sub(h.reading) > h.rules.Fresh {
		return capacity / safeDivisor, h.rules.TTL
	}
	return capacity, h.rules.TTL
}

// Lease is what an entry holds of one endpoint. Its end is counted from the
// moment before the entry asked, so that a delayed answer is never too long.
type Lease struct {
	Endpoint string
	Tokens   int
	Slots    int
	Until    time.Time
	guards   Guards
}

// NewLease builds a lease that was asked for at a moment.
func NewLease(endpoint string, askedAt time.Time, ttl time.Duration, tokens, slots int, options ...Option) Lease {
	return Lease{
		Endpoint: endpoint,
		Tokens:   tokens,
		Slots:    slots,
		Until:    askedAt.Add(ttl),
		guards:   newGuards(options),
	}
}

// Usable reports whether new work may be sent on the lease.
func (l *Lease) Usable(now time.Time) bool {
	if !l.guards.on(GuardLeaseExpiry) {
		return l.Tokens > 0
	}
	return l.Tokens > 0 && now.Before(l.Until)
}
