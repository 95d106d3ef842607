package watch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// peerQuery tracks the peers that a starting watch queries; core.Join decides when
// the watch may serve.
type peerQuery struct {
	mu        sync.Mutex
	core      *core.Join
	closeOnce sync.Once
	serving   chan struct{}
}

func newPeerQuery(now time.Time) *peerQuery {
	return &peerQuery{
		core:    core.NewJoin(now, core.JoinRules{Timeout: peerTimeout}),
		serving: make(chan struct{}),
	}
}

func (q *peerQuery) step(ev core.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Step(time.Now(), ev)
	if q.core.State == core.JoinServing {
		q.closeOnce.Do(func() { close(q.serving) })
	}
}

// queryPeers fetches the snapshots of some peers before this watch serves, since
// the platform may be down or return an older state.
func (w *Watch) queryPeers(ctx context.Context) {
	w.waitForList(ctx)
	q := newPeerQuery(time.Now())
	addresses := w.bootstrapAddresses()
	names := make([]string, 0, len(addresses))
	for _, address := range addresses {
		names = append(names, address.String())
	}
	q.step(core.PeersListed{Boxes: names})
	for _, address := range addresses {
		go w.queryPeer(ctx, q, address)
	}
	select {
	case <-q.serving:
	case <-time.After(peerTimeout):
		q.step(core.JoinTicked{})
	case <-ctx.Done():
	}
}

// bootstrapAddresses returns the addresses to query at the start: peers from the
// list, and those from the settings.
func (w *Watch) bootstrapAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	if list := w.state.View().List; list != nil {
		for _, m := range Peers(list, w.settings.Name, bootstrapPeerCount) {
			all = append(all, m.Watch)
		}
	}
	return append(all, w.settings.Peers...)
}

func (w *Watch) queryPeer(ctx context.Context, q *peerQuery, address netip.AddrPort) {
	dialCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, err := w.pool.Get(dialCtx, address)
	if err == nil {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		err = w.fetchFrom(fetchCtx, c)
	}
	if err != nil {
		q.step(core.PeerUnreachable{Box: address.String()})
		return
	}
	q.step(core.PeerAnswered{Box: address.String()})
}
