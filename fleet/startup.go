package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// peerStateTimeout is how long a starting box waits on average for its first state from
	// a peer before it reads the store. It is drawn at random, so that the boxes that read
	// first can pass the state on to the others.
	peerStateTimeout = 300 * time.Millisecond
	// firstStartTimeout is the same at the first start of a deployment, when no callers wait
	// and the servers may not have registered yet.
	firstStartTimeout = 5 * time.Second
	// maxPeerStateWait bounds the wait while a peer's state is being fetched.
	maxPeerStateWait = 5 * time.Second
	// peerStatePollInterval is how often a starting box checks for a peer's state.
	peerStatePollInterval = 25 * time.Millisecond
	// unpublishedPollFactor is how much less often a box that is no reader reads a store in
	// which nothing is published yet.
	unpublishedPollFactor = 4
)

// StartupPeers tells a starting box what it can expect of other boxes.
type StartupPeers interface {
	// ExpectsPeers reports whether other boxes should have or read the state first: there
	// are seeds, and this box is none of them.
	ExpectsPeers() bool
	// IsFetching reports whether a peer has offered newer state that isn't here yet.
	IsFetching() bool
	// HasDiscoveredPeers reports whether this box knows most of the others.
	HasDiscoveredPeers() bool
}

// noPeers is the StartupPeers of a box that is alone.
type noPeers struct{}

func (noPeers) ExpectsPeers() bool       { return false }
func (noPeers) IsFetching() bool         { return false }
func (noPeers) HasDiscoveredPeers() bool { return true }

// WithStartupPeers has a starting box wait for a peer's state before it reads the store. Without
// it, many boxes that start together all read the whole list from the store.
func WithStartupPeers(p StartupPeers, firstStart bool) StoreWatcherOption {
	return func(w *StoreWatcher) {
		w.startupPeers = p
		w.firstStart = firstStart
	}
}

// awaitPeerState waits until a peer has delivered a current state, or until this box should read
// the store itself.
func (w *StoreWatcher) awaitPeerState(ctx context.Context) {
	if !w.startupPeers.ExpectsPeers() {
		w.readsFirst = true
		return
	}
	startedAt := time.Now()
	timeout := w.startupTimeout()
	for ctx.Err() == nil {
		now := time.Now()
		if w.hasCurrentState(now) {
			return
		}
		waited := now.Sub(startedAt)
		if waited >= timeout && (waited >= maxPeerStateWait || !w.startupPeers.IsFetching()) {
			w.log.Info("no state from other boxes, reading the store", zap.Duration("waited", waited), zap.Bool("fetching", w.startupPeers.IsFetching()))
			w.readsFirst = true
			return
		}
		Sleep(ctx, peerStatePollInterval)
	}
}

// startupTimeout returns how long to wait for a peer's state, varied by half in both directions.
func (w *StoreWatcher) startupTimeout() time.Duration {
	mean := peerStateTimeout
	if w.firstStart {
		mean = firstStartTimeout
	}
	return mean/2 + rand.N(mean)
}

// hasCurrentState reports whether this box has a configuration and a list that is not too old.
func (w *StoreWatcher) hasCurrentState(now time.Time) bool {
	v := w.state.View()
	return v.HasEndpointList && v.Table != nil && now.Sub(v.ConfirmedAt) <= w.maxListAge()
}

// unpublishedPollInterval returns how often to read a store in which nothing is published yet. A
// box that expects peers hears from the readers what is published.
func (w *StoreWatcher) unpublishedPollInterval() time.Duration {
	interval := w.fraction(watchTimeoutFraction)
	if w.startupPeers.ExpectsPeers() {
		interval *= unpublishedPollFactor
	}
	return interval
}
