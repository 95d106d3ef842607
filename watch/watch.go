package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/settings"
	"dillsaddle.example/dillsaddle/wire"
)

// Timeouts and intervals of a watch.
const (
	longPollTimeout   = 10 * time.Second        // time that the platform may hold a request
	maxListAge        = 2500 * time.Millisecond // age of the confirmation above which the list is confirmed again
	heartbeatInterval = time.Second
	pollRetryDelay    = time.Second
	peerTimeout       = time.Second
	fetchTimeout      = 10 * time.Second // enough for 1 MB at 1 Mbit/s
)

// peerCount is the number of boxes with which a watch compares versions.
const peerCount = 4

// bootstrapPeerCount is the number of listed boxes that a starting watch queries.
const bootstrapPeerCount = 8

// Watch polls the platform and distributes its state on behalf of one box.
type Watch struct {
	settings  *settings.Box
	self      core.Box
	log       *zap.Logger
	state     *State
	platform  *platform
	server    *wire.Server
	pool      *wire.Pool
	handlers  *wire.Handlers
	mu        sync.Mutex
	detector  *core.FailureDetector
	leftPeers map[string]core.Incarnation // peers that announced a planned stop, by name
	joined    atomic.Bool                 // the peers were queried at the start
	isLeaving atomic.Bool
	fetching  atomic.Bool // a fetch of newer versions is in progress
	done      chan struct{}
	stop      context.CancelFunc
}

// Start starts a watch and its periodic tasks.
func Start(b *settings.Box, log *zap.Logger) (*Watch, error) {
	p, err := newPlatform(b.Platform, longPollTimeout)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{
		settings: b,
		self: core.Box{
			Name:        b.Name,
			Incarnation: core.Incarnation(time.Now().UnixNano()),
		},
		log:       log,
		state:     NewState(log),
		platform:  p,
		detector:  core.NewFailureDetector(core.DefaultFailureDetectorRules()),
		leftPeers: make(map[string]core.Incarnation),
		done:      make(chan struct{}),
		stop:      cancel,
	}
	w.handlers = wire.NewHandlers(
		wire.WithVersions(w.state.Versions),
		wire.WithOnVersions(w.handleVersions),
	)
	wire.HandleRequest(w.handlers, w.handleSubscribe)
	wire.HandleRequest(w.handlers, w.handleHeartbeat)
	wire.HandleRequest(w.handlers, w.handleFetch)
	w.pool = wire.NewPool(w.handlers)
	w.server, err = wire.Listen(b.Watch, w.handlers)
	if err != nil {
		cancel()
		return nil, err
	}
	go w.run(ctx)
	return w, nil
}

func (w *Watch) run(ctx context.Context) {
	go w.pollConfig(ctx)
	go w.pollList(ctx)
	w.queryPeers(ctx)
	w.joined.Store(true)
	w.state.OnChange(func(View) { w.broadcast(ctx) })
	go w.runEvery(ctx, maxListAge/5, w.confirmList)
	w.runEvery(ctx, heartbeatInterval, w.sendHeartbeats)
}

