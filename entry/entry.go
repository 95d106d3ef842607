package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/settings"
	"dillsaddle.example/dillsaddle/shard"
	"dillsaddle.example/dillsaddle/trace"
	"dillsaddle.example/dillsaddle/watch"
	"dillsaddle.example/dillsaddle/wire"
)

// maxHeader limits the size of a request's headers, in bytes.
const maxHeader = 64 << 10

// Entry serves the callers of one box.
type Entry struct {
	settings          *settings.Box
	self              core.Box
	log               *zap.Logger
	recorder          *trace.Recorder
	state             *watch.State
	http              *server.Hertz
	handlers          *wire.Handlers
	pool              *wire.Pool
	worker            engine.Worker
	services          *serviceClient
	models            *shard.Map[*model]
	customers         *shard.Map[*customer]
	calls             *shard.Map[*call]            // by stream ID
	ownerIncarnations *shard.Map[core.Incarnation] // latest known incarnation of each claim owner
	latencies         *shard.Map[*latencyTracker]  // by service
	owners            watch.Owners
	leaseByteBudget   leaseByteBudget

	crashProber *engine.CrashProber
	quarantine  *fleet.Quarantine
	wasReady    atomic.Bool // every served model has had a lease
	drainLock   sync.Mutex
	drain       *core.Drain
	active      int // requests in progress; guarded by drainLock
	exited      chan struct{}
	stop        context.CancelFunc
}

// Start starts an entry and its HTTP server.
func Start(b *settings.Box, log *zap.Logger, worker engine.Worker, recorder *trace.Recorder) (*Entry, error) {
	services, err := newServiceClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings: b,
		self: core.Box{
			Name:        b.Name,
			Incarnation: core.Incarnation(time.Now().UnixNano()),
		},
		log:               log,
		recorder:          recorder,
		state:             watch.NewState(log),
		worker:            engine.WithPanicRecovery(worker, panicLogger(log, "worker")),
		services:          services,
		models:            shard.NewMap[*model](),
		customers:         shard.NewMap[*customer](),
		calls:             shard.NewMap[*call](),
		ownerIncarnations: shard.NewMap[core.Incarnation](),
		latencies:         shard.NewMap[*latencyTracker](),
		drain:             core.NewDrain(),
		exited:            make(chan struct{}),
		stop:              cancel,

		crashProber: engine.NewCrashProber(engine.Dial),
		quarantine:  fleet.NewQuarantine(log),
	}
	e.handlers = wire.NewHandlers(wire.WithVersions(e.state.Versions))
	e.pool = wire.NewPool(e.handlers)
	e.state.OnChange(e.applyView)
	watch.Follow(ctx, b.Watch, e.state)
	go e.renewLeases(ctx)
	callers, err := net.Listen("tcp", b.Entry.String())
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "listen for callers; free the port or change the setting entry")
	}
	e.http = e.routes(callers)
	go func() { _ = e.http.Run() }()
	return e, nil
}

func (e *Entry) routes(callers net.Listener) *server.Hertz {
	h := server.New(
		server.WithListener(callerListener{Listener: callers}),
		server.WithOnAccept(withConn),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithStreamBody(true),
		server.WithMaxHeaderBytes(maxHeader),
		server.WithUseRawPath(true),
		server.WithExitWaitTime(0),
	)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(e.handlePanic)))
	h.POST("/v1/chat/completions", e.handleCompletion(true))
	h.POST("/v1/completions", e.handleCompletion(false))
	h.GET("/v1/models", e.listModels)
	h.GET("/v1/streams/:id", e.continueStream)
	h.DELETE("/v1/streams/:id", e.cancelStream)
	h.Any("/v1/services/:name", e.handleServiceCall)
	h.Any("/v1/services/:name/*path", e.handleServiceCall)
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		newRejection(http.StatusNotFound, "unknown_path", "this path is not served; docs/API.md lists the paths").answer(c)
	})
	return h
}

