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
	// restBetween spaces the watches: each call to the store has a price, and
	// a change may be known this much later than it could.
	restBetween = 150 * time.Millisecond
	// meetTime is how long a starting box waits before its first watch, in which it meets
	// some tens of others: each of 295 boxes that started at once watched for a second.
	meetTime = 400 * time.Millisecond
	// restPart bounds the rest of the readers, each of which rests twice as long as the
	// one before it: a change ends all their watches at once, and what follows in the
	// next moments is told to all by the first of them.
	restPart = 0.25
	// retryFirst and retryMost bound a reader's pause after a call that failed;
	// a box that reads only because it heard nothing pauses up to helperMost.
	retryFirst = 150 * time.Millisecond
	retryMost  = 1000 * time.Millisecond
	helperMost = 3 * time.Second
	// helperTime is how long a box that heard nothing from the readers reads
	// the store itself.
	helperTime = 4 * time.Second
	// lookEvery is how often a box that doesn't read looks whether it must.
	lookEvery = 100 * time.Millisecond
	// watchPart and stalePart divide the time in which a change must be in
	// force: a reader's watch is answered within the first part, so that a view
	// that is older than the second means that no reader reaches this box.
	watchPart = 0.25
	stalePart = 0.6
	// latePart is the same for a box that is no standby: by then, word of what the
	// standbys read has come round. What is left is enough to read the store.
	latePart = 0.75
	// awaitPart is the part of that time after which a box that has heard of a newer
	// configuration, and has it from nobody, reads the store itself. 73 boxes have one
	// of 2,850 routes from each other within a tenth of it; half of what is left after
	// this part is enough to read 0.77 MB over 10 Mbit/s.
	awaitPart = 0.3
)

// StoreWatcher keeps a belief up to date from the store: as one of the readers, or
// when nothing comes from them.
type StoreWatcher struct {
	source Store
	belief *State
	within time.Duration // a change must be in force
	rank   func() int    // this box's place among the readers, from 0
	onNews func(Update)
	log    *zap.Logger
	calls  func(result string)
	lost   bool
	met    bool      // whether this box had time to meet others
	readAt time.Time // when it last read everything
	pause  time.Duration
	helper time.Time // until when this box reads though it is no reader
}

// StoreWatcherOption changes how a follower is built.
type StoreWatcherOption func(*StoreWatcher)

// WithStoreWatcherLog gives the log of a follower.
func WithStoreWatcherLog(log *zap.Logger) StoreWatcherOption {
	return func(f *StoreWatcher) { f.log = log }
}

// WithOnStoreCall is told the result of each call to the store.
func WithOnStoreCall(count func(result string)) StoreWatcherOption {
	return func(f *StoreWatcher) { f.calls = count }
}

// WithReaderRank tells this box's place, from 0, among those that read the store for all;
// without it, it is the first.
func WithReaderRank(rank func() int) StoreWatcherOption {
	return func(f *StoreWatcher) { f.rank = rank }
}

// WithOnUpdate is called with each change that the store told.
func WithOnUpdate(onNews func(Update)) StoreWatcherOption {
	return func(f *StoreWatcher) { f.onNews = onNews }
}

