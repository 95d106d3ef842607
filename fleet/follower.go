package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// restBetween spaces the watches: each call to the store has a price, and
	// a change may be known this much later than it could.
	restBetween = 200 * time.Millisecond
	// watchWait is the longest that a watch is held; servers renew their
	// entries about every second, so that a well store answers sooner.
	watchWait = 2 * time.Second
	// retryFirst and retryMost bound the pause after a call that failed.
	retryFirst = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
)

// Follower keeps a belief up to date from the store.
type Follower struct {
	source Source
	belief *Belief
	log    *zap.Logger
	calls  func(result string)
	lost   bool
	pause  time.Duration
}

// FollowerOption changes how a follower is built.
type FollowerOption func(*Follower)

// WithFollowerLog gives the log of a follower.
func WithFollowerLog(log *zap.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// WithCallCount is told the result of each call to the store.
func WithCallCount(count func(result string)) FollowerOption {
	return func(f *Follower) { f.calls = count }
}

// NewFollower builds a follower of a source.
func NewFollower(source Source, belief *Belief, options ...FollowerOption) *Follower {
	f := &Follower{
		source: source,
		belief: belief,
		log:    zap.NewNop(),
		calls:  func(string) {},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Run follows the source until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, ok := f.read(ctx)
		for ok && ctx.Err() == nil {
			sleep(ctx, restBetween)
			revision, ok = f.watch(ctx, revision)
		}
	}
}

func (f *Follower) read(ctx context.Context) (uint64, bool) {
	s, err := f.source.Read(ctx)
	if err != nil {
		f.failed(ctx, "read", err)
		return 0, false
	}
	f.reached()
	f.belief.ApplySnapshot(time.Now(), s)
	return s.Revision, true
}

// watch asks for changes until history is lost; a call that failed is made
// again from the same revision.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, bool) {
	c, err := f.source.Watch(ctx, after, watchWait)
	if errors.Is(err, ErrHistoryLost) {
		f.calls("history lost")
		f.log.Info("the store dropped its history, reading everything", zap.Uint64("after", after))
		return 0, false
	}
	if err != nil {
		f.failed(ctx, "watch", err)
		return after, true
	}
	f.reached()
	f.belief.ApplyChanges(time.Now(), c)
	return c.Revision, true
}

func (f *Follower) failed(ctx context.Context, call string, err error) {
	f.calls("failed")
	if ctx.Err() != nil {
		return
	}
	f.belief.StoreAway()
	if !f.lost {
		f.lost = true
		f.log.Warn("lost the store", zap.String("call", call), zap.Error(err))
	}
	f.pause = min(max(2*f.pause, retryFirst), retryMost)
	sleep(ctx, f.pause/2+rand.N(f.pause/2+1))
}

func (f *Follower) reached() {
	f.calls("answered")
	f.pause = 0
	f.belief.StoreBack(time.Now())
	if f.lost {
		f.lost = false
		f.log.Info("regained the store")
	}
}

// sleep waits for a time or the context's end.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
