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

// targetStep is the longest time between tokens that the brief's limits allow.
const targetStep = 30 * time.Millisecond

// silentLoad is after how long without a load report an endpoint is taken for
// dead and gets no lease.
const silentLoad = 3 * time.Second

// hintCount bounds the cache hints on one lease.
const hintCount = 16

// endpoint is the half of one engine that this box may own; its lock is its own.
type endpoint struct {
	name     string
	slot     int
	mu       sync.Mutex
	settings config.Endpoint
	shares   *admission.Shares
	owner    bool
	lastLoad engine.Load
	loadAt   time.Time
	cacheSeq int
	hints    []engine.CacheEvent
}

func newEndpoint(c config.Endpoint, slot int) *endpoint {
	hold := core.NewOwnership(c.Name, core.DefaultLeaseRules())
	return &endpoint{
		name:     c.Name,
		slot:     slot,
		settings: c,
		shares:   admission.NewShares(hold, c.MemoryTokens, c.BatchSlots, targetStep),
	}
}

// own follows the list: it takes or loses the half.
func (e *endpoint) own(now time.Time, owner, fresh bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if owner == e.owner {
		return
	}
	e.owner = owner
	if owner {
		e.shares.Ownership().Step(now, core.HoldTaken{Fresh: fresh})
		return
	}
	e.shares.Ownership().Step(now, core.HoldLost{})
}

func (e *endpoint) foreign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shares.HasUnknownUsage()
}

func (e *endpoint) predecessorGone(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares.Ownership().Step(now, core.PredecessorGone{})
}

// configure follows a new configuration.
func (e *endpoint) configure(c config.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = c
	e.shares.Capacity = c.MemoryTokens
	e.shares.Slots = c.BatchSlots
}

func (e *endpoint) follow(now time.Time, leaving bool, confirmed time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares.Ownership().Step(now, core.HoldTicked{})
	e.shares.Ownership().Step(now, core.EndpointLeaving{Leaving: leaving})
	e.shares.Ownership().Step(now, core.ListConfirmed{At: confirmed})
}

func (e *endpoint) grant(now time.Time, box string, w wire.LeaseDemand) (wire.LeaseGrant, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.owner || now.Sub(e.loadAt) > silentLoad {
		return wire.LeaseGrant{}, false
	}
	g := e.shares.Grant(now, box+"/"+w.Model, admission.Demand{
		Profile: admission.ProfileFrom(w.Mean, w.Deviation),
		Running: w.Running,
		Waiting: w.Waiting,
		Rank:    w.Rank,
	})
	out := wire.LeaseGrant{
		Endpoint:     w.Endpoint,
		TTL:          g.TTL,
		Tokens:       g.Tokens,
		Slots:        g.Slots,
		OtherRunning: g.OtherRunning,
		Growth:       g.Growth,
		Incarnation:  uint64(e.lastLoad.Incarnation),
		Step:         e.lastLoad.Step,
		Model:        w.Model,
		Slot:         w.Slot,
	}
	if w.WantOtherUsage {
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

func (e *endpoint) loaded(now time.Time, l engine.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Incarnation != e.lastLoad.Incarnation {
		e.cacheSeq = 0
	}
	e.lastLoad = l
	e.loadAt = now
	e.shares.Observe(admission.Report{
		Batch: l.Running,
		Step:  l.Step,
		Used:  l.UsedTokens,
	})
}

func (e *endpoint) cached(events []engine.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(events) == 0 {
		e.hints = nil
		return
	}
	e.cacheSeq = events[len(events)-1].Sequence
	e.hints = events[max(0, len(events)-hintCount):]
}

func (e *endpoint) isOwner() (bool, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner, e.cacheSeq
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
