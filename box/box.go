package box

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/clock"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/eventlog"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// upkeepInterval is the interval of the periodic housekeeping.
	upkeepInterval = 250 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for changes
	// made without a signal.
	settingsPollInterval = 2 * time.Second
	// retryBudgetSafety is the fraction of the retry budget that boxes spend. The
	// margin covers windows and box counts that differ slightly between boxes.
	retryBudgetSafety = 0.85
	// balancerDelay is how long the balancer may keep opening connections to a box
	// that reports not ready: two readiness checks, a second apart, plus a margin.
	balancerDelay = 2500 * time.Millisecond
	// killMargin is the time left before the kill when a planned stop ends.
	killMargin = 350 * time.Millisecond
	// answerTime is the time before that in which requests without an answer are refused.
	answerTime = 200 * time.Millisecond
	// logFlushTimeout bounds the final flush when the log's reader is slow.
	logFlushTimeout = 100 * time.Millisecond
	// maxLoggedIDs bounds the endpoint IDs listed in one log line.
	maxLoggedIDs = 64
	// readHeaderTimeout and callerIdleTimeout apply to callers' connections before a
	// configuration is loaded.
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes is a hard limit far above the configured one, which the gateway
	// enforces.
	maxHeaderBytes = 64 << 10
)

// Box is a running box: its servers, its view of the fleet and its background tasks.
type Box struct {
	options  *Options
	settings *platform.Settings
	log      *zap.Logger
	sink     *eventlog.Sink
	state    *fleet.State
	peers    *fleet.Peers
	gateway  *gateway.Gateway
	clock    *clock.SuspensionDetector

	dialEndpoint   engine.DialFunc
	quarantine     *fleet.Quarantine
	partQuarantine *fleet.PartQuarantine
	limits         *fleet.Limits
	callers        *callerConns
	frontServer    *http.Server
	cancel         context.CancelFunc
	stopOnce       sync.Once
	stopping       atomic.Bool
	done           chan struct{}
	reloads        chan struct{}
	settingsDigest uint64 // hash of the settings file as last read
}

// Option configures a box.
type Option func(*Box)

// WithEndpointDial sets the function that opens connections to endpoints.
func WithEndpointDial(dial engine.DialFunc) Option {
	return func(b *Box) { b.dialEndpoint = dial }
}

