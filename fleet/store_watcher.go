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
	// readerCount is how many boxes read the store for all: enough that some are
	// left when a third of the boxes is cut off or turned away, few enough that the
	// store's calls don't grow with the fleet.
	readerCount = 5
	// standbyCount is how many boxes come next when nothing comes from the readers. The
	// others wait for those to have read: all boxes of a fleet of 295 asked the store at
	// once for four seconds whenever it lost its history, some 1,700 calls each time.
	standbyCount = 10
	// watchInterval spaces the watches: each call to the store has a price, and
	// a change may be known this much later than it could.
	watchInterval = 150 * time.Millisecond
	// discoveryDelay is how long a starting box waits before its first watch, in which it meets
	// some tens of others: each of 295 boxes that started at once watched for a second.
	discoveryDelay = 400 * time.Millisecond
	// maxWatchPauseFraction bounds the rest of the readers, each of which rests twice as long as the
	// one before it: a change ends all their watches at once, and what follows in the
	// next moments is told to all by the first of them.
	maxWatchPauseFraction = 0.25
	// minRetryDelay and retryMost bound a reader's pause after a call that failed;
	// a box that reads only because it heard nothing pauses up to helperMost.
	minRetryDelay         = 150 * time.Millisecond
	maxReaderRetryDelay   = 1000 * time.Millisecond
	maxFallbackRetryDelay = 3 * time.Second
	// fallbackDuration is how long a box that heard nothing from the readers reads
	// the store itself.
	fallbackDuration = 4 * time.Second
	// idlePollInterval is how often a box that doesn't read looks whether it must.
	idlePollInterval = 100 * time.Millisecond
	// watchTimeoutFraction and stalePart divide the time in which a change must be in
	// force: a reader's watch is answered within the first part, so that a view
	// that is older than the second means that no reader reaches this box.
	watchTimeoutFraction = 0.25
	standbyStaleFraction = 0.6
	// staleFraction is the same for a box that is no standby: by then, word of what the
	// standbys read has come round. What is left is enough to read the store.
	staleFraction = 0.75
	// configLagFraction is the part of that time after which a box that has heard of a newer
	// configuration, and has it from nobody, reads the store itself. 73 boxes have one
	// of 2,850 routes from each other within a tenth of it; half of what is left after
	// this part is enough to read 0.77 MB over 10 Mbit/s.
	configLagFraction = 0.3
)

// StoreWatcher keeps a belief up to date from the store: as one of the readers, or
// when nothing comes from them.
type StoreWatcher struct {
	store             Store
	state             *State
	propagationLimit  time.Duration // a change must be in force
	readerRank        func() int    // this box's place among the readers, from 0
	onUpdate          func(Update)
	log               *zap.Logger
	onCall            func(result string)
	storeLost         bool
	hasWaitedForPeers bool      // whether this box had time to meet others
	lastReadAt        time.Time // when it last read everything
	retryDelay        time.Duration
	fallbackUntil     time.Time // until when this box reads though it is no reader
}

// StoreWatcherOption changes how a follower is built.
type StoreWatcherOption func(*StoreWatcher)

// WithStoreWatcherLog gives the log of a follower.
func WithStoreWatcherLog(log *zap.Logger) StoreWatcherOption {
	return func(w *StoreWatcher) { w.log = log }
}

// WithOnStoreCall is told the result of each call to the store.
func WithOnStoreCall(count func(result string)) StoreWatcherOption {
	return func(w *StoreWatcher) { w.onCall = count }
}

// WithReaderRank tells this box's place, from 0, among those that read the store for all;
// without it, it is the first.
func WithReaderRank(readerRank func() int) StoreWatcherOption {
	return func(w *StoreWatcher) { w.readerRank = readerRank }
}

// WithOnUpdate is called with each change that the store told.
func WithOnUpdate(onUpdate func(Update)) StoreWatcherOption {
	return func(w *StoreWatcher) { w.onUpdate = onUpdate }
}

// NewStoreWatcher builds a follower of a source. Within is the time in which a
// change must be in force.
func NewStoreWatcher(store Store, state *State, propagationLimit time.Duration, options ...StoreWatcherOption) *StoreWatcher {
	w := &StoreWatcher{
		store:            store,
		state:            state,
		propagationLimit: propagationLimit,
		readerRank:       func() int { return 0 },
		onUpdate:         func(Update) {},
		log:              zap.NewNop(),
		onCall:           func(string) {},
	}
	for _, o := range options {
		o(w)
	}
	return w
}

func (w *StoreWatcher) fraction(of float64) time.Duration {
	return time.Duration(of * float64(w.propagationLimit))
}

// Run follows the source until the context ends.
func (w *StoreWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.waitUntilNeeded(ctx)
		revision, ok := w.readAll(ctx)
		w.waitForPeers(ctx)
		for ok && ctx.Err() == nil && w.shouldRead() {
			revision, ok = w.watch(ctx, revision)
			Sleep(ctx, w.watchPause())
		}
	}
}

