package watch

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"dillsaddle.example/dillsaddle/wire"
)

// followPause is the time before a lost watch is connected to again.
const followPause = 300 * time.Millisecond

// Follow keeps a process's state at what its box's watch has in force.
func Follow(ctx context.Context, address netip.AddrPort, state *State) {
	f := &follower{
		address: address,
		state:   state,
	}
	handlers := wire.NewHandlers(
		wire.WithVersions(state.Versions),
		wire.WithOnVersions(f.versionsSeen),
	)
	wire.HandlePush(handlers, f.take)
	wire.HandleRequest(handlers, f.fetch)
	f.handlers = handlers
	go f.run(ctx)
}

type follower struct {
	address  netip.AddrPort
	state    *State
	handlers *wire.Handlers
	fetching atomic.Bool
}

// followEvery is the time between two questions for what is in force. Only an
// answer to a question says how old a reading is; a push may have been held up
// on its way and serves as a hint to ask.
const followEvery = 500 * time.Millisecond

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := wire.Dial(ctx, f.address, f.handlers)
		if err != nil {
			time.Sleep(followPause)
			continue
		}
		f.ask(ctx, c, wire.Subscribe{})
		f.keepAsking(ctx, c)
		c.Close()
	}
}

func (f *follower) keepAsking(ctx context.Context, c *wire.Conn) {
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.ask(ctx, c, wire.Fetch(f.state.Versions()))
		case <-c.Closed():
			return
		case <-ctx.Done():
			return
		}
	}
}

// ask takes what the watch answers; a watch that doesn't answer is connected to
// anew, since a stalled link doesn't break by itself.
func (f *follower) ask(ctx context.Context, c *wire.Conn, q wire.Message) {
	ctx, cancel := context.WithTimeout(ctx, fetchMost)
	defer cancel()
	asked := time.Now()
	s, err := wire.CallWithIdleTimeout[wire.Snapshot](ctx, c, q, peerTimeout)
	if err != nil {
		c.Close()
		return
	}
	f.state.Suspect(s.Suspected)
	f.state.Take(s, asked)
}

// versionsSeen asks the watch for what a push showed to be newer.
func (f *follower) versionsSeen(c *wire.Conn, v wire.Versions) {
	if !f.state.Heard(v) || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		f.ask(context.Background(), c, wire.Fetch(f.state.Versions()))
	}()
}

func (f *follower) take(_ context.Context, _ *wire.Conn, s wire.Snapshot) {
	f.state.Suspect(s.Suspected)
}

// fetch gives the watch what this process has, after a watch started anew.
func (f *follower) fetch(_ context.Context, _ *wire.Conn, q wire.Fetch) (wire.Snapshot, error) {
	return f.state.Snapshot(wire.Versions(q)), nil
}
