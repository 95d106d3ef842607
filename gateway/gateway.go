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

// bodyMemoryDivisor divides the box's memory; the quotient bounds the buffered request bodies.
const bodyMemoryDivisor = 6

// Rules are the limits of a gateway.
type Rules struct {
	Retry        core.BudgetRules
	MemoryBytes  int64                 // the box's memory
	FirstProcess bool                  // no process ran on the box before, so its retry budget is unspent
	Cold         routing.ColdAllowance // how far sends to cold endpoints may exceed the declared rate
	Regions      routing.Regions
}

// Gateway proxies requests from callers to endpoints.
type Gateway struct {
	rules              Rules
	protocol           Protocol
	mover              Mover
	onPlaced           func(fleet.Placement)
	onEvacuating       func(fleet.Evacuating)
	onLeaving          func(endpoint string)
	borrowRetries      func(ctx context.Context, service string)
	view               func() *fleet.View
	budgetShare        func() core.BudgetShare
	balancer           *admission.Balancer
	sendGate           *sendGate
	waits              *waitQueue
	box                string // this box's name, for messages about waits
	dial               engine.DialFunc
	pool               *Pool
	log                *zap.Logger
	counters           *counters
	mu                 sync.Mutex       // guards budgets, streams, evacuations, requests and hasEnded
	usualAnswerTimes   durationAverages // time to a whole answer or a first event, by route
	eventIntervals     durationAverages // time between events, by service
	slowdowns          *slowdownReports
	budgets            map[string]*core.SharedBudget       // retry budgets, by service
	streams            map[string]map[*proxiedRequest]bool // running streams, by endpoint ID
	evacuations        map[string]*evacuation              // by the leaving endpoint's ID
	requests           map[*proxiedRequest]context.CancelFunc
	hasEnded           bool // End was called
	unanswered         *unanswered
	reachability       *reachability
	forwarder          *forwarder
	moveTargets        *moveTargets
	notices            *notices
	crashProber        *engine.CrashProber
	quarantine         *fleet.Quarantine
	partQuarantine     *fleet.PartQuarantine
	checkSuspension    func()
	bufferedBytes      atomic.Int64 // of callers' bodies
	answerBytes        atomic.Int64 // of endpoints' answers
	activeRequests     atomic.Int64
	activeForwarded    atomic.Int64              // of them, those that other boxes forwarded
	suspended          atomic.Int64              // how long the machine was suspended since the process began, in ns
	stopAt             atomic.Pointer[time.Time] // the end of a planned stop; nil if none is under way
	lastStreams        atomic.Pointer[time.Time] // from when on a planned stop refuses streams; nil if none is under way
	unannouncedBreakAt atomic.Pointer[time.Time] // when a stream last broke off without notice; nil if none did
}

// Option configures a gateway.
type Option func(*Gateway)

// WithLog sets the log for decisions on requests.
func WithLog(log *zap.Logger) Option {
	return func(g *Gateway) { g.log = log }
}

// WithBudgetShare sets the function that returns this box's place among the boxes that share the
// retry budget.
func WithBudgetShare(budgetShare func() core.BudgetShare) Option {
	return func(g *Gateway) { g.budgetShare = budgetShare }
}

// WithRateShare sets the function that returns how many of an endpoint's units this box may
// use. The units are equal shares of a rate limit or, at a cold endpoint, sends.
func WithRateShare(share func(endpoint string, units int) int) Option {
	return func(g *Gateway) {
		g.sendGate.cold.share = share
		g.sendGate.limits.share = share
		g.sendGate.brittle.share = share
	}
}

// WithLimits sets the rate limits that endpoints announced, to this box or another.
func WithLimits(l *fleet.Limits) Option {
	return func(g *Gateway) { g.sendGate.limits.announced = l }
}

// WithMover sets the client that copies runs between engines; without it, runs aren't moved.
func WithMover(m Mover) Option {
	return func(g *Gateway) { g.mover = m }
}

