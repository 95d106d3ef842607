package watch

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"dillsaddle.example/dillsaddle/wire"
)

// redialDelay is the time between two attempts to connect to the watch.
const redialDelay = 300 * time.Millisecond

// Follow keeps a process's state in step with its box's watch.
func Follow(ctx context.Context, address netip.AddrPort, state *State) {
	f := &follower{
		address: address,
		state:   state,
	}
	handlers := wire.NewHandlers(
		wire.WithVersions(state.Versions),
		wire.WithOnVersions(f.handleVersions),
	)
	wire.HandlePush(handlers, f.handleSnapshot)
	wire.HandleRequest(handlers, f.handleFetch)
	f.handlers = handlers
	go f.run(ctx)
}

// follower polls the watch of its box and applies the snapshots.
type follower struct {
	address  netip.AddrPort
	state    *State
	handlers *wire.Handlers
	fetching atomic.Bool // a request for newer versions is in progress
}

// pollInterval is the time between two requests for a snapshot. Only the response
// to a request confirms the age of the list: a push may have been delayed, so it
// just triggers a request.
const pollInterval = 500 * time.Millisecond

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := wire.Dial(ctx, f.address, f.handlers)
		if err != nil {
			time.Sleep(redialDelay)
			continue
		}
		f.request(ctx, c, wire.Subscribe{})
		f.poll(ctx, c)
		c.Close()
	}
}

// poll requests snapshots until the connection closes.
func (f *follower) poll(ctx context.Context, c *wire.Conn) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.request(ctx, c, wire.Fetch(f.state.Versions()))
		case <-c.Closed():
			return
		case <-ctx.Done():
			return
		}
	}
}

// request sends a request to the watch and applies the snapshot that it returns.
// On failure it closes the connection, since a stalled one doesn't fail by itself.
func (f *follower) request(ctx context.Context, c *wire.Conn, q wire.Message) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := time.Now()
	s, err := wire.CallWithIdleTimeout[wire.Snapshot](ctx, c, q, peerTimeout)
	if err != nil {
		c.Close()
		return
	}
	f.state.SetSuspected(s.Suspected)
	f.state.Apply(s, requestedAt)
}

// handleVersions requests a snapshot if the watch announces a newer version.
func (f *follower) handleVersions(c *wire.Conn, v wire.Versions) {
	if !f.state.ObserveVersions(v) || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		f.request(context.Background(), c, wire.Fetch(f.state.Versions()))
	}()
}

// handleSnapshot handles a pushed snapshot, of which it applies the suspected boxes only.
// The versions in its envelope trigger a request for the rest.
func (f *follower) handleSnapshot(_ context.Context, _ *wire.Conn, s wire.Snapshot) {
	f.state.SetSuspected(s.Suspected)
}

// handleFetch returns this process's snapshot, for a watch that has restarted.
func (f *follower) handleFetch(_ context.Context, _ *wire.Conn, q wire.Fetch) (wire.Snapshot, error) {
	return f.state.Snapshot(wire.Versions(q)), nil
}
