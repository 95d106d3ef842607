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

// maxStepTime is the longest time between two tokens of a stream.
const maxStepTime = 30 * time.Millisecond

// maxLoadAge is the age of the last load report above which an endpoint counts as
// dead and gets no lease.
const maxLoadAge = 3 * time.Second

// maxHints bounds the cache hints in one lease.
const maxHints = 16

// endpoint is one owner slot of an engine: a fixed part of its memory that this
// box leases out while it owns the slot. mu guards the mutable fields.
type endpoint struct {
	name          string
	slot          int
	mu            sync.Mutex
	settings      config.Endpoint
	shares        *admission.Shares
	isOwner       bool
	lastLoad      engine.Load
	loadReadAt    time.Time
	cacheSequence int
	hints         []engine.CacheEvent
}

func newEndpoint(c config.Endpoint, slot int) *endpoint {
	own := core.NewOwnership(c.Name, core.DefaultLeaseRules())
	return &endpoint{
		name:     c.Name,
		slot:     slot,
		settings: c,
		shares:   admission.NewShares(own, c.MemoryTokens, c.BatchSlots, maxStepTime),
	}
}

// setOwner takes or releases the slot's ownership.
func (e *endpoint) setOwner(now time.Time, isOwner, neverOwned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isOwner == e.isOwner {
		return
	}
	e.isOwner = isOwner
	if isOwner {
		e.shares.Ownership().Step(now, core.HoldTaken{Fresh: neverOwned})
		return
	}
	e.shares.Ownership().Step(now, core.HoldLost{})
}

func (e *endpoint) hasUnknownUsage() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shares.HasUnknownUsage()
}

func (e *endpoint) confirmPredecessorGone(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares.Ownership().Step(now, core.PredecessorGone{})
}

// configure applies the endpoint's section of a new configuration.
func (e *endpoint) configure(c config.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = c
	e.shares.Capacity = c.MemoryTokens
	e.shares.Slots = c.BatchSlots
}

// refresh updates the ownership with the time, the endpoint's leaving state and
// the time at which the list was last confirmed.
func (e *endpoint) refresh(now time.Time, leaving bool, confirmedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares.Ownership().Step(now, core.HoldTicked{})
	e.shares.Ownership().Step(now, core.EndpointLeaving{Leaving: leaving})
	e.shares.Ownership().Step(now, core.ListConfirmed{At: confirmedAt})
}

// grant leases a part of the slot to a box. It grants nothing if this box isn't
// the owner or the load report is too old.
func (e *endpoint) grant(now time.Time, box string, demand wire.LeaseDemand) (wire.LeaseGrant, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isOwner || now.Sub(e.loadReadAt) > maxLoadAge {
		return wire.LeaseGrant{}, false
	}
	g := e.shares.Grant(now, box+"/"+demand.Model, admission.Demand{
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
		Incarnation:  uint64(e.lastLoad.Incarnation),
		Step:         e.lastLoad.Step,
		Model:        demand.Model,
		Slot:         demand.Slot,
	}
	if demand.WantOtherUsage {
		out.OtherMean, out.OtherDeviation = g.Others.Floats()
		out.HasOthers = true
	}
	for _, h := range e.hints {
		out.Hints = append(out.Hints, wire.CacheHint{
			Prefix:  h.Prefix,
			Dropped: h.Dropped,
		})
	}
	return out, true
}

func (e *endpoint) observeLoad(now time.Time, l engine.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Incarnation != e.lastLoad.Incarnation {
		e.cacheSequence = 0
	}
	e.lastLoad = l
	e.loadReadAt = now
	e.shares.Observe(admission.Report{
		Batch: l.Running,
		Step:  l.Step,
		Used:  l.UsedTokens,
	})
}

func (e *endpoint) observeCacheEvents(events []engine.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(events) == 0 {
		e.hints = nil
		return
	}
	e.cacheSequence = events[len(events)-1].Sequence
	e.hints = events[max(0, len(events)-maxHints):]
}

// ownerState reports whether this box owns the slot, and returns the sequence
// number of the last cache event.
func (e *endpoint) ownerState() (bool, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner, e.cacheSequence
}

func (e *endpoint) status() wire.OwnedSlotStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.OwnedSlotStatus{
		Endpoint: e.settings.Name,
		Slot:     e.slot,
		State:    string(e.shares.Ownership().State),
		Boxes:    e.shares.Boxes(),
		Used:     e.lastLoad.UsedTokens,
		Capacity: e.settings.MemoryTokens,
	}
}