// WithRetryBorrowing sets the function that requests sends from other boxes' retry budgets
// when this box's share is spent. ReceiveTransfer adds what they grant.
func WithRetryBorrowing(borrowRetries func(ctx context.Context, service string)) Option {
	return func(g *Gateway) { g.borrowRetries = borrowRetries }
}

// WithOnPlaced sets the function that is called with each placement that other boxes are
// notified of.
func WithOnPlaced(onPlaced func(fleet.Placement)) Option {
	return func(g *Gateway) { g.onPlaced = onPlaced }
}

// WithOnEvacuating sets the function that notifies the other boxes of the group about this
// box's runs at leaving engines.
func WithOnEvacuating(onEvacuating func(fleet.Evacuating)) Option {
	return func(g *Gateway) { g.onEvacuating = onEvacuating }
}

// WithOnLeaving sets the function that is called with the ID of each endpoint that announced
// that it leaves.
func WithOnLeaving(onLeaving func(endpoint string)) Option {
	return func(g *Gateway) { g.onLeaving = onLeaving }
}

// WithQuarantine sets the quarantine of requests during which endpoints crashed, here or at
// other boxes.
func WithQuarantine(q *fleet.Quarantine) Option {
	return func(g *Gateway) { g.quarantine = q }
}

// WithPartQuarantine sets the quarantine of parts of prompts at which endpoints crashed, here or at
// other boxes.
func WithPartQuarantine(q *fleet.PartQuarantine) Option {
	return func(g *Gateway) { g.partQuarantine = q }
}

// WithSuspensionCheck sets the function that checks whether the machine was suspended and,
// if so, calls HandleSuspension. It is called before each decision that depends on ages.
func WithSuspensionCheck(checkSuspension func()) Option {
	return func(g *Gateway) { g.checkSuspension = checkSuspension }
}

// WithDial sets the function that opens connections to endpoints.
func WithDial(dial engine.DialFunc) Option {
	return func(g *Gateway) { g.dial = dial }
}

// WithBoxName sets this box's name, by which other boxes know whose requests wait for room.
func WithBoxName(box string) Option {
	return func(g *Gateway) { g.box = box }
}

// New returns a gateway for a box in an availability zone.
func New(zone string, protocol Protocol, view func() *fleet.View, rules Rules, options ...Option) *Gateway {
	g := &Gateway{
		rules:            rules,
		protocol:         protocol,
		view:             view,
		dial:             engine.Dial,
		budgetShare:      func() core.BudgetShare { return core.BudgetShare{Boxes: 1} },
		onPlaced:         func(fleet.Placement) {},
		onEvacuating:     func(fleet.Evacuating) {},
		onLeaving:        func(string) {},
		balancer:         admission.NewBalancer(zone, rand.Float64),
		sendGate:         newSendGate(rules.Cold, fleet.NewLimits(zap.NewNop())),
		log:              zap.NewNop(),
		counters:         newCounters(),
		usualAnswerTimes: newDurationAverages(),
		eventIntervals:   newDurationAverages(),
		slowdowns:        newSlowdownReports(),
		budgets:          make(map[string]*core.SharedBudget),
		streams:          make(map[string]map[*proxiedRequest]bool),

		evacuations:     make(map[string]*evacuation),
		requests:        make(map[*proxiedRequest]context.CancelFunc),
		forwarder:       newForwarder(),
		unanswered:      newUnanswered(),
		notices:         newNotices(),
		quarantine:      fleet.NewQuarantine(zap.NewNop()),
		partQuarantine:  fleet.NewPartQuarantine(zap.NewNop()),
		checkSuspension: func() {},
	}
	g.waits = newWaitQueue(g)
	g.moveTargets = newMoveTargets(g.balancer)
	for _, o := range options {
		o(g)
	}
	g.sendGate.brittle.log = g.log
	g.pool = NewPool(g.dial, g.counters.openedConnections.Inc)
	g.crashProber = engine.NewCrashProber(g.dial)
	g.reachability = newReachability(g.log, g.forwarder.boxes.SetCutOff)
	return g
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.activeRequests.Load()) }

