package watch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// joining is a starting watch's asking of its peers; when it may serve is the
// core's decision.
type joining struct {
	mu     sync.Mutex
	core   *core.Join
	once   sync.Once
	served chan struct{}
}

func newJoining(now time.Time) *joining {
	return &joining{
		core:   core.NewJoin(now, core.JoinRules{Timeout: peerTimeout}),
		served: make(chan struct{}),
	}
}

func (j *joining) step(ev core.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.core.Step(time.Now(), ev)
	if j.core.State == core.JoinServing {
		j.once.Do(func() { close(j.served) })
	}
}

// askPeers asks some peers for what they have in force before this box serves,
// since the platform may be down or show an older state.
func (w *Watch) askPeers(ctx context.Context) {
	w.waitForList(ctx)
	j := newJoining(time.Now())
	addresses := w.startAddresses()
	names := make([]string, 0, len(addresses))
	for _, address := range addresses {
		names = append(names, address.String())
	}
	j.step(core.PeersListed{Boxes: names})
	for _, address := range addresses {
		go w.askPeer(ctx, j, address)
	}
	select {
	case <-j.served:
	case <-time.After(peerTimeout):
		j.step(core.JoinTicked{})
	case <-ctx.Done():
	}
}

// startAddresses are whom a starting watch asks: peers of the list and those that
// its settings name.
func (w *Watch) startAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	if list := w.state.View().List; list != nil {
		for _, m := range Peers(list, w.settings.Name, startPeers) {
			all = append(all, m.Watch)
		}
	}
	return append(all, w.settings.Peers...)
}

func (w *Watch) askPeer(ctx context.Context, j *joining, address netip.AddrPort) {
	dialing, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, err := w.pool.Get(dialing, address)
	if err == nil {
		fetching, cancel := context.WithTimeout(ctx, fetchMost)
		defer cancel()
		err = w.fetchFrom(fetching, c)
	}
	if err != nil {
		j.step(core.PeerUnreachable{Box: address.String()})
		return
	}
	j.step(core.PeerAnswered{Box: address.String()})
}
