package core

import (
	"time"
)

// LeaseState is the state of a box's ownership of an endpoint.
type LeaseState string

// An owner waits for its predecessor's leases to expire, grants a safe share, or
// grants everything.
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

// LeaseRules are the time limits of memory leases.
type LeaseRules struct {
	TTL   time.Duration // how long a lease lasts
	Fresh time.Duration // maximum age of the box list's confirmation for a full grant
}

// DefaultLeaseRules returns the limits used in production.
func DefaultLeaseRules() LeaseRules {
	return LeaseRules{
		TTL:   4 * time.Second,
		Fresh: 5 * time.Second,
	}
}

// Ownership is a box's right to lease out one owner slot of an endpoint, which is
// half of its memory. Each endpoint has two owner slots on different boxes, so that
// half of the endpoint stays usable when an owner fails. Ownership decides how much
// may be leased at a time; admission.Shares divides it among the boxes.
type Ownership struct {
	State           LeaseState
	Endpoint        string
	leaving         bool      // the endpoint is leaving
	predecessorGone bool      // the previous owner grants nothing more
	predecessorEnd  time.Time // when the previous owner's last leases have expired
	waitUntil       time.Time // when the safe share may be granted
	lastTick        time.Time
	resumedAt       time.Time // end of a pause, until the list is confirmed again
	confirmedAt     time.Time // last confirmation of the box list
	rules           LeaseRules
	guards          Guards
}

// HoldTaken reports that the box list makes this box the owner. Fresh is set if the
// owner slot can't have had an owner before.
type HoldTaken struct {
	EventBase
	Fresh bool
}

// HoldLost reports that the box list makes another box the owner.
type HoldLost struct{ EventBase }

// EndpointLeaving reports whether the box list marks the endpoint as leaving.
type EndpointLeaving struct {
	EventBase
	Leaving bool
}

// PredecessorGone reports that the previous owner grants nothing more: it handed
// over, restarted with this list or a newer one, or has been down for long enough.
type PredecessorGone struct{ EventBase }

// HoldTicked reports that the process is running. It is sent several times within
// LeaseRules.Fresh.
type HoldTicked struct{ EventBase }

// NewOwnership returns the ownership state of a box that isn't the owner.
func NewOwnership(endpoint string, rules LeaseRules, options ...Option) *Ownership {
	return &Ownership{
		State:    LeaseClosed,
		Endpoint: endpoint,
		rules:    rules,
		guards:   newGuards(options),
	}
}

// Step applies an event.
func (o *Ownership) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HoldTaken:
		o.handleTaken(now, e)
	case HoldLost:
		_ = leaseLifecycle.Fire(&o.State, leaseClose)
	case EndpointLeaving:
		o.leaving = e.Leaving
	case ListConfirmed:
		o.handleListConfirmed(e)
	case PredecessorGone:
		o.clear(now)
	case HoldTicked:
		o.handleTick(now)
	}
	return nil
}

func (o *Ownership) handleTaken(now time.Time, e HoldTaken) {
	if leaseLifecycle.Fire(&o.State, leaseOpen) != nil {
		return
	}
	o.waitUntil = now.Add(o.rules.Fresh + o.rules.TTL)
	o.predecessorGone = false
	if e.Fresh || !o.guards.enabled(GuardLeaseTakeover) {
		_ = leaseLifecycle.Fire(&o.State, leaseClear)
	}
}

// clear records that the predecessor is gone and schedules full grants for the time at
// which its last leases have expired.
func (o *Ownership) clear(now time.Time) {
	if o.predecessorGone || o.State == LeaseFull {
		return
	}
	o.predecessorGone = true
	o.predecessorEnd = now.Add(o.rules.TTL)
	if o.predecessorEnd.Before(o.waitUntil) {
		o.waitUntil = o.predecessorEnd
	}
}

// handleTick detects pauses of the process. After a pause the ownership may have
// changed, so nothing is granted until the list is confirmed again. An unreachable
// platform does not count as a pause.
func (o *Ownership) handleTick(now time.Time) {
	if !o.lastTick.IsZero() && now.Sub(o.lastTick) > o.rules.Fresh && o.guards.enabled(GuardLeasePause) {
		o.resumedAt = now
	}
	o.lastTick = now
}

func (o *Ownership) handleListConfirmed(e ListConfirmed) {
	if e.At.After(o.confirmedAt) {
		o.confirmedAt = e.At
	}
	if !e.At.Before(o.resumedAt) {
		o.resumedAt = time.Time{}
	}
}

// safeDivisor reduces grants while another box may still act as the owner, so that
// both together never grant more than the owner slot has.
const safeDivisor = 2

// Grantable returns how many of an owner slot's tokens may be leased now, and the
// maximum duration of a lease.
func (o *Ownership) Grantable(now time.Time, capacity int) (int, time.Duration) {
	if o.State == LeaseClosed || o.leaving && o.guards.enabled(GuardLeaseLeaving) {
		return 0, 0
	}
	o.handleTick(now)
	o.advance(now)
	if o.State == LeaseWaiting || !o.resumedAt.IsZero() {
		return 0, 0
	}
	if o.State == LeaseSafe || now.Sub(o.confirmedAt) > o.rules.Fresh {
		return capacity / safeDivisor, o.rules.TTL
	}
	return capacity, o.rules.TTL
}

// advance updates the state when the predecessor's leases have expired.
func (o *Ownership) advance(now time.Time) {
	if o.predecessorGone && !now.Before(o.predecessorEnd) && o.State != LeaseFull {
		_ = leaseLifecycle.Fire(&o.State, leaseClear)
	}
	if o.State == LeaseWaiting && !now.Before(o.waitUntil) {
		_ = leaseLifecycle.Fire(&o.State, leaseWaited)
	}
}

// Lease is a box's share of an endpoint. It expires TTL after the box sent its
// request for it, so that a delayed answer doesn't extend it.
type Lease struct {
	Endpoint string
	Tokens   int       // share of the endpoint's memory
	Slots    int       // share of the endpoint's batch slots
	Until    time.Time // when it expires
	guards   Guards
}

// NewLease returns a lease that was requested at the given time.
func NewLease(endpoint string, requestedAt time.Time, ttl time.Duration, tokens, slots int, options ...Option) Lease {
	return Lease{
		Endpoint: endpoint,
		Tokens:   tokens,
		Slots:    slots,
		Until:    requestedAt.Add(ttl),
		guards:   newGuards(options),
	}
}

// Usable reports whether new requests may be sent under the lease.
func (l *Lease) Usable(now time.Time) bool {
	if !l.guards.enabled(GuardLeaseExpiry) {
		return l.Tokens > 0
	}
	return l.Tokens > 0 && now.Before(l.Until)
}