// ServeHTTP proxies one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, nil) }

// serve proxies one request, which another box forwarded if forwarded is not nil.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, forwarded *forwardedRequest) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	g.checkSuspension()
	// A chunked request may also have a Content-Length, which net/http ignores. A proxy in
	// front may not, so the connection is closed lest the rest smuggle another request.
	if g.stopAt.Load() != nil || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	p := &proxiedRequest{
		gateway: g,
		writer:  w,
		request: r,
		start:   time.Now(),
		tried:   make(map[string]bool),

		hasUnreadBody:   r.ContentLength != 0,
		forwarded:       forwarded,
		suspendedBefore: g.suspendedFor(),
	}
	defer g.register(p)()
	p.serve()
	p.ensureEnded()
}

// Sweep closes connections that were idle too long or whose endpoint leaves or is gone, and
// removes expired state.
func (g *Gateway) Sweep(now time.Time) {
	v := g.view()
	g.counters.quarantinedParts.Set(float64(len(g.partQuarantine.Suspects())))
	g.pool.Sweep(now, func(id string) bool {
		e, ok := v.Endpoint(id)
		return ok && !e.Leaving
	})
	g.dropExpiredEvacuations(now)
	g.sendGate.sweep(now)
	g.waits.sweep(now)
	g.forwarder.sweep(now)
	g.probeUnreachable(now)
	g.balancer.DropUnused(now, func(id string) bool {
		_, known := v.Endpoint(id)
		return known
	})
}

// SetGroupEngines sets the engines that the box's group prefers.
func (g *Gateway) SetGroupEngines(engines map[string]bool) { g.balancer.SetGroupEngines(engines) }

// HandleReport handles an engine's load report, made at the given time.
func (g *Gateway) HandleReport(at time.Time, r routing.Report) {
	g.balancer.Memory(at, r)
	g.waits.notify()
}

// HandlePlacement handles a placement update from another box.
func (g *Gateway) HandlePlacement(now time.Time, p fleet.Placement) {
	g.handleRemotePace(now, p)
	switch {
	case p.Waiting != nil:
		g.waits.handleRemote(now, p.Waiting)
	case p.StreamBroken:
		g.recordUnannouncedBreak(now)
	case p.AnswerOverdue:
		g.balancer.Failed(now, p.Endpoint, false)
	case p.RunEnded:
		g.balancer.RunEnded(now, p.Endpoint, p.Tokens, p.HeldTokens)
		g.waits.notify()
	case p.Pace != nil:
	case p.SlowFor > 0:
		g.handleRemoteSpell(now, p)
	case p.Copy:
		g.balancer.AddRemoteCopy(now, p.Endpoint, p.Tokens)
	default:
		tokens := g.balancer.AddRemotePrompt(now, p.Endpoint, p.Tokens)
		g.countRemoteSend(now, p, tokens)
	}
}

// withBudget calls action with a service's retry budget, under the gateway's lock.
func (g *Gateway) withBudget(service string, now time.Time, action func(*core.SharedBudget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = core.NewSharedBudget(now, g.rules.Retry, g.rules.FirstProcess)
		g.budgets[service] = b
	}
	action(b)
}

func (g *Gateway) takeRetry(service string) bool {
	now := time.Now()
	allowed := false
	g.withBudget(service, now, func(b *core.SharedBudget) { allowed = b.Allow(now, g.budgetShare()) })
	if !allowed {
		g.counters.refusedRetries.Inc()
	}
	return allowed
}

// reserveBodyMemory reserves n bytes for a body and reports whether that many were left.
func (g *Gateway) reserveBodyMemory(n int64) bool {
	if g.bufferedBytes.Add(n) > g.rules.MemoryBytes/bodyMemoryDivisor {
		g.bufferedBytes.Add(-n)
		return false
	}
	return true
}
