package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// bufferPart is the part of a box's memory that request bodies may take.
const bufferPart = 6

// Rules bound what a gateway holds and spends.
type Rules struct {
	Retry        core.BudgetRules
	MemoryBytes  int64 // of the box
	FirstProcess bool  // no process ran on the box before, which may have spent its budget
	Cold         routing.ColdAllowance
	Regions      routing.Regions
}

// Gateway carries requests between callers and endpoints.
type Gateway struct {
	rules        Rules
	protocol     Protocol
	mover        Mover
	onPlaced     func(fleet.Placement)
	onEvacuating func(fleet.Evacuating)
	onLeaving    func(endpoint string)
	borrow       func(ctx context.Context, service string)
	view         func() *fleet.View
	boxes        func() int
	spread       *admission.Balancer
	gate         *gate
	pool         *Pool
	log          *zap.Logger
	counts       *counts
	mu           sync.Mutex
	usual        usualTimes // to the begin of an answer, by route
	paces        usualTimes // between events, by service
	budgets      map[string]*core.SharedBudget
	streams      map[string]map[*passage]bool // by the endpoint that runs them
	evacuations  map[string]*evacuation       // by the endpoint that leaves
	presences    *engine.CrashProber
	quarantine   *fleet.Quarantine
	look         func()
	buffered     atomic.Int64
	active       atomic.Int64
	suspended    atomic.Int64              // nanoseconds, since the process began
	stopAt       atomic.Pointer[time.Time] // when the box will have ended, in a planned stop; nil for none
	brokeAt      atomic.Pointer[time.Time] // when a stream last broke off unannounced; nil for never
}

// Option changes how a gateway is built.
type Option func(*Gateway)

// WithLog gives the log for decisions on requests.
func WithLog(log *zap.Logger) Option {
	return func(g *Gateway) { g.log = log }
}

// WithBoxes tells how many boxes share the retry budget.
func WithBoxes(boxes func() int) Option {
	return func(g *Gateway) { g.boxes = boxes }
}

// WithRateShare gives this box's share of the sends that an endpoint takes in a while from
// all boxes together.
func WithRateShare(share func(endpoint string, units int) int) Option {
	return func(g *Gateway) {
		g.gate.cold.share = share
		g.gate.limits.share = share
	}
}

// WithLimits gives what is known, here and at other boxes, of the limits that endpoints
// name.
func WithLimits(l *fleet.Limits) Option {
	return func(g *Gateway) { g.gate.limits.named = l }
}

// WithMover copies runs between engines; without it no run is copied.
func WithMover(m Mover) Option {
	return func(g *Gateway) { g.mover = m }
}

// WithRetryBorrowing asks other boxes for sends when a stream needs one and this box's
// part of the budget is spent; what they give comes by Borrowed.
func WithRetryBorrowing(borrow func(ctx context.Context, service string)) Option {
	return func(g *Gateway) { g.borrow = borrow }
}

// WithOnPlaced is called with each prompt, and each copy, that is sent to an
// engine.
func WithOnPlaced(onPlaced func(fleet.Placement)) Option {
	return func(g *Gateway) { g.onPlaced = onPlaced }
}

// WithOnEvacuating is called with what the other boxes of the group must know of
// this box's runs at engines that leave.
func WithOnEvacuating(onEvacuating func(fleet.Evacuating)) Option {
	return func(g *Gateway) { g.onEvacuating = onEvacuating }
}

// WithOnLeaving is called with each endpoint whose answer says that it leaves.
func WithOnLeaving(onLeaving func(endpoint string)) Option {
	return func(g *Gateway) { g.onLeaving = onLeaving }
}

// WithQuarantine gives what is known, here and at other boxes, of requests under which
// endpoints ended.
func WithQuarantine(q *fleet.Quarantine) Option {
	return func(g *Gateway) { g.quarantine = q }
}

