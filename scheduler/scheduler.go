package scheduler

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/settings"
	"dillsaddle.example/dillsaddle/shard"
	"dillsaddle.example/dillsaddle/trace"
	"dillsaddle.example/dillsaddle/watch"
	"dillsaddle.example/dillsaddle/wire"
)

// Intervals of the periodic tasks, and the timeout of a call.
const (
	refreshInterval  = 250 * time.Millisecond
	loadInterval     = 500 * time.Millisecond
	handoverInterval = time.Second
	callTimeout      = time.Second
)

// youngFleetAge is the fleet's age below which no earlier owner can have granted
// leases that still matter.
const youngFleetAge = 10 * time.Second

// Scheduler owns endpoints and claims on behalf of one box.
type Scheduler struct {
	settings     *settings.Box
	self         core.Box
	log          *zap.Logger
	recorder     *trace.Recorder
	state        *watch.State
	handlers     *wire.Handlers
	server       *wire.Server
	pool         *wire.Pool
	worker       engine.Worker
	slots        *shard.Map[*ownerSlot]
	claimsLock   sync.Mutex
	claims       *core.ClaimOwner
	drainLock    sync.Mutex
	drain        *core.Drain
	ownerInputs  ownerInputs // guarded by drainLock
	owners       *ownerHistory
	handoverAcks sync.Map // names of the boxes that acknowledged their handover
	done         chan struct{}
	stop         context.CancelFunc
}