// handlePanic answers a request whose handler panicked. Other requests are not affected.
func (e *Entry) handlePanic(_ context.Context, c *app.RequestContext, fault any, stack []byte) {
	panicLogger(e.log, "handler")(fault, stack)
	(&Problem{
		Status:  http.StatusInternalServerError,
		Code:    "internal_error",
		Message: "the request failed inside this box; try again and report it if it recurs",
		Outcome: core.Unknown,
	}).answer(c)
}

// panicLogger returns a callback that counts and logs panics in the named component.
func panicLogger(log *zap.Logger, component string) engine.PanicHandler {
	return func(fault any, stack []byte) {
		panics.Inc()
		log.Error("request "+component+" panicked; other requests continue", zap.Any("fault", fault), zap.ByteString("stack", stack))
	}
}

// Ready returns the reason why the entry can't serve streams yet, or "" if it can.
func (e *Entry) Ready() string {
	if !e.isAccepting() {
		return "draining"
	}
	v := e.state.View()
	if v.Document == nil || v.List == nil {
		return "no configuration or list of boxes from this box's watch yet"
	}
	if e.wasReady.Load() {
		return "" // a box that loses an endpoint later remains ready
	}
	for i := range v.Document.Models {
		name := v.Document.Models[i].Name
		if v.Document.Serves(name) && !e.modelOf(name).hasLease(time.Now()) {
			return "no lease on an endpoint of model " + name + " yet"
		}
	}
	e.wasReady.Store(true)
	return ""
}

// beginRequest authenticates a request and counts it as active, or returns a problem.
// endRequest must be called unless it returns a problem.
func (e *Entry) beginRequest(ctx context.Context, c *app.RequestContext) (*config.Document, *config.Customer, *Problem) {
	e.drainLock.Lock()
	accepting := e.drain.Accepting()
	if accepting {
		e.active++
	}
	e.drainLock.Unlock()
	if !accepting {
		return nil, nil, newRefusal(http.StatusServiceUnavailable, "draining", "this box is being stopped; ask again and the balancer picks another", time.Second)
	}
	d := e.state.View().Document
	if d == nil {
		e.endRequest()
		return nil, nil, newRefusal(http.StatusServiceUnavailable, "not_ready", "this box has no configuration yet; ask again shortly", time.Second)
	}
	connOf(ctx).stallTimeout.Store(int64(d.Limits.SlowCallerTimeout))
	key := bearerToken(c)
	customerConfig := d.Authenticate(key)
	if customerConfig == nil {
		e.endRequest()
		return nil, nil, newRejection(http.StatusUnauthorized, "invalid_api_key", "no customer has this key; send Authorization: Bearer KEY with a published key")
	}
	return d, customerConfig, nil
}

// endRequest ends a request that beginRequest has counted as active.
func (e *Entry) endRequest() {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	e.active--
}

const bearerPrefix = "Bearer "

func bearerToken(c *app.RequestContext) string {
	value := string(c.GetHeader("Authorization"))
	if len(value) <= len(bearerPrefix) || value[:len(bearerPrefix)] != bearerPrefix {
		return ""
	}
	return value[len(bearerPrefix):]
}

func (e *Entry) customerOf(c *config.Customer) *customer {
	return e.customers.GetOrCreate(c.Name, func() *customer { return newCustomer(c.RetryBudget) })
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) listModels(ctx context.Context, c *app.RequestContext) {
	d, _, problem := e.beginRequest(ctx, c)
	if problem != nil {
		problem.answer(c)
		return
	}
	defer e.endRequest()
	list := modelList{Object: "list"}
	for i := range d.Models {
		list.Data = append(list.Data, modelItem{
			ID:      d.Models[i].Name,
			Object:  "model",
			OwnedBy: "operator",
		})
	}
	c.Response.Header.Set(outcomeHeader, string(core.Ran))
	c.JSON(http.StatusOK, list)
}
