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

// The times between what a watch does.
const (
	longPoll       = 10 * time.Second
	confirmAfter   = 2500 * time.Millisecond
	heartbeatEvery = time.Second
	pollFaultPause = time.Second
	peerTimeout    = time.Second
	fetchMost      = 10 * time.Second // a configuration of a megabyte over 1 Mbit/s takes 8
)

// peerCount is how many boxes a watch compares versions with.
const peerCount = 4

// startPeers is how many boxes a starting watch asks before it serves.
const startPeers = 8

// Watch is the platform's side of one box.
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
	suspicion *core.FailureDetector
	retired   map[string]core.Incarnation
	asked     atomic.Bool
	leaving   atomic.Bool
	fetching  atomic.Bool
	left      chan struct{}
	stop      context.CancelFunc
}

// Start starts a watch.
func Start(b *settings.Box, log *zap.Logger) (*Watch, error) {
	p, err := newPlatform(b.Platform, longPoll)
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
		suspicion: core.NewFailureDetector(core.DefaultFailureDetectorRules()),
		retired:   make(map[string]core.Incarnation),
		left:      make(chan struct{}),
		stop:      cancel,
	}
	w.handlers = wire.NewHandlers(
		wire.WithVersions(w.state.Versions),
		wire.WithOnVersions(w.versionsSeen),
	)
	wire.HandleRequest(w.handlers, w.subscribe)
	wire.HandleRequest(w.handlers, w.heartbeat)
	wire.HandleRequest(w.handlers, w.fetch)
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
	w.askPeers(ctx)
	w.asked.Store(true)
	w.state.OnChange(func(View) { w.push(ctx) })
	go w.every(ctx, confirmAfter/5, w.confirm)
	w.every(ctx, heartbeatEvery, w.beat)
}

func (w *Watch) every(ctx context.Context, pause time.Duration, do func(context.Context)) {
	do(ctx)
	for {
		jittered := pause*9/10 + rand.N(pause/5)
		select {
		case <-time.After(jittered):
			do(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Ready says what is missing before this box's processes can be served.
func (w *Watch) Ready() string {
	v := w.state.View()
	switch {
	case !w.asked.Load():
		return "peers are being asked for newer versions"
	case v.Document == nil:
		return "no configuration was read yet; see the platform's address in the settings"
	case v.List == nil:
		return "no list of boxes was read yet; see the platform's address in the settings"
	}
	return ""
}

// Status is a watch's part of a box's status.
type Status struct {
	Config    uint64   `json:"config"`
	List      uint64   `json:"list"`
	ListAge   string   `json:"list_age"`
	Suspected []string `json:"suspected"`
	Peers     []string `json:"peers"`
	Sent      uint64   `json:"sent_bytes"`
	Received  uint64   `json:"received_bytes"`
}

// Status gives what is in force.
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

// Stop starts a planned stop: the peers are told, then the watch leaves. The
// box's other processes go on with what they have. A second call changes
// nothing.
func (w *Watch) Stop() {
	if !w.leaving.CompareAndSwap(false, true) {
		return
	}
	w.log.Info("planned stop")
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	w.beat(ctx)
	w.stop()
	w.server.Close()
	close(w.left)
}

// Done is closed when the process may end.
func (w *Watch) Done() <-chan struct{} { return w.left }

func (w *Watch) pollConfig(ctx context.Context) {
	for ctx.Err() == nil {
		platformCalls.Inc()
		body, err := w.platform.read(ctx, "config", w.state.Versions().Config, longPoll)
		if err != nil {
			w.pollFailed(ctx)
			continue
		}
		if body != nil && !w.state.Offer(body) {
			w.pollPause(ctx)
		}
	}
}

func (w *Watch) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		w.readList(ctx, longPoll)
	}
}

func (w *Watch) readList(ctx context.Context, wait time.Duration) {
	asked := time.Now()
	have := w.state.Versions().List
	platformCalls.Inc()
	body, err := w.platform.read(ctx, "list", have, wait)
	if err != nil {
		w.pollFailed(ctx)
		return
	}
	if body == nil {
		w.state.Confirm(have, asked)
		return
	}
	list, err := parseList(body)
	if err != nil {
		w.log.Warn("list of boxes not used", zap.Error(err))
		w.pollPause(ctx)
		return
	}
	w.state.Adopt(list, asked)
}

func (w *Watch) pollFailed(ctx context.Context) {
	platformFaults.Inc()
	w.pollPause(ctx)
}

// pollPause spreads the return of all watches after the platform's outage.
func (w *Watch) pollPause(ctx context.Context) {
	select {
	case <-time.After(pollFaultPause + rand.N(pollFaultPause)):
	case <-ctx.Done():
	}
}

// confirm asks the platform whether the list is still the newest, unless a peer
// told so lately.
func (w *Watch) confirm(ctx context.Context) {
	if time.Since(w.state.View().ConfirmedAt) > confirmAfter {
		w.readList(ctx, 0)
	}
}

func (w *Watch) subscribe(_ context.Context, _ *wire.Conn, _ wire.Subscribe) (wire.Snapshot, error) {
	if !w.asked.Load() {
		return wire.Snapshot{}, nil
	}
	return w.state.Snapshot(wire.Versions{}), nil
}

func (w *Watch) fetch(_ context.Context, _ *wire.Conn, q wire.Fetch) (wire.Snapshot, error) {
	return w.state.Snapshot(wire.Versions(q)), nil
}

func (w *Watch) push(ctx context.Context) {
	if !w.asked.Load() {
		return
	}
	w.server.Broadcast(ctx, w.state.Snapshot(w.state.Versions()))
}

// versionsSeen fetches what another process has newer, from that process.
func (w *Watch) versionsSeen(c *wire.Conn, v wire.Versions) {
	if !w.state.Heard(v) || !w.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchMost)
		defer cancel()
		_ = w.fetchFrom(ctx, c)
	}()
}

func (w *Watch) fetchFrom(ctx context.Context, c *wire.Conn) error {
	asked := time.Now()
	have := w.state.Versions()
	peerFetches.Inc()
	s, err := wire.CallWithIdleTimeout[wire.Snapshot](ctx, c, wire.Fetch(have), peerTimeout)
	if err == nil {
		w.state.Take(s, asked)
	}
	return err
}