// Start starts a scheduler and its periodic tasks.
func Start(b *settings.Box, log *zap.Logger, worker engine.Worker, recorder *trace.Recorder) (*Scheduler, error) {
	now := time.Now()
	self := core.Box{
		Name:        b.Name,
		Incarnation: core.Incarnation(now.UnixNano()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		settings: b,
		self:     self,
		log:      log,
		recorder: recorder,
		state:    watch.NewState(log),
		worker:   engine.WithPanicRecovery(worker, onWorkerPanic(log)),
		slots:    shard.NewMap[*ownerSlot](),
		claims:   core.NewClaimOwner(self, core.DefaultClaimRules(), now),
		drain:    core.NewDrain(),
		owners:   newOwnerHistory(),
		done:     make(chan struct{}),
		stop:     cancel,
	}
	s.recorder.RecordClaimOwnerStart(now, self, core.DefaultClaimRules())
	s.handlers = wire.NewHandlers(wire.WithVersions(s.state.Versions))
	wire.HandleRequest(s.handlers, s.handleLeaseRequest)
	wire.HandleRequest(s.handlers, s.handleClaimRequest)
	wire.HandleRequest(s.handlers, s.handleClaimSettle)
	wire.HandleRequest(s.handlers, s.handleHandoverRequest)
	wire.HandleRequest(s.handlers, s.handleHandover)
	wire.HandleRequest(s.handlers, s.handleStatusRequest)
	s.pool = wire.NewPool(s.handlers)
	server, err := wire.Listen(b.Scheduler, s.handlers)
	if err != nil {
		cancel()
		return nil, err
	}
	s.server = server
	s.state.OnChange(s.handleViewChange)
	watch.Follow(ctx, b.Watch, s.state)
	go runEvery(ctx, refreshInterval, s.refresh)
	go runEvery(ctx, loadInterval, s.readLoads)
	go runEvery(ctx, handoverInterval, s.retryHandovers)
	return s, nil
}

// onWorkerPanic returns a callback that counts and logs a worker's panic.
func onWorkerPanic(log *zap.Logger) engine.PanicHandler {
	return func(fault any, stack []byte) {
		workerPanics.Inc()
		log.Error("worker panicked; the call failed", zap.Any("fault", fault), zap.ByteString("stack", stack))
	}
}

func runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			do(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Ready returns the reason why no leases are granted yet, or "" if they are.
func (s *Scheduler) Ready() string {
	v := s.state.View()
	switch {
	case !s.isAccepting():
		return "draining"
	case v.Document == nil || v.List == nil:
		return "no configuration or list of boxes received from this box's watch yet"
	}
	return ""
}

// Status returns the scheduler's section of a box's status.
func (s *Scheduler) Status() any { return s.status() }

func (s *Scheduler) status() wire.SchedulerStatus {
	var out wire.SchedulerStatus
	s.slots.Each(func(_ string, o *ownerSlot) {
		if isOwner, _ := o.ownerState(); isOwner {
			out.OwnedSlots = append(out.OwnedSlots, o.status())
		}
	})
	slices.SortFunc(out.OwnedSlots, func(a, b wire.OwnedSlotStatus) int {
		return cmp.Or(strings.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Slot, b.Slot))
	})
	s.claimsLock.Lock()
	out.Claims = s.claims.Len()
	s.claimsLock.Unlock()
	s.drainLock.Lock()
	out.Drain = string(s.drain.State)
	s.drainLock.Unlock()
	return out
}

func (s *Scheduler) handleStatusRequest(context.Context, *wire.Conn, wire.StatusRequest) (wire.SchedulerStatus, error) {
	return s.status(), nil
}

// handleViewChange applies a new configuration or list.
func (s *Scheduler) handleViewChange(v watch.View) {
	if v.Document != nil {
		s.applyClaimEvent(core.ClaimGuardSet{Guard: v.Document.Limits.ClaimGuard})
	}
	if v.List != nil {
		s.stepClaims(context.Background(), core.ListAdopted{
			List: v.List,
			At:   v.ConfirmedAt,
		})
	}
	s.refresh(context.Background())
}

// refresh updates all owned endpoints from the current view. Owners are recomputed
// only if the list, the configuration or the draining state has changed.
func (s *Scheduler) refresh(context.Context) {
	v := s.state.View()
	if v.Document == nil || v.List == nil {
		return
	}
	now := time.Now()
	s.applyClaimEvent(core.ListConfirmed{
		Version: v.List.Version,
		At:      v.ConfirmedAt,
	})
	if s.updateOwnerInputs(v) {
		s.reassignSlots(now, v)
	}
	s.slots.Each(func(_ string, o *ownerSlot) { s.refreshSlot(now, v, o) })
}

// ownerInputs holds the inputs from which owners are computed.
type ownerInputs struct {
	list        *core.List
	document    *config.Document
	isAccepting bool
}

// updateOwnerInputs stores the current inputs and reports whether they changed.
func (s *Scheduler) updateOwnerInputs(v watch.View) bool {
	s.drainLock.Lock()
	defer s.drainLock.Unlock()
	inputs := ownerInputs{
		list:        v.List,
		document:    v.Document,
		isAccepting: s.drain.Accepting(),
	}
	changed := inputs != s.ownerInputs
	s.ownerInputs = inputs
	return changed
}

// reassignSlots takes over newly assigned owner slots and releases the others. A
// stopping scheduler releases all of them.
func (s *Scheduler) reassignSlots(now time.Time, v watch.View) {
	isAccepting := s.isAccepting()
	owned := make(map[string]bool)
	next := newListOwners(v.List, s.settings.Name)
	for _, c := range v.Document.Endpoints {
		for slot := range core.SlotCount {
			owner, neverOwned := s.owners.ownerOf(now, next, &c, slot)
			if owner != s.settings.Name || !isAccepting {
				continue
			}
			key := slotKey(c.Name, slot)
			owned[key] = true
			o := s.slots.GetOrCreate(key, func() *ownerSlot { return newOwnerSlot(c, slot) })
			o.configure(c)
			o.setOwner(now, true, neverOwned)
		}
	}
	s.slots.Each(func(key string, o *ownerSlot) {
		if !owned[key] {
			o.setOwner(now, false, false)
			s.slots.Delete(key)
		}
	})
}

func (s *Scheduler) refreshSlot(now time.Time, v watch.View, o *ownerSlot) {
	o.refresh(now, v.List.Leaving(o.name), v.ConfirmedAt)
	if s.owners.predecessorStopped(now, v.List, o.name, o.slot, o.hasUnknownUsage()) {
		o.confirmPredecessorGone(now)
	}
}

// readLoads reads the load and the cache events of the owned endpoints.
func (s *Scheduler) readLoads(ctx context.Context) {
	s.slots.Each(func(_ string, o *ownerSlot) {
		isOwner, after := o.ownerState()
		if !isOwner {
			return
		}
		go s.readLoad(ctx, o, after)
	})
}

func (s *Scheduler) readLoad(ctx context.Context, o *ownerSlot, after int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := s.worker.Load(ctx, o.settings.Address)
	if err != nil {
		loadFaults.Inc()
		return
	}
	o.observeLoad(time.Now(), load)
	if events, err := s.worker.CacheEvents(ctx, o.settings.Address, after); err == nil {
		o.observeCacheEvents(events)
	}
}

func (s *Scheduler) handleLeaseRequest(_ context.Context, _ *wire.Conn, q wire.LeaseRequest) (wire.LeaseGrants, error) {
	now := time.Now()
	var out wire.LeaseGrants
	for _, demand := range q.Demands {
		o, found := s.slots.Get(slotKey(demand.Endpoint, demand.Slot))
		if !found {
			continue
		}
		if g, granted := o.grant(now, q.Box.Name, demand); granted {
			out.Grants = append(out.Grants, g)
		}
	}
	leasesGranted.Add(len(out.Grants))
	leasesWithheld.Add(len(q.Demands) - len(out.Grants))
	return out, nil
}
