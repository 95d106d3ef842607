package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// readerCount is how many boxes watch the store for all: enough that some remain
	// when a third of the boxes can't reach it, and few enough that the store's load
	// doesn't grow with the fleet.
	readerCount = 5
	// standbyCount is how many boxes, after the readers in rank, read the store first when
	// no updates arrive, so that not all boxes read it at once. Without standbys, a fleet
	// of 295 boxes made some 1,700 calls in four seconds when the store lost its history.
	standbyCount = 10
	// watchInterval is the first reader's pause between watches. It bounds the number of
	// store calls and delays changes by as much.
	watchInterval = 150 * time.Millisecond
	// discoveryDelay is how long a starting box waits for its peers before its first watch,
	// since it ranks first until it knows others.
	discoveryDelay = 400 * time.Millisecond
	// maxWatchPauseFraction bounds the readers' pauses, which double with each rank. A change
	// ends all readers' watches at once; the first reader watches again soonest and
	// broadcasts the changes that follow shortly after.
	maxWatchPauseFraction = 0.25
	// minRetryDelay and maxReaderRetryDelay bound a reader's delay after failed calls;
	// maxFallbackRetryDelay bounds that of other boxes.
	minRetryDelay         = 150 * time.Millisecond
	maxReaderRetryDelay   = 1000 * time.Millisecond
	maxFallbackRetryDelay = 3 * time.Second
	// fallbackDuration is how long a box that is no reader reads the store once it got no
	// updates.
	fallbackDuration = 4 * time.Second
	// idlePollInterval is how often a box that is no reader checks whether it must read.
	idlePollInterval = 100 * time.Millisecond
	// The following are fractions of the propagation limit, the time in which a change
	// must reach all boxes. A watch is answered within watchTimeoutFraction; a standby
	// whose list is older than standbyStaleFraction reads the store itself.
	watchTimeoutFraction = 0.25
	standbyStaleFraction = 0.6
	// staleFraction is the limit for other boxes: it leaves time for the standbys' updates
	// to arrive before, and for a read of the store after it.
	staleFraction = 0.75
	// configLagFraction is when a box that could not fetch an announced configuration
	// from its peers reads it from the store. Peers deliver a large one within a tenth of
	// the limit. The rest must leave time to read one from the store: 0.77 MB take 0.65 s at
	// 10 Mbit/s.
	configLagFraction = 0.3
)

// StoreWatcher updates the state from the store if this box is one of the readers, or if no
// updates arrive from them.
type StoreWatcher struct {
	store             Store
	state             *State
	propagationLimit  time.Duration // time in which a change must reach all boxes
	readerRank        func() int    // this box's rank among the readers, from 0
	onUpdate          func(Update)
	log               *zap.Logger
	onCall            func(result string)
	startupPeers      StartupPeers
	firstStart        bool
	readsFirst        bool // this box read the store at its start, before it had any state
	storeLost         bool
	hasWaitedForPeers bool
	needsFullRead     bool      // the changes since the last read are not available
	lastReadAt        time.Time // last full read
	retryDelay        time.Duration
	fallbackUntil     time.Time // end of reading by a box that is no reader
}

// StoreWatcherOption configures a StoreWatcher.
type StoreWatcherOption func(*StoreWatcher)

// WithStoreWatcherLog sets the logger.
func WithStoreWatcherLog(log *zap.Logger) StoreWatcherOption {
	return func(w *StoreWatcher) { w.log = log }
}

// WithOnStoreCall sets a function that is called with the result of each call to the store.
func WithOnStoreCall(count func(result string)) StoreWatcherOption {
	return func(w *StoreWatcher) { w.onCall = count }
}

// WithReaderRank sets the function that returns this box's rank, from 0, among the boxes that
// read the store. By default the rank is 0.
func WithReaderRank(readerRank func() int) StoreWatcherOption {
	return func(w *StoreWatcher) { w.readerRank = readerRank }
}

// WithOnUpdate sets a function that is called with each change from the store.
func WithOnUpdate(onUpdate func(Update)) StoreWatcherOption {
	return func(w *StoreWatcher) { w.onUpdate = onUpdate }
}

