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
	"dillsaddle.example/dillsaddle/eventlog"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// upkeepEvery spaces the box's housekeeping.
	upkeepEvery = 250 * time.Millisecond
	// settingsEvery spaces the looks at the settings file, which may change
	// without a signal.
	settingsEvery = 2 * time.Second
	// retrySafety is the part of the retry budget that boxes spend: their
	// windows and their counts of each other don't agree to the last request.
	retrySafety = 0.85
	// balancerTime is how long the balancer may still send new connections to
	// a box that says it isn't ready: two questions, a second apart, and a bit.
	balancerTime = 2500 * time.Millisecond
	// graceMargin is kept to the kill at the end of a planned stop.
	graceMargin = 350 * time.Millisecond
	// logFlush bounds the wait for a slow reader of the log at the end.
	logFlush = 100 * time.Millisecond
	// namesMost bounds the endpoints that one log line names.
	namesMost = 64
	// headerTime and restTime bound callers before a configuration is known.
	headerTime = 5 * time.Second
	callerRest = 60 * time.Second
	// headerBytes is far above the configuration's limit, which callers keep.
	headerBytes = 64 << 10
)

// Box is the one process of a box.
type Box struct {
	options  *Options
	settings *platform.Settings
	log      *zap.Logger
	sink     *eventlog.Sink
	belief   *fleet.State
	peers    *fleet.Peers
	gateway  *gateway.Gateway
	clock    *clock.SuspensionDetector

	quarantine *fleet.Quarantine
	limits     *fleet.Limits
	front      *http.Server
	cancel     context.CancelFunc
	once       sync.Once
	stopping   atomic.Bool
	left       chan struct{}
	hup        chan struct{}
	digest     uint64 // of the settings file's text at the last reading
}

