package scheduler

import (
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/wire"
)

// maxStepTime is the longest acceptable time between two tokens of a stream.
const maxStepTime = 30 * time.Millisecond

// maxLoadAge is the age of the last load report above which an endpoint counts as
// dead, so that no leases on it are granted.
const maxLoadAge = 3 * time.Second

// maxHints bounds the cache hints in one lease.
const maxHints = 16

// ownerSlot is one owner slot of an endpoint: a fixed part of its memory that this
// box leases out while it owns the slot. mu guards the mutable fields.
type ownerSlot struct {
	name          string
	slot          int
	mu            sync.Mutex
	settings      config.Endpoint
	shares        *admission.Shares
	isOwner       bool
	lastLoad      engine.Load
	loadReadAt    time.Time
	cacheSequence int                 // sequence number of the last cache event read
	hints         []engine.CacheEvent // latest cache events, sent with each grant
}

func newOwnerSlot(c config.Endpoint, slot int) *ownerSlot {
	ownership := core.NewOwnership(c.Name, core.DefaultLeaseRules())
	return &ownerSlot{
		name:     c.Name,
		slot:     slot,
		settings: c,
		shares:   admission.NewShares(ownership, c.MemoryTokens, c.BatchSlots, maxStepTime),
	}
}

// setOwner takes or releases the slot's ownership. neverOwned means that no other
// box can have owned the slot before.
func (o *ownerSlot) setOwner(now time.Time, isOwner, neverOwned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if isOwner == o.isOwner {
		return
	}
	o.isOwner = isOwner
	if isOwner {
		o.shares.Ownership().Step(now, core.HoldTaken{Fresh: neverOwned})
		return
	}
	o.shares.Ownership().Step(now, core.HoldLost{})
}

func (o *ownerSlot) hasUnknownUsage() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shares.HasUnknownUsage()
}

func (o *ownerSlot) confirmPredecessorGone(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shares.Ownership().Step(now, core.PredecessorGone{})
}

// configure applies the endpoint's section of a new configuration.
func (o *ownerSlot) configure(c config.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settings = c
	o.shares.Capacity = c.MemoryTokens
	o.shares.Slots = c.BatchSlots
}

// refresh updates the ownership with the time, the endpoint's leaving state and
// the time at which the list was last confirmed.
func (o *ownerSlot) refresh(now time.Time, leaving bool, confirmedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shares.Ownership().Step(now, core.HoldTicked{})
	o.shares.Ownership().Step(now, core.EndpointLeaving{Leaving: leaving})
	o.shares.Ownership().Step(now, core.ListConfirmed{At: confirmedAt})
}

// grant leases a part of the slot to a box. It grants nothing if this box isn't
// the owner or the load report is too old.
func (o *ownerSlot) grant(now time.Time, box string, demand wire.LeaseDemand) (wire.LeaseGrant, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOwner || now.Sub(o.loadReadAt) > maxLoadAge {
		return wire.LeaseGrant{}, false
	}
	g := o.shares.Grant(now, box+"/"+demand.Model, admission.Demand{
		Profile: admission.ProfileFrom(demand.Mean, demand.Deviation),
		Running: demand.Running,
		Waiting: demand.Waiting,
		Rank:    demand.Rank,
	})
	out := wire.LeaseGrant{
		Endpoint:     demand.Endpoint,
		TTL:          g.TTL,
		Tokens:       g.Tokens,
		Slots:        g.Slots,
		OtherRunning: g.OtherRunning,
		Growth:       g.Growth,
		Incarnation:  uint64(o.lastLoad.Incarnation),
		Step:         o.lastLoad.Step,
		Model:        demand.Model,
		Slot:         demand.Slot,
	}
	if demand.WantOtherUsage {
		out.OtherMean, out.OtherDeviation = g.Others.Floats()
		out.HasOthers = true
	}
	for _, h := range o.hints {
		out.Hints = append(out.Hints, wire.CacheHint{
			Prefix:  h.Prefix,
			Dropped: h.Dropped,
		})
	}
	return out, true
}

// observeLoad applies a load report. A restarted engine numbers its cache events
// from the start again.
func (o *ownerSlot) observeLoad(now time.Time, l engine.Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.Incarnation != o.lastLoad.Incarnation {
		o.cacheSequence = 0
	}
	o.lastLoad = l
	o.loadReadAt = now
	o.shares.Observe(admission.Report{
		Batch: l.Running,
		Step:  l.Step,
		Used:  l.UsedTokens,
	})
}

func (o *ownerSlot) observeCacheEvents(events []engine.CacheEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(events) == 0 {
		o.hints = nil
		return
	}
	o.cacheSequence = events[len(events)-1].Sequence
	o.hints = events[max(0, len(events)-maxHints):]
}

// ownerState reports whether this box owns the slot, and returns the sequence
// number of the last cache event.
func (o *ownerSlot) ownerState() (bool, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOwner, o.cacheSequence
}

func (o *ownerSlot) status() wire.OwnedSlotStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return wire.OwnedSlotStatus{
		Endpoint: o.settings.Name,
		Slot:     o.slot,
		State:    string(o.shares.Ownership().State),
		Boxes:    o.shares.Boxes(),
		Used:     o.lastLoad.UsedTokens,
		Capacity: o.settings.MemoryTokens,
	}
}
