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
		leaseClose: LeaseClosed,
	},
	LeaseFull: {
		leaseClear: LeaseFull,
		leaseClose: LeaseClosed,
	},
	LeaseClosed: {
		leaseOpen:  LeaseWaiting,
		leaseClose: LeaseClosed,
		leaseClear: LeaseClosed,
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
		TTL:   4 * time.Second,
		Fresh: 5 * time.Second,
	}
}

// Ownership is an owner's right to lease out one half of an endpoint. Each endpoint
// has two owners with a half each, so that one's death leaves the other's half
// in use at once. The hold says how much may be leased; who gets how much is
// the matter of admission.Shares.
type Ownership struct {
	State     LeaseState
	Endpoint  string
	leaving   bool
	cleared   bool
	clearAt   time.Time
	waitUntil time.Time
	tickedAt  time.Time
	wokeAt    time.Time // after a pause, until a reading is confirmed anew
	reading   time.Time
	rules     LeaseRules
	guards    Guards
}

// HoldTaken tells that the list makes this box the owner. Fresh means that
// nobody can have owned the half before.
type HoldTaken struct {
	EventBase
	Fresh bool
}

// HoldLost tells that the list makes another box the owner.
type HoldLost struct{ EventBase }

// EndpointLeaving tells whether the list shows the endpoint as leaving.
type EndpointLeaving struct {
	EventBase
	Leaving bool
}

// PredecessorGone tells that the owner before is known to grant nothing more:
// it handed over, came back with this list or a later one, or is long dead.
type PredecessorGone struct{ EventBase }

// HoldTicked tells that the process runs; it comes several times in the time for
// which a reading is fresh.
type HoldTicked struct{ EventBase }

// NewOwnership starts closed.
func NewOwnership(endpoint string, rules LeaseRules, options ...Option) *Ownership {
	return &Ownership{
		State:    LeaseClosed,
		Endpoint: endpoint,
		rules:    rules,
		guards:   newGuards(options),
	}
}

// Step applies one event.
func (h *Ownership) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HoldTaken:
		h.taken(now, e)
	case HoldLost:
		_ = leaseLifecycle.Fire(&h.State, leaseClose)
	case EndpointLeaving:
		h.leaving = e.Leaving
	case ListConfirmed:
		h.confirmed(e)
	case PredecessorGone:
		h.clear(now)
	case HoldTicked:
		h.ticked(now)
	}
	return nil
}

func (h *Ownership) taken(now time.Time, e HoldTaken) {
	if leaseLifecycle.Fire(&h.State, leaseOpen) != nil {
		return
	}
	h.waitUntil = now.Add(h.rules.Fresh + h.rules.TTL)
	h.cleared = false
	if e.Fresh || !h.guards.on(GuardLeaseTakeover) {
		_ = leaseLifecycle.Fire(&h.State, leaseClear)
	}
}

// clear lets the hold grant all when the predecessor's last leases have ended.
func (h *Ownership) clear(now time.Time) {
	if h.cleared || h.State == LeaseFull {
		return
	}
	h.cleared = true
	h.clearAt = now.Add(h.rules.TTL)
	if h.clearAt.Before(h.waitUntil) {
		h.waitUntil = h.clearAt
	}
}

// ticked notices a pause: who wakes from one may believe in what changed in the
// meantime, and grants nothing until a reading is confirmed anew. An outage of
// the platform alone is no pause.
func (h *Ownership) ticked(now time.Time) {
	if !h.tickedAt.IsZero() && now.Sub(h.tickedAt) > h.rules.Fresh && h.guards.on(GuardLeasePause) {
		h.wokeAt = now
	}
	h.tickedAt = now
}

func (h *Ownership) confirmed(e ListConfirmed) {
	if e.At.After(h.reading) {
		h.reading = e.At
	}
	if !e.At.Before(h.wokeAt) {
		h.wokeAt = time.Time{}
	}
}

// safeDivisor is the part of an endpoint that an owner may lease when another
// owner may still believe in its own right: two halves never exceed the whole.
const safeDivisor = 2

// Grantable gives how many of an endpoint's units may be leased now, and until
// when at the longest.
func (h *Ownership) Grantable(now time.Time, capacity int) (int, time.Duration) {
	if h.State == LeaseClosed || h.leaving && h.guards.on(GuardLeaseLeaving) {
		return 0, 0
	}
	h.ticked(now)
	h.advance(now)
	if h.State == LeaseWaiting || !h.wokeAt.IsZero() {
		return 0, 0
	}
	if h.State == LeaseSafe || now.Sub(h.reading) > h.rules.Fresh {
		return capacity / safeDivisor, h.rules.TTL
	}
	return capacity, h.rules.TTL
}

// advance moves on when the predecessor's leases have ended.
func (h *Ownership) advance(now time.Time) {
	if h.cleared && !now.Before(h.clearAt) && h.State != LeaseFull {
		_ = leaseLifecycle.Fire(&h.State, leaseClear)
	}
	if h.State == LeaseWaiting && !now.Before(h.waitUntil) {
		_ = leaseLifecycle.Fire(&h.State, leaseWaited)
	}
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