// Start starts a box with its settings.
func Start(o *Options, s *platform.Settings, log *zap.Logger, sink *eventlog.Sink) (*Box, error) {
	b := &Box{
		options:  o,
		settings: s,
		log:      log,
		sink:     sink,
		left:     make(chan struct{}),
		hup:      make(chan struct{}, 1),
	}
	log.Info("start",
		zap.String("box", s.Box),
		zap.String("zone", s.Zone),
		zap.Stringer("front", s.Front),
		zap.Stringer("store", s.Store),
		zap.Bool("first", s.FirstStart),
	)
	b.clock = clock.New(b.suspended, clock.WithErrorHandler(func(err error) { log.Warn("suspensions aren't noticed", zap.Error(err)) }))
	b.belief = fleet.NewState(fleet.WithOnChange(b.changed))
	engines := platform.NewEngineClient(platform.WithOnNotice(b.noticed))
	reports := fleet.NewLoadReports(engines, b.belief, log.Named("reports"), b.reported, fleet.WithLoadQueryFilter(b.mayAsk))
	b.quarantine = fleet.NewQuarantine(log.Named("quarantine"))
	b.limits = fleet.NewLimits(log.Named("limits"))
	peers, err := fleet.NewPeers(core.Peer{
		Box:        s.Box,
		Zone:       s.Zone,
		Address:    s.Peer,
		InstanceID: rand.Uint64(),
		LinkMbps:   s.LinkMbps,
	}, s.Seeds, b.belief, fleet.WithPeersLog(log.Named("peers")), fleet.WithLoadReports(reports), fleet.WithPlacementHandler(b.placed), fleet.WithEvacuationHandler(b.evacuating), fleet.WithQuarantine(b.quarantine), fleet.WithLimits(b.limits), fleet.WithSuspensionCheck(b.clock.Check))
	if err != nil {
		return nil, err
	}
	b.peers = peers
	protocol := platform.Protocol{}
	b.gateway = gateway.New(s.Zone, protocol, b.belief.View, gateway.Rules{
		Retry: core.BudgetRules{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: s.RetryWindow,
			Safety: retrySafety,
		},
		MemoryBytes:  s.MemoryBytes,
		FirstProcess: s.FirstStart,
		Cold:         s.Cold,
		Regions:      s.Regions,
	},
		gateway.WithLog(log.Named("gateway")),
		gateway.WithMover(engines),
		gateway.WithBoxes(b.peers.Sharers),
		gateway.WithRateShare(b.peers.RateShare),
		gateway.WithOnPlaced(b.peers.BroadcastPlacement),
		gateway.WithOnEvacuating(b.peers.BroadcastEvacuating),
		gateway.WithOnLeaving(b.peers.ReportLeaving),
		gateway.WithRetryBorrowing(b.peers.BorrowRetries),
		gateway.WithQuarantine(b.quarantine),
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
	follower := fleet.NewStoreWatcher(b.store(), b.belief, s.ChangeBound(),
		fleet.WithStoreWatcherLog(log.Named("store")),
		fleet.WithReaderRank(b.peers.ReaderRank),
		fleet.WithOnUpdate(b.peers.BroadcastUpdate),
		fleet.WithOnStoreCall(countStoreCalls),
	)
	go follower.Run(ctx)
	go b.peers.Run(ctx)
	go reports.Run(ctx)
	go b.upkeep(ctx)
	return b, nil
}

// store builds the client of the platform's store.
func (b *Box) store() *platform.Store {
	return platform.NewStore(b.settings.Store, platform.WithOnResponse(b.storeAnswered), platform.WithOnInvalidEntry(b.entryUnreadable))
}

// changed logs a change of belief and tells the gateway.
func (b *Box) changed(c fleet.Change) {
	fields := []zap.Field{
		zap.Uint64("era", c.Revision.Era()),
		zap.Uint64("revision", c.Revision.Number()),
		zap.String("from", c.Source),
	}
	switch c.Kind {
	case fleet.ConfigurationActivated:
		waited := c.PropagationDelay(time.Now())
		configurationWait.Update(waited.Seconds())
		fields = append(fields, zap.Uint64("version", c.Version), zap.Int("routes", c.Routes), zap.Duration("waited", waited))
	case fleet.ZoneDrained, fleet.ZoneDrainEnded:
		fields = append(fields, zap.String("drained_zone", c.Zone))
	case fleet.StoreRestored:
		storeEras.Inc()
		fields = append(fields, zap.Uint64("era_before", c.PreviousRevision.Era()), zap.Uint64("revision_before", c.PreviousRevision.Number()))
	case fleet.EndpointListLoaded:
		fields = append(fields, zap.Int("count", c.EndpointCount))
	case fleet.EndpointJoined:
		fields = append(fields, zap.Int("count", len(c.JoinedIDs)), zap.Strings("endpoints", c.JoinedIDs[:min(len(c.JoinedIDs), namesMost)]))
	default:
		fields = append(fields, zap.String("endpoint", c.Endpoint.ID), zap.String("service", c.Endpoint.Service))
	}
	b.log.Info(string(c.Kind), fields...)
	if b.gateway != nil {
		b.gateway.HandleChange(c)
	}
}

// suspended takes that the machine was suspended, before anything is decided by ages that
// don't count that time.
func (b *Box) suspended(d time.Duration) {
	b.log.Warn("the machine was suspended, all ages are corrected", zap.Duration("for", d))
	if b.gateway != nil {
		b.gateway.HandleSuspension(d)
		b.peers.HandleSuspension(d)
	}
}

// placed hands a partner's placement to the gateway.
func (b *Box) placed(now time.Time, p fleet.Placement) {
	if b.gateway != nil {
		b.gateway.HandlePlacement(now, p)
	}
}

// evacuating hands a fellow's word on an engine that leaves to the gateway.
func (b *Box) evacuating(now time.Time, e fleet.Evacuating) {
	if b.gateway != nil {
		b.gateway.Evacuating(now, e)
	}
}

// noticed hands what an engine says of itself to the gateway.
func (b *Box) noticed(e routing.Endpoint, n gateway.Notice) {
	if b.gateway != nil {
		b.gateway.HandleNotice(time.Now(), e, n)
	}
}

// mayAsk tells whether an engine may be asked for its load now.
func (b *Box) mayAsk(e routing.Endpoint) bool {
	return b.gateway == nil || b.gateway.AllowLoadQuery(time.Now(), e)
}

// reported hands an engine's report to the gateway.
func (b *Box) reported(at time.Time, r routing.Report) {
	if b.gateway != nil {
		b.gateway.HandleReport(at, r)
	}
}

func (b *Box) upkeep(ctx context.Context) {
	t := time.NewTicker(upkeepEvery)
	defer t.Stop()
	looked := time.Now()
	for {
		select {
		case now := <-t.C:
			b.clock.Check()
			b.belief.DropExpired(now)
			b.gateway.Sweep(now)
			b.shareOut()
			if now.Sub(looked) >= settingsEvery {
				looked = now
				b.reload("the file changed")
			}
		case <-b.hup:
			b.reload("SIGHUP")
		case <-ctx.Done():
			return
		}
	}
}

// shareOut tells the gateway which engines the group uses first.
func (b *Box) shareOut() {
	if share := b.peers.PreferredEndpoints(b.belief.View()); share != nil {
		b.gateway.SetGroupEngines(share)
	}
}

// Reload asks for the settings file to be read anew.
func (b *Box) Reload() {
	select {
	case b.hup <- struct{}{}:
	default: // one is under way already
	}
}

// reload reads the settings file anew, on a signal or because its text changed.
// The addresses of a running process stay; the seeds are taken over.
func (b *Box) reload(why string) {
	text, err := os.ReadFile(b.options.Settings)
	if err != nil {
		b.log.Error("settings can't be read, those before stay in force", zap.Error(err))
		return
	}
	digest := xxhash.Sum64(text)
	if digest == b.digest {
		return
	}
	b.digest = digest
	s, err := platform.ParseSettings(text)
	if err != nil {
		b.log.Error("reload failed, the settings before stay in force", zap.String("why", why), zap.Error(err))
		return
	}
	b.peers.SetSeeds(s.Seeds)
	b.log.Info("settings read", zap.String("why", why), zap.Int("seeds", len(s.Seeds)))
}