// runEvery runs a task at once and then periodically, with jitter, until ctx ends.
func (w *Watch) runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) {
	do(ctx)
	for {
		jittered := interval*9/10 + rand.N(interval/5)
		select {
		case <-time.After(jittered):
			do(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Ready returns the reason why this box's processes can't be served yet, or "".
func (w *Watch) Ready() string {
	v := w.state.View()
	switch {
	case !w.joined.Load():
		return "querying peers for newer versions"
	case v.Document == nil:
		return "no configuration has been read yet; check the platform's address in the settings"
	case v.List == nil:
		return "no list of boxes has been read yet; check the platform's address in the settings"
	}
	return ""
}

// Status is the watch's section of a box's status.
type Status struct {
	Config    uint64   `json:"config"`
	List      uint64   `json:"list"`
	ListAge   string   `json:"list_age"`
	Suspected []string `json:"suspected"`
	Peers     []string `json:"peers"`
	Sent      uint64   `json:"sent_bytes"`
	Received  uint64   `json:"received_bytes"`
}

// Status returns the active versions, the peers and the traffic.
func (w *Watch) Status() any {
	v := w.state.View()
	versions := w.state.Versions()
	s := Status{
		Config:    versions.Config,
		List:      versions.List,
		ListAge:   time.Since(v.ConfirmedAt).Round(time.Millisecond).String(),
		Suspected: v.Suspected,
		Sent:      w.handlers.Traffic().SentBytes.Load(),
		Received:  w.handlers.Traffic().ReceivedBytes.Load(),
	}
	for _, m := range w.peers() {
		s.Peers = append(s.Peers, m.Name)
	}
	return s
}

// Stop starts a planned stop: the watch sends a last heartbeat to its peers and
// closes. The box's other processes continue with their current state. Further
// calls have no effect.
func (w *Watch) Stop() {
	if !w.isLeaving.CompareAndSwap(false, true) {
		return
	}
	w.log.Info("planned stop started; notifying peers")
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	w.sendHeartbeats(ctx)
	w.stop()
	w.server.Close()
	close(w.done)
}

// Done returns a channel that is closed when the process may exit.
func (w *Watch) Done() <-chan struct{} { return w.done }

func (w *Watch) pollConfig(ctx context.Context) {
	for ctx.Err() == nil {
		platformCalls.Inc()
		body, err := w.platform.fetch(ctx, "config", w.state.Versions().Config, longPollTimeout)
		if err != nil {
			w.handlePollError(ctx)
			continue
		}
		if body != nil && !w.state.Activate(body) {
			w.waitBeforeRetry(ctx)
		}
	}
}

func (w *Watch) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		w.readList(ctx, longPollTimeout)
	}
}

// readList reads the list if it is newer than the active one, waiting up to wait.
func (w *Watch) readList(ctx context.Context, wait time.Duration) {
	requestedAt := time.Now()
	activeVersion := w.state.Versions().List
	platformCalls.Inc()
	body, err := w.platform.fetch(ctx, "list", activeVersion, wait)
	if err != nil {
		w.handlePollError(ctx)
		return
	}
	if body == nil {
		w.state.ConfirmList(activeVersion, requestedAt)
		return
	}
	list, err := parseList(body)
	if err != nil {
		w.log.Warn("list of boxes rejected; keeping the active one", zap.Error(err))
		w.waitBeforeRetry(ctx)
		return
	}
	w.state.AdoptList(list, requestedAt)
}

func (w *Watch) handlePollError(ctx context.Context) {
	platformFaults.Inc()
	w.waitBeforeRetry(ctx)
}

// waitBeforeRetry waits with jitter, so that the watches don't all return at once
// after an outage of the platform.
func (w *Watch) waitBeforeRetry(ctx context.Context) {
	select {
	case <-time.After(pollRetryDelay + rand.N(pollRetryDelay)):
	case <-ctx.Done():
	}
}

// confirmList asks the platform whether the list is still the newest, unless that
// was confirmed recently.
func (w *Watch) confirmList(ctx context.Context) {
	if time.Since(w.state.View().ConfirmedAt) > maxListAge {
		w.readList(ctx, 0)
	}
}

// handleSubscribe returns the state, or an empty snapshot while this watch queries its
// peers, since its state may be outdated.
func (w *Watch) handleSubscribe(_ context.Context, _ *wire.Conn, _ wire.Subscribe) (wire.Snapshot, error) {
	if !w.joined.Load() {
		return wire.Snapshot{}, nil
	}
	return w.state.Snapshot(wire.Versions{}), nil
}

func (w *Watch) handleFetch(_ context.Context, _ *wire.Conn, q wire.Fetch) (wire.Snapshot, error) {
	return w.state.Snapshot(wire.Versions(q)), nil
}

// broadcast announces the active versions to the connected processes, which then fetch
// what they lack.
func (w *Watch) broadcast(ctx context.Context) {
	if !w.joined.Load() {
		return
	}
	w.server.Broadcast(ctx, w.state.Snapshot(w.state.Versions()))
}

// handleVersions fetches newer versions from the process that announced them.
func (w *Watch) handleVersions(c *wire.Conn, v wire.Versions) {
	if !w.state.ObserveVersions(v) || !w.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		_ = w.fetchFrom(ctx, c)
	}()
}

// fetchFrom fetches and applies what the remote process has that is newer.
func (w *Watch) fetchFrom(ctx context.Context, c *wire.Conn) error {
	requestedAt := time.Now()
	active := w.state.Versions()
	peerFetches.Inc()
	s, err := wire.CallWithIdleTimeout[wire.Snapshot](ctx, c, wire.Fetch(active), peerTimeout)
	if err == nil {
		w.state.Apply(s, requestedAt)
	}
	return err
}