// Start starts a box with the given settings.
func Start(o *Options, s *platform.Settings, log *zap.Logger, sink *eventlog.Sink, options ...Option) (*Box, error) {
	b := &Box{
		options:  o,
		settings: s,
		log:      log,
		sink:     sink,
		done:     make(chan struct{}),
		reloads:  make(chan struct{}, 1),

		dialEndpoint: engine.Dial,
	}
	for _, option := range options {
		option(b)
	}
	log.Info("start",
		zap.String("box", s.Box),
		zap.String("zone", s.Zone),
		zap.Stringer("front", s.Front),
		zap.Stringer("store", s.Store),
		zap.Bool("first", s.FirstStart),
	)
	b.clock = clock.New(b.handleSuspension, clock.WithErrorHandler(func(err error) { log.Warn("machine suspensions can't be detected", zap.Error(err)) }))
	b.state = fleet.NewState(fleet.WithOnChange(b.handleChange))
	engines := platform.NewEngineClient(platform.WithOnNotice(b.handleNotice), platform.WithEngineDial(b.dialEndpoint))
	reports := fleet.NewLoadReports(engines, b.state, log.Named("reports"), b.handleReport, fleet.WithLoadQueryFilter(b.allowLoadQuery))
	b.quarantine = fleet.NewQuarantine(log.Named("quarantine"))
	b.partQuarantine = fleet.NewPartQuarantine(log.Named("quarantine"))
	b.limits = fleet.NewLimits(log.Named("limits"))
	peers, err := fleet.NewPeers(core.Peer{
		Box:        s.Box,
		Zone:       s.Zone,
		Address:    s.Peer,
		InstanceID: rand.Uint64(),
		LinkMbps:   s.LinkMbps,
	}, s.Seeds, b.state, fleet.WithPeersLog(log.Named("peers")), fleet.WithLoadReports(reports), fleet.WithPlacementHandler(b.handlePlacement), fleet.WithBoxGoneHandler(b.handleBoxGone), fleet.WithEvacuationHandler(b.handleEvacuating), fleet.WithQuarantine(b.quarantine), fleet.WithPartQuarantine(b.partQuarantine), fleet.WithLimits(b.limits), fleet.WithSuspensionCheck(b.clock.Check), fleet.WithForwardedHandler(http.HandlerFunc(b.serveForwarded)))
	if err != nil {
		return nil, err
	}
	b.peers = peers
	protocol := platform.Protocol{}
	b.gateway = gateway.New(s.Zone, protocol, b.state.View, gateway.Rules{
		Retry: core.BudgetRules{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: s.RetryWindow,
			Safety: retryBudgetSafety,
		},
		MemoryBytes:  s.MemoryBytes,
		FirstProcess: s.FirstStart,
		Cold:         s.Cold,
		Regions:      s.Regions,
	},
		gateway.WithLog(log.Named("gateway")),
		gateway.WithMover(engines),
		gateway.WithDial(b.dialEndpoint),
		gateway.WithBudgetShare(b.peers.BudgetShare),
		gateway.WithRateShare(b.peers.RateShare),
		gateway.WithOnPlaced(b.peers.BroadcastPlacement),
		gateway.WithBoxName(s.Box),
		gateway.WithOnEvacuating(b.peers.BroadcastEvacuating),
		gateway.WithOnLeaving(b.peers.ReportLeaving),
		gateway.WithRetryBorrowing(b.peers.BorrowRetries),
		gateway.WithForwarding(b.peers),
		gateway.WithQuarantine(b.quarantine),
		gateway.WithPartQuarantine(b.partQuarantine),
		gateway.WithLimits(b.limits),
		gateway.WithSuspensionCheck(b.clock.Check),
	)
	b.peers.SetRetryBudgets(b.gateway)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.reload("start")
	if err := b.listen(); err != nil {
		return nil, err
	}
	watcher := fleet.NewStoreWatcher(b.newStoreClient(), b.state, s.ChangeBound(),
		fleet.WithStoreWatcherLog(log.Named("store")),
		fleet.WithReaderRank(b.peers.ReaderRank),
		fleet.WithStartupPeers(b.peers, s.FirstStart),
		fleet.WithOnUpdate(b.peers.BroadcastUpdate),
		fleet.WithOnStoreCall(countStoreCall),
	)
	go watcher.Run(ctx)
	go b.peers.Run(ctx)
	go reports.Run(ctx)
	go b.runUpkeep(ctx)
	return b, nil
}

// newStoreClient returns a client of the platform's store.
func (b *Box) newStoreClient() *platform.Store {
	return platform.NewStore(b.settings.Store, platform.WithOnResponse(b.logStoreResponse), platform.WithOnInvalidEntry(b.logInvalidEntry))
}

// handleChange logs a change of the cached state and passes it to the gateway.
func (b *Box) handleChange(c fleet.Change) {
	fields := []zap.Field{
		zap.Uint64("era", c.Revision.Era()),
		zap.Uint64("revision", c.Revision.Number()),
		zap.String("from", c.Source),
	}
	switch c.Kind {
	case fleet.ConfigurationActivated:
		waited := c.PropagationDelay(time.Now())
		configDelay.Update(waited.Seconds())
		fields = append(fields, zap.Uint64("version", c.Version), zap.Int("routes", c.Routes), zap.Duration("waited", waited))
	case fleet.ZoneDrained, fleet.ZoneDrainEnded:
		fields = append(fields, zap.String("drained_zone", c.Zone))
	case fleet.StoreRestored:
		storeRestores.Inc()
		fields = append(fields, zap.Uint64("era_before", c.PreviousRevision.Era()), zap.Uint64("revision_before", c.PreviousRevision.Number()))
	case fleet.EndpointListLoaded:
		fields = append(fields, zap.Int("count", c.EndpointCount))
	case fleet.EndpointJoined:
		fields = append(fields, zap.Int("count", len(c.JoinedIDs)), zap.Strings("endpoints", c.JoinedIDs[:min(len(c.JoinedIDs), maxLoggedIDs)]))
	default:
		fields = append(fields, zap.String("endpoint", c.Endpoint.ID), zap.String("service", c.Endpoint.Service))
	}
	b.log.Info(string(c.Kind), fields...)
	if b.gateway != nil {
		b.gateway.HandleChange(c)
	}
}