// NewStoreWatcher returns a watcher of the store. The propagation limit is the time in which a
// change must reach all boxes.
func NewStoreWatcher(store Store, state *State, propagationLimit time.Duration, options ...StoreWatcherOption) *StoreWatcher {
	w := &StoreWatcher{
		store:            store,
		state:            state,
		propagationLimit: propagationLimit,
		readerRank:       func() int { return 0 },
		onUpdate:         func(Update) {},
		log:              zap.NewNop(),
		onCall:           func(string) {},
		startupPeers:     noPeers{},
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// fraction returns a fraction of the propagation limit.
func (w *StoreWatcher) fraction(of float64) time.Duration {
	return time.Duration(of * float64(w.propagationLimit))
}

// Run watches the store until the context ends.
func (w *StoreWatcher) Run(ctx context.Context) {
	w.awaitPeerState(ctx)
	for ctx.Err() == nil {
		w.waitUntilNeeded(ctx)
		revision, ok := w.read(ctx)
		w.waitForPeers(ctx)
		for ok && ctx.Err() == nil && w.shouldRead() {
			revision, ok = w.watch(ctx, revision, w.fraction(watchTimeoutFraction))
			Sleep(ctx, w.watchPause())
		}
	}
}

// waitForPeers delays the first watch so that the box can discover its peers: until then it
// ranks as the first reader.
func (w *StoreWatcher) waitForPeers(ctx context.Context) {
	if !w.hasWaitedForPeers {
		w.hasWaitedForPeers = true
		Sleep(ctx, discoveryDelay)
	}
}

// isReader reports whether this box watches the store for all. Until a box knows its peers, it
// would rank itself first; then only the boxes that had to read the store first watch it.
func (w *StoreWatcher) isReader() bool {
	if !w.startupPeers.HasDiscoveredPeers() {
		return w.readsFirst
	}
	return w.readerRank() < readerCount
}

// shouldRead reports whether this box should watch the store now.
func (w *StoreWatcher) shouldRead() bool {
	return w.isReader() || time.Now().Before(w.fallbackUntil)
}

// watchPause returns the pause before the next watch. A box that reads without being a reader
// gets no updates from others, so it pauses as briefly as the first reader.
func (w *StoreWatcher) watchPause() time.Duration {
	readerRank := w.readerRank()
	if readerRank >= readerCount {
		return watchInterval
	}
	return min(watchInterval<<readerRank, w.fraction(maxWatchPauseFraction))
}

// waitUntilNeeded blocks until this box is a reader, its list is stale, or an announced
// configuration has not arrived.
func (w *StoreWatcher) waitUntilNeeded(ctx context.Context) {
	for ctx.Err() == nil {
		v := w.state.View()
		now := time.Now()
		if w.isReader() {
			return
		}
		if !v.HasEndpointList || v.Table == nil {
			// Nothing was published at the last read, or the read failed.
			if now.Sub(w.lastReadAt) >= w.unpublishedPollInterval() {
				return
			}
			Sleep(ctx, idlePollInterval)
			continue
		}
		age, configLag := now.Sub(v.ConfirmedAt), w.state.ConfigLag(now)
		if age > w.maxListAge() || configLag > w.fraction(configLagFraction) {
			w.log.Info("no updates from the store readers, reading the store", zap.Duration("list_age", age), zap.Duration("configuration_awaited", configLag))
			w.fallbackUntil = now.Add(fallbackDuration)
			return
		}
		Sleep(ctx, idlePollInterval)
	}
}

// maxListAge returns the list age at which this box reads the store though it is no reader.
func (w *StoreWatcher) maxListAge() time.Duration {
	if w.startupPeers.HasDiscoveredPeers() && w.readerRank() < readerCount+standbyCount {
		return w.fraction(standbyStaleFraction)
	}
	return w.fraction(staleFraction)
}

// read brings the state up to date. It returns the revision for the next watch, and false if that
// failed.
func (w *StoreWatcher) read(ctx context.Context) (routing.Revision, bool) {
	v := w.state.View()
	if w.needsFullRead || v.Table == nil || !v.HasEndpointList || v.ListRevision == 0 {
		return w.readAll(ctx)
	}
	return w.catchUp(ctx, v.ListRevision)
}

// catchUp reads the changes after a list revision, which is far less than the whole list, and the
// configuration, since peers deliver it apart from the list.
func (w *StoreWatcher) catchUp(ctx context.Context, after routing.Revision) (routing.Revision, bool) {
	document, err := w.store.ReadDocument(ctx)
	if err != nil {
		w.handleFailure(ctx, "read configuration", err)
		return 0, false
	}
	w.handleSuccess()
	w.lastReadAt = time.Now()
	w.state.ApplyStoreDocument(document)
	return w.watch(ctx, after, 0)
}

// readAll reads and applies the whole content of the store. It returns its revision, and false if
// the read failed.
func (w *StoreWatcher) readAll(ctx context.Context) (routing.Revision, bool) {
	s, err := w.store.Read(ctx)
	if err != nil {
		w.handleFailure(ctx, "read", err)
		return 0, false
	}
	w.handleSuccess()
	w.lastReadAt = time.Now()
	w.needsFullRead = false
	w.state.ApplySnapshot(w.lastReadAt, s)
	return s.Revision, true
}

// watch waits for changes after a revision and applies them. It returns the revision for the
// next watch, and false if everything must be read again.
func (w *StoreWatcher) watch(ctx context.Context, after routing.Revision, wait time.Duration) (routing.Revision, bool) {
	c, err := w.store.Watch(ctx, after, wait)
	if errors.Is(err, ErrHistoryLost) {
		w.onCall("history lost")
		w.log.Info("store history compacted, reading everything again", zap.Uint64("after", after.Number()))
		w.needsFullRead = true
		return 0, false
	}
	if errors.Is(err, ErrStoreRestored) {
		w.onCall("store replaced")
		w.log.Info("store restored from an older backup, reading everything again", zap.Uint64("era", after.Era()), zap.Uint64("after", after.Number()))
		w.needsFullRead = true
		return 0, false
	}
	if errors.Is(err, ErrChangesTooLarge) {
		// A watch returns every intermediate version, so retrying it from the same revision
		// would return even more.
		w.onCall("too much")
		w.log.Info("store changes exceed the size of a full read, reading everything again", zap.Uint64("after", after.Number()))
		w.needsFullRead = true
		return 0, false
	}
	if err != nil {
		w.handleFailure(ctx, "watch", err)
		return after, true
	}
	w.handleSuccess()
	if update, any := w.state.ApplyChanges(time.Now(), c); any {
		w.onUpdate(update)
	}
	return c.Revision, true
}

// handleFailure records a failed call and waits before the next one.
func (w *StoreWatcher) handleFailure(ctx context.Context, call string, err error) {
	w.onCall("failed")
	if ctx.Err() != nil {
		return
	}
	w.state.MarkStoreDown()
	if !w.storeLost {
		w.storeLost = true
		w.log.Warn("store unreachable, retrying", zap.String("call", call), zap.Error(err))
	}
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), w.maxRetryDelay())
	if w.readsLast() {
		w.retryDelay = maxFallbackRetryDelay
	}
	Sleep(ctx, w.retryDelay*3/4+rand.N(w.retryDelay/4+1))
}

func (w *StoreWatcher) maxRetryDelay() time.Duration {
	if w.isReader() {
		return maxReaderRetryDelay
	}
	return maxFallbackRetryDelay
}

// readsLast reports whether this box retries the store only after the readers and standbys, to
// bound the number of calls while the store is down for all.
func (w *StoreWatcher) readsLast() bool {
	return w.state.View().HasEndpointList && w.readerRank() >= readerCount+standbyCount
}

func (w *StoreWatcher) handleSuccess() {
	w.onCall("answered")
	w.retryDelay = 0
	w.state.MarkStoreUp(time.Now())
	if w.storeLost {
		w.storeLost = false
		w.log.Info("store reachable again")
	}
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