// waitForPeers lets a starting box meet others before it watches: as long as it knows nobody it
// takes itself for the first reader.
func (w *StoreWatcher) waitForPeers(ctx context.Context) {
	if !w.hasWaitedForPeers {
		w.hasWaitedForPeers = true
		Sleep(ctx, discoveryDelay)
	}
}

// isReader tells whether this box reads the store for all.
func (w *StoreWatcher) isReader() bool { return w.readerRank() < readerCount }

// shouldRead tells whether this box is to read the store now.
func (w *StoreWatcher) shouldRead() bool {
	return w.isReader() || time.Now().Before(w.fallbackUntil)
}

// watchPause gives the pause before the next watch. A box that reads though it is no reader
// hears nothing from others, and rests as the first.
func (w *StoreWatcher) watchPause() time.Duration {
	readerRank := w.readerRank()
	if readerRank >= readerCount {
		return watchInterval
	}
	return min(watchInterval<<readerRank, w.fraction(maxWatchPauseFraction))
}

// waitUntilNeeded waits while others read: until this box is a reader, or what it believes
// gets old.
func (w *StoreWatcher) waitUntilNeeded(ctx context.Context) {
	for ctx.Err() == nil {
		v := w.state.View()
		now := time.Now()
		if w.isReader() {
			return
		}
		if !v.HasEndpointList || v.Table == nil {
			// Nothing was published yet when this box read, or the read failed.
			if now.Sub(w.lastReadAt) >= w.fraction(watchTimeoutFraction) {
				return
			}
			Sleep(ctx, idlePollInterval)
			continue
		}
		age, awaited := now.Sub(v.ConfirmedAt), w.state.ConfigLag(now)
		if age > w.maxListAge() || awaited > w.fraction(configLagFraction) {
			w.log.Info("nothing from the readers, reading the store", zap.Duration("list_age", age), zap.Duration("configuration_awaited", awaited))
			w.fallbackUntil = now.Add(fallbackDuration)
			return
		}
		Sleep(ctx, idlePollInterval)
	}
}

// maxListAge is how old what this box believes may get before it reads itself.
func (w *StoreWatcher) maxListAge() time.Duration {
	if w.readerRank() < readerCount+standbyCount {
		return w.fraction(standbyStaleFraction)
	}
	return w.fraction(staleFraction)
}

func (w *StoreWatcher) readAll(ctx context.Context) (routing.Revision, bool) {
	s, err := w.store.Read(ctx)
	if err != nil {
		w.handleFailure(ctx, "read", err)
		return 0, false
	}
	w.handleSuccess()
	w.lastReadAt = time.Now()
	w.state.ApplySnapshot(w.lastReadAt, s)
	return s.Revision, true
}

// watch asks for changes until history is lost; a call that failed is made
// again from the same revision.
func (w *StoreWatcher) watch(ctx context.Context, after routing.Revision) (routing.Revision, bool) {
	c, err := w.store.Watch(ctx, after, w.fraction(watchTimeoutFraction))
	if errors.Is(err, ErrHistoryLost) {
		w.onCall("history lost")
		w.log.Info("the store dropped its history, reading everything", zap.Uint64("after", after.Number()))
		return 0, false
	}
	if errors.Is(err, ErrStoreRestored) {
		w.onCall("store replaced")
		w.log.Info("the store came back from an older copy, reading everything", zap.Uint64("era", after.Era()), zap.Uint64("after", after.Number()))
		return 0, false
	}
	if errors.Is(err, ErrChangesTooLarge) {
		// The store holds each version that came since, and only the last is
		// wanted; to ask for them again would bring still more.
		w.onCall("too much")
		w.log.Info("the changes are larger than all there is, reading everything", zap.Uint64("after", after.Number()))
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

func (w *StoreWatcher) handleFailure(ctx context.Context, call string, err error) {
	w.onCall("failed")
	if ctx.Err() != nil {
		return
	}
	w.state.MarkStoreDown()
	if !w.storeLost {
		w.storeLost = true
		w.log.Warn("lost the store", zap.String("call", call), zap.Error(err))
	}
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), w.maxRetryDelay())
	if w.readsLast() {
		w.retryDelay = maxFallbackRetryDelay
	}
	Sleep(ctx, w.retryDelay/2+rand.N(w.retryDelay/2+1))
}

func (w *StoreWatcher) maxRetryDelay() time.Duration {
	if w.isReader() {
		return maxReaderRetryDelay
	}
	return maxFallbackRetryDelay
}

// readsLast tells whether this box only tries the store after the readers and the standbys
// did. When the store is away from all, 295 boxes would ask it some times a second.
func (w *StoreWatcher) readsLast() bool {
	return w.state.View().HasEndpointList && w.readerRank() >= readerCount+standbyCount
}

func (w *StoreWatcher) handleSuccess() {
	w.onCall("answered")
	w.retryDelay = 0
	w.state.MarkStoreUp(time.Now())
	if w.storeLost {
		w.storeLost = false
		w.log.Info("regained the store")
	}
}

// Sleep waits for a time or the context's end.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
