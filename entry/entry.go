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

// maxHeader bounds a caller's headers, in bytes.
const maxHeader = 64 << 10

// Entry is the callers' side of one box.
type Entry struct {
	settings  *settings.Box
	self      core.Box
	log       *zap.Logger
	recorder  *trace.Recorder
	state     *watch.State
	http      *server.Hertz
	handlers  *wire.Handlers
	pool      *wire.Pool
	worker    engine.Worker
	services  *serviceClient
	models    *shard.Map[*model]
	customers *shard.Map[*customer]
	calls     *shard.Map[*call]
	homes     *shard.Map[core.Incarnation]
	answers   *shard.Map[*answerTimes]
	owners    watch.Owners
	credit    credit

	presences  *engine.CrashProber
	quarantine *fleet.Quarantine
	served     atomic.Bool // every model that is served had a lease once
	drainLock  sync.Mutex
	drain      *core.Drain
	work       int
	left       chan struct{}
	stop       context.CancelFunc
}

// Start starts an entry.
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
		log:       log,
		recorder:  recorder,
		state:     watch.NewState(log),
		worker:    engine.WithPanicRecovery(worker, panicSeen(log, "worker")),
		services:  services,
		models:    shard.NewMap[*model](),
		customers: shard.NewMap[*customer](),
		calls:     shard.NewMap[*call](),
		homes:     shard.NewMap[core.Incarnation](),
		answers:   shard.NewMap[*answerTimes](),
		drain:     core.NewDrain(),
		left:      make(chan struct{}),
		stop:      cancel,

		presences:  engine.NewCrashProber(),
		quarantine: fleet.NewQuarantine(log),
	}
	e.handlers = wire.NewHandlers(wire.WithVersions(e.state.Versions))
	e.pool = wire.NewPool(e.handlers)
	e.state.OnChange(e.changed)
	watch.Follow(ctx, b.Watch, e.state)
	go e.renewLeases(ctx)
	callers, err := net.Listen("tcp", b.Entry.String())
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "listen for callers; free the address or change the setting entry")
	}
	e.http = e.routes(callers)
	go func() { _ = e.http.Run() }()
	return e, nil
}

func (e *Entry) routes(callers net.Listener) *server.Hertz {
	h := server.New(
		server.WithListener(callerListener{Listener: callers}),
		server.WithOnAccept(withLink),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithStreamBody(true),
		server.WithMaxHeaderBytes(maxHeader),
		server.WithUseRawPath(true),
		server.WithExitWaitTime(0),
	)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(e.recovered)))
	h.POST("/v1/chat/completions", e.complete(true))
	h.POST("/v1/completions", e.complete(false))
	h.GET("/v1/models", e.listModels)
	h.GET("/v1/streams/:id", e.continueStream)
	h.DELETE("/v1/streams/:id", e.cancelStream)
	h.Any("/v1/services/:name", e.passCall)
	h.Any("/v1/services/:name/*path", e.passCall)
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		invalid(http.StatusNotFound, "unknown_path", "this path is not served; docs/API.md lists the paths").answer(c)
	})
	return h
}

// recovered ends one request whose handler panicked, and that request alone.
func (e *Entry) recovered(_ context.Context, c *app.RequestContext, fault any, stack []byte) {
	panicSeen(e.log, "handler")(fault, stack)
	(&Problem{
		Status:  http.StatusInternalServerError,
		Code:    "internal_error",
		Message: "the request failed inside this box; try again and report it if it recurs",
		Outcome: core.Unknown,
	}).answer(c)
}

// panicSeen counts a panic and logs where it was.
func panicSeen(log *zap.Logger, where string) engine.PanicHandler {
	return func(fault any, stack []byte) {
		panics.Inc()
		log.Error("a request's "+where+" panicked", zap.Any("fault", fault), zap.ByteString("stack", stack))
	}
}

// Ready says what is missing before a stream can be served.
func (e *Entry) Ready() string {
	if !e.taking() {
		return "draining"
	}
	v := e.state.View()
	if v.Document == nil || v.List == nil {
		return "no configuration or list of boxes from this box's watch yet"
	}
	if e.served.Load() {
		return "" // an endpoint that is lost later is no reason to send callers elsewhere
	}
	for i := range v.Document.Models {
		name := v.Document.Models[i].Name
		if v.Document.Serves(name) && !e.modelOf(name).leased(time.Now()) {
			return "no lease on an endpoint of model " + name + " yet"
		}
	}
	e.served.Store(true)
	return ""
}

// enter starts a caller's request, or says why not.
func (e *Entry) enter(ctx context.Context, c *app.RequestContext) (*config.Document, *config.Customer, *Problem) {
	e.drainLock.Lock()
	taking := e.drain.Accepting()
	if taking {
		e.work++
	}
	e.drainLock.Unlock()
	if !taking {
		return nil, nil, refused(http.StatusServiceUnavailable, "draining", "this box is being stopped; ask again and the balancer picks another", time.Second)
	}
	d := e.state.View().Document
	if d == nil {
		e.exit()
		return nil, nil, refused(http.StatusServiceUnavailable, "not_ready", "this box has no configuration yet; ask again shortly", time.Second)
	}
	linkOf(ctx).patience.Store(int64(d.Limits.SlowCallerTimeout))
	key := bearer(c)
	who := d.Authenticate(key)
	if who == nil {
		e.exit()
		return nil, nil, invalid(http.StatusUnauthorized, "invalid_api_key", "no customer has this key; send Authorization: Bearer KEY with a published key")
	}
	return d, who, nil
}

// exit ends what enter started.
func (e *Entry) exit() {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	e.work--
}

const bearerPrefix = "Bearer "

func bearer(c *app.RequestContext) string {
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
	d, _, problem := e.enter(ctx, c)
	if problem != nil {
		problem.answer(c)
		return
	}
	defer e.exit()
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