// NewStoreWatcher builds a follower of a source. Within is the time in which a
// change must be in force.
func NewStoreWatcher(source Store, belief *State, within time.Duration, options ...StoreWatcherOption) *StoreWatcher {
	f := &StoreWatcher{
		source: source,
		belief: belief,
		within: within,
		rank:   func() int { return 0 },
		onNews: func(Update) {},
		log:    zap.NewNop(),
		calls:  func(string) {},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

func (f *StoreWatcher) part(of float64) time.Duration { return time.Duration(of * float64(f.within)) }

// Run follows the source until the context ends.
func (f *StoreWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.idle(ctx)
		revision, ok := f.read(ctx)
		f.meet(ctx)
		for ok && ctx.Err() == nil && f.reads() {
			revision, ok = f.watch(ctx, revision)
			Sleep(ctx, f.rest())
		}
	}
}

// meet lets a starting box meet others before it watches: as long as it knows nobody it
// takes itself for the first reader.
func (f *StoreWatcher) meet(ctx context.Context) {
	if !f.met {
		f.met = true
		Sleep(ctx, meetTime)
	}
}

// reader tells whether this box reads the store for all.
func (f *StoreWatcher) reader() bool { return f.rank() < readerCount }

// reads tells whether this box is to read the store now.
func (f *StoreWatcher) reads() bool {
	return f.reader() || time.Now().Before(f.helper)
}

// rest gives the pause before the next watch. A box that reads though it is no reader
// hears nothing from others, and rests as the first.
func (f *StoreWatcher) rest() time.Duration {
	rank := f.rank()
	if rank >= readerCount {
		return restBetween
	}
	return min(restBetween<<rank, f.part(restPart))
}

// idle waits while others read: until this box is a reader, or what it believes
// gets old.
func (f *StoreWatcher) idle(ctx context.Context) {
	for ctx.Err() == nil {
		v := f.belief.View()
		now := time.Now()
		if f.reader() {
			return
		}
		if !v.HasEndpointList || v.Table == nil {
			// Nothing was published yet when this box read, or the read failed.
			if now.Sub(f.readAt) >= f.part(watchPart) {
				return
			}
			Sleep(ctx, lookEvery)
			continue
		}
		age, awaited := now.Sub(v.ConfirmedAt), f.belief.ConfigLag(now)
		if age > f.patience() || awaited > f.part(awaitPart) {
			f.log.Info("nothing from the readers, reading the store", zap.Duration("list_age", age), zap.Duration("configuration_awaited", awaited))
			f.helper = now.Add(helperTime)
			return
		}
		Sleep(ctx, lookEvery)
	}
}

// patience is how old what this box believes may get before it reads itself.
func (f *StoreWatcher) patience() time.Duration {
	if f.rank() < readerCount+standbyCount {
		return f.part(stalePart)
	}
	return f.part(latePart)
}

func (f *StoreWatcher) read(ctx context.Context) (routing.Revision, bool) {
	s, err := f.source.Read(ctx)
	if err != nil {
		f.failed(ctx, "read", err)
		return 0, false
	}
	f.reached()
	f.readAt = time.Now()
	f.belief.ApplySnapshot(f.readAt, s)
	return s.Revision, true
}

// watch asks for changes until history is lost; a call that failed is made
// again from the same revision.
func (f *StoreWatcher) watch(ctx context.Context, after routing.Revision) (routing.Revision, bool) {
	c, err := f.source.Watch(ctx, after, f.part(watchPart))
	if errors.Is(err, ErrHistoryLost) {
		f.calls("history lost")
		f.log.Info("the store dropped its history, reading everything", zap.Uint64("after", after.Number()))
		return 0, false
	}
	if errors.Is(err, ErrStoreRestored) {
		f.calls("store replaced")
		f.log.Info("the store came back from an older copy, reading everything", zap.Uint64("era", after.Era()), zap.Uint64("after", after.Number()))
		return 0, false
	}
	if errors.Is(err, ErrChangesTooLarge) {
		// The store holds each version that came since, and only the last is
		// wanted; to ask for them again would bring still more.
		f.calls("too much")
		f.log.Info("the changes are larger than all there is, reading everything", zap.Uint64("after", after.Number()))
		return 0, false
	}
	if err != nil {
		f.failed(ctx, "watch", err)
		return after, true
	}
	f.reached()
	if news, any := f.belief.ApplyChanges(time.Now(), c); any {
		f.onNews(news)
	}
	return c.Revision, true
}

func (f *StoreWatcher) failed(ctx context.Context, call string, err error) {
	f.calls("failed")
	if ctx.Err() != nil {
		return
	}
	f.belief.MarkStoreDown()
	if !f.lost {
		f.lost = true
		f.log.Warn("lost the store", zap.String("call", call), zap.Error(err))
	}
	f.pause = min(max(2*f.pause, retryFirst), f.pauseMost())
	if f.last() {
		f.pause = helperMost
	}
	Sleep(ctx, f.pause/2+rand.N(f.pause/2+1))
}

func (f *StoreWatcher) pauseMost() time.Duration {
	if f.reader() {
		return retryMost
	}
	return helperMost
}

// last tells whether this box only tries the store after the readers and the standbys
// did. When the store is away from all, 295 boxes would ask it some times a second.
func (f *StoreWatcher) last() bool {
	return f.belief.View().HasEndpointList && f.rank() >= readerCount+standbyCount
}

func (f *StoreWatcher) reached() {
	f.calls("answered")
	f.pause = 0
	f.belief.MarkStoreUp(time.Now())
	if f.lost {
		f.lost = false
		f.log.Info("regained the store")
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