// handleSuspension corrects all ages by the time that the machine was suspended, during
// which the monotonic clock stood still.
func (b *Box) handleSuspension(d time.Duration) {
	b.log.Warn("machine was suspended; all ages are corrected", zap.Duration("for", d))
	if b.gateway != nil {
		b.gateway.HandleSuspension(d)
		b.peers.HandleSuspension(d)
	}
}

// handlePlacement passes another box's placement to the gateway.
func (b *Box) handlePlacement(now time.Time, p fleet.Placement) {
	if b.gateway != nil {
		b.gateway.HandlePlacement(now, p)
	}
}

// handleBoxGone passes the loss of another box to the gateway.
func (b *Box) handleBoxGone(box string) {
	if b.gateway != nil {
		b.gateway.HandleBoxGone(box)
	}
}

// handleEvacuating passes another box's evacuation of a leaving engine to the gateway.
func (b *Box) handleEvacuating(now time.Time, e fleet.Evacuating) {
	if b.gateway != nil {
		b.gateway.Evacuating(now, e)
	}
}

// serveForwarded passes a request that another box forwarded to the gateway.
func (b *Box) serveForwarded(w http.ResponseWriter, r *http.Request) {
	if b.gateway == nil {
		http.NotFound(w, r)
		return
	}
	b.gateway.ServeForwarded(w, r)
}

// handleNotice passes the notice in an engine's response to the gateway.
func (b *Box) handleNotice(e routing.Endpoint, n gateway.Notice) {
	if b.gateway != nil {
		b.gateway.HandleNotice(time.Now(), e, n)
	}
}

// allowLoadQuery reports whether an engine's load may be queried now.
func (b *Box) allowLoadQuery(e routing.Endpoint) bool {
	return b.gateway == nil || b.gateway.AllowLoadQuery(time.Now(), e)
}

// handleReport passes an engine's load report to the gateway.
func (b *Box) handleReport(at time.Time, r routing.Report) {
	if b.gateway != nil {
		b.gateway.HandleReport(at, r)
	}
}

// runUpkeep does the periodic housekeeping and reloads the settings until ctx is done.
func (b *Box) runUpkeep(ctx context.Context) {
	t := time.NewTicker(upkeepInterval)
	defer t.Stop()
	lastPoll := time.Now()
	for {
		select {
		case now := <-t.C:
			b.clock.Check()
			b.state.DropExpired(now)
			b.gateway.Sweep(now)
			b.updateGroupEngines()
			if now.Sub(lastPoll) >= settingsPollInterval {
				lastPoll = now
				b.reload("the file changed")
			}
		case <-b.reloads:
			b.reload("SIGHUP")
		case <-ctx.Done():
			return
		}
	}
}

// updateGroupEngines sets the engines that this box's group prefers.
func (b *Box) updateGroupEngines() {
	if engines := b.peers.PreferredEndpoints(b.state.View()); engines != nil {
		b.gateway.SetGroupEngines(engines)
	}
}

// Reload requests a reload of the settings file.
func (b *Box) Reload() {
	select {
	case b.reloads <- struct{}{}:
	default: // a reload is already pending
	}
}

// reload reads the settings file and applies its seeds if its text changed. Other
// settings apply at the next start only.
func (b *Box) reload(why string) {
	text, err := os.ReadFile(b.options.Settings)
	if err != nil {
		b.log.Error("settings file can't be read; the previous settings stay active", zap.Error(err))
		return
	}
	settingsDigest := xxhash.Sum64(text)
	if settingsDigest == b.settingsDigest {
		return
	}
	b.settingsDigest = settingsDigest
	s, err := platform.ParseSettings(text)
	if err != nil {
		b.log.Error("settings file is invalid; the previous settings stay active", zap.String("why", why), zap.Error(err))
		return
	}
	b.peers.SetSeeds(s.Seeds)
	b.log.Info("settings loaded", zap.String("why", why), zap.Int("seeds", len(s.Seeds)))
}
