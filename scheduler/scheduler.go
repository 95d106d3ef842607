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

// The times between what a scheduler does.
const (
	followEvery   = 250 * time.Millisecond
	loadEvery     = 500 * time.Millisecond
	handoverEvery = time.Second
	callTimeout   = time.Second
)

// youngFleet is the age of a fleet in which no owner can have had a lease long
// enough to matter.
const youngFleet = 10 * time.Second

// Scheduler is the endpoints' side of one box.
type Scheduler struct {
	settings   *settings.Box
	self       core.Box
	log        *zap.Logger
	recorder   *trace.Recorder
	state      *watch.State
	handlers   *wire.Handlers
	server     *wire.Server
	pool       *wire.Pool
	worker     engine.Worker
	endpoints  *shard.Map[*endpoint]
	homeLock   sync.Mutex
	home       *core.ClaimOwner
	drainLock  sync.Mutex
	drain      *core.Drain
	basis      basis // of the owners, under drainLock
	owners     *ownership
	successors sync.Map // boxes that took the handover of a planned stop
	left       chan struct{}
	stop       context.CancelFunc
}

// Start starts a scheduler.
func Start(b *settings.Box, log *zap.Logger, worker engine.Worker, recorder *trace.Recorder) (*Scheduler, error) {
	now := time.Now()
	self := core.Box{
		Name:        b.Name,
		Incarnation: core.Incarnation(now.UnixNano()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		settings:  b,
		self:      self,
		log:       log,
		recorder:  recorder,
		state:     watch.NewState(log),
		worker:    engine.WithPanicRecovery(worker, panicSeen(log)),
		endpoints: shard.NewMap[*endpoint](),
		home:      core.NewClaimOwner(self, core.DefaultClaimRules(), now),
		drain:     core.NewDrain(),
		owners:    newOwnership(),
		left:      make(chan struct{}),
		stop:      cancel,
	}
	s.recorder.RecordClaimOwnerStart(now, self, core.DefaultClaimRules())
	s.handlers = wire.NewHandlers(wire.WithVersions(s.state.Versions))
	wire.HandleRequest(s.handlers, s.leaseAsk)
	wire.HandleRequest(s.handlers, s.claimAsk)
	wire.HandleRequest(s.handlers, s.claimSettle)
	wire.HandleRequest(s.handlers, s.handoverAsk)
	wire.HandleRequest(s.handlers, s.handoverGive)
	wire.HandleRequest(s.handlers, s.statusAsk)
	s.pool = wire.NewPool(s.handlers)
	server, err := wire.Listen(b.Scheduler, s.handlers)
	if err != nil {
		cancel()
		return nil, err
	}
	s.server = server
	s.state.OnChange(s.changed)
	watch.Follow(ctx, b.Watch, s.state)
	go every(ctx, followEvery, s.follow)
	go every(ctx, loadEvery, s.readLoads)
	go every(ctx, handoverEvery, s.handoverDue)
	return s, nil
}

// panicSeen counts a worker's panic and logs where it was.
func panicSeen(log *zap.Logger) engine.PanicHandler {
	return func(fault any, stack []byte) {
		workerPanics.Inc()
		log.Error("a worker panicked", zap.Any("fault", fault), zap.ByteString("stack", stack))
	}
}

func every(ctx context.Context, pause time.Duration, do func(context.Context)) {
	tick := time.NewTicker(pause)
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

// Ready says what is missing before leases are granted.
func (s *Scheduler) Ready() string {
	v := s.state.View()
	switch {
	case !s.taking():
		return "draining"
	case v.Document == nil || v.List == nil:
		return "no configuration or list of boxes from this box's watch yet"
	}
	return ""
}

// Status gives the scheduler's part of a box's status.
func (s *Scheduler) Status() any { return s.status() }

func (s *Scheduler) status() wire.SchedulerStatus {
	var out wire.SchedulerStatus
	s.endpoints.Each(func(_ string, e *endpoint) {
		if owner, _ := e.isOwner(); owner {
			out.OwnedSlots = append(out.OwnedSlots, e.status())
		}
	})
	slices.SortFunc(out.OwnedSlots, func(a, b wire.OwnedSlotStatus) int {
		return cmp.Or(strings.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Slot, b.Slot))
	})
	s.homeLock.Lock()
	out.Claims = s.home.Len()
	s.homeLock.Unlock()
	s.drainLock.Lock()
	out.Drain = string(s.drain.State)
	s.drainLock.Unlock()
	return out
}

func (s *Scheduler) statusAsk(context.Context, *wire.Conn, wire.StatusRequest) (wire.SchedulerStatus, error) {
	return s.status(), nil
}

// changed follows a new configuration or list.
func (s *Scheduler) changed(v watch.View) {
	if v.Document != nil {
		s.stepHomeQuiet(core.ClaimGuardSet{Guard: v.Document.Limits.ClaimGuard})
	}
	if v.List != nil {
		s.stepHome(context.Background(), core.ListAdopted{
			List: v.List,
			At:   v.ConfirmedAt,
		})
	}
	s.follow(context.Background())
}

// follow gives the endpoints owned their leaving mark and reading age; owners are
// worked out anew only for a new list or configuration.
func (s *Scheduler) follow(context.Context) {
	v := s.state.View()
	if v.Document == nil || v.List == nil {
		return
	}
	now := time.Now()
	s.stepHomeQuiet(core.ListConfirmed{
		Version: v.List.Version,
		At:      v.ConfirmedAt,
	})
	if s.basisChanged(v) {
		s.reassign(now, v)
	}
	s.endpoints.Each(func(_ string, e *endpoint) { s.followOne(now, v, e) })
}

// basis is what owners are worked out from.
type basis struct {
	list     *core.List
	document *config.Document
	taking   bool
}

func (s *Scheduler) basisChanged(v watch.View) bool {
	s.drainLock.Lock()
	defer s.drainLock.Unlock()
	next := basis{
		list:     v.List,
		document: v.Document,
		taking:   s.drain.Accepting(),
	}
	changed := next != s.basis
	s.basis = next
	return changed
}

// reassign takes and loses halves.
func (s *Scheduler) reassign(now time.Time, v watch.View) {
	taking := s.taking()
	mine := make(map[string]bool)
	next := newSuccession(v.List, s.settings.Name)
	for _, c := range v.Document.Endpoints {
		for slot := range core.SlotCount {
			owner, fresh := s.owners.of(now, next, &c, slot)
			if owner != s.settings.Name || !taking {
				continue
			}
			key := slotKey(c.Name, slot)
			mine[key] = true
			e := s.endpoints.GetOrCreate(key, func() *endpoint { return newEndpoint(c, slot) })
			e.configure(c)
			e.own(now, true, fresh)
		}
	}
	s.endpoints.Each(func(key string, e *endpoint) {
		if !mine[key] {
			e.own(now, false, false)
			s.endpoints.Delete(key)
		}
	})
}

func (s *Scheduler) followOne(now time.Time, v watch.View, e *endpoint) {
	e.follow(now, v.List.Leaving(e.name), v.ConfirmedAt)
	if s.owners.gone(now, v.List, e.name, e.slot, e.foreign()) {
		e.predecessorGone(now)
	}
}

// readLoads reads the load and the cache events of the endpoints it owns.
func (s *Scheduler) readLoads(ctx context.Context) {
	s.endpoints.Each(func(_ string, e *endpoint) {
		owner, after := e.isOwner()
		if !owner {
			return
		}
		go s.readLoad(ctx, e, after)
	})
}

func (s *Scheduler) readLoad(ctx context.Context, e *endpoint, after int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := s.worker.Load(ctx, e.settings.Address)
	if err != nil {
		loadFaults.Inc()
		return
	}
	e.loaded(time.Now(), load)
	if events, err := s.worker.CacheEvents(ctx, e.settings.Address, after); err == nil {
		e.cached(events)
	}
}

func (s *Scheduler) leaseAsk(_ context.Context, _ *wire.Conn, q wire.LeaseRequest) (wire.LeaseGrants, error) {
	now := time.Now()
	var out wire.LeaseGrants
	for _, w := range q.Demands {
		e, known := s.endpoints.Get(slotKey(w.Endpoint, w.Slot))
		if !known {
			continue
		}
		if g, granted := e.grant(now, q.Box.Name, w); granted {
			out.Grants = append(out.Grants, g)
		}
	}
	leasesGranted.Add(len(out.Grants))
	leasesWithheld.Add(len(q.Demands) - len(out.Grants))
	return out, nil
}