// WithSuspensionCheck gives what looks whether the machine was suspended and calls Suspended if it
// was; it is called before each decision that goes by ages.
func WithSuspensionCheck(look func()) Option {
	return func(g *Gateway) { g.look = look }
}

// New builds a gateway in an availability zone.
func New(zone string, protocol Protocol, view func() *fleet.View, rules Rules, options ...Option) *Gateway {
	g := &Gateway{
		rules:        rules,
		protocol:     protocol,
		view:         view,
		boxes:        func() int { return 1 },
		onPlaced:     func(fleet.Placement) {},
		onEvacuating: func(fleet.Evacuating) {},
		onLeaving:    func(string) {},
		spread:       admission.NewBalancer(zone, rand.Float64),
		gate:         newGate(rules.Cold, fleet.NewLimits(zap.NewNop())),
		log:          zap.NewNop(),
		counts:       newCounts(),
		usual:        newUsualTimes(),
		paces:        newUsualTimes(),
		budgets:      make(map[string]*core.SharedBudget),
		streams:      make(map[string]map[*passage]bool),

		evacuations: make(map[string]*evacuation),
		presences:   engine.NewCrashProber(),
		quarantine:  fleet.NewQuarantine(zap.NewNop()),
		look:        func() {},
	}
	g.pool = NewPool(g.counts.connections.Inc)
	for _, o := range options {
		o(g)
	}
	return g
}

// Active counts the requests under way.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// ServeHTTP carries one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.look()
	// A length beside chunks is dropped by the library; who reads by the length
	// sees another request in what follows, so that nothing may follow.
	if g.stopAt.Load() != nil || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	p := &passage{
		gateway: g,
		writer:  w,
		request: r,
		start:   time.Now(),
		tried:   make(map[string]bool),

		suspended: g.suspendedFor(),
	}
	p.serve()
}

// Sweep closes connections that rested too long or lead to endpoints that are
// gone.
func (g *Gateway) Sweep(now time.Time) {
	v := g.view()
	g.pool.Sweep(now, func(id string) bool {
		e, ok := v.Endpoint(id)
		return ok && !e.Leaving
	})
	g.dropPlans(now)
	g.gate.sweep(now)
}

// SetGroupEngines tells which engines the box's group uses first.
func (g *Gateway) SetGroupEngines(share map[string]bool) { g.spread.SetGroupEngines(share) }

// HandleReport takes an engine's report and when it was true.
func (g *Gateway) HandleReport(at time.Time, r routing.Report) { g.spread.Memory(at, r) }

// HandlePlacement takes what another box sent to an engine.
func (g *Gateway) HandlePlacement(now time.Time, p fleet.Placement) {
	switch {
	case p.StreamBroken:
		g.brokeOff(now)
	case p.AnswerOverdue:
		g.spread.Failed(now, p.Endpoint, false)
	case p.RunEnded:
		g.spread.RunEnded(now, p.Endpoint, p.Tokens, p.HeldTokens)
	case p.Copy:
		g.spread.AddRemoteCopy(now, p.Endpoint, p.Tokens)
	default:
		g.spread.AddRemotePrompt(now, p.Endpoint, p.Tokens)
	}
}

// budget runs an action on a service's part of the retry budget.
func (g *Gateway) budget(service string, now time.Time, action func(*core.SharedBudget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = core.NewSharedBudget(now, g.rules.Retry, g.rules.FirstProcess)
		g.budgets[service] = b
	}
	action(b)
}

func (g *Gateway) mayRepeat(service string) bool {
	now := time.Now()
	allowed := false
	g.budget(service, now, func(b *core.SharedBudget) { allowed = b.Allow(now, g.boxes()) })
	if !allowed {
		g.counts.overBudget.Inc()
	}
	return allowed
}

// reserve takes memory for a body, or tells that there is none left.
func (g *Gateway) reserve(n int64) bool {
	if g.buffered.Add(n) > g.rules.MemoryBytes/bufferPart {
		g.buffered.Add(-n)
		return false
	}
	return true
}
