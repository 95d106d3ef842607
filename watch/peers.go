package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// peers gives the boxes that this box compares versions with: two of its own
// zone, one of its region and one beyond, so that no box talks to all. Where a
// circle is too small, the next one fills up.
func (w *Watch) peers() []core.Member {
	list := w.state.View().List
	if list == nil {
		return nil
	}
	return Peers(list, w.settings.Name, peerCount)
}

// Peers picks the peers of a box: zone first, then region, then the rest, each
// circle ranked by rendezvous so that a change moves few.
func Peers(list *core.List, self string, count int) []core.Member {
	me := list.Member(self)
	if me == nil {
		me = &core.Member{Name: self}
	}
	var zone, region, rest []string
	for i := range list.Boxes {
		m := &list.Boxes[i]
		switch {
		case m.Name == self:
		case m.Zone == me.Zone:
			zone = append(zone, m.Name)
		case m.Region == me.Region:
			region = append(region, m.Name)
		default:
			rest = append(rest, m.Name)
		}
	}
	quota := count / peerCircles
	names := core.TopByScore(self, zone, count-2*quota)
	names = append(names, core.TopByScore(self, region, quota)...)
	names = append(names, core.TopByScore(self, rest, quota)...)
	for _, name := range core.TopByScore(self, slices.Concat(zone, region, rest), len(list.Boxes)) {
		if len(names) >= count {
			break
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return members(list, names)
}

// peerCircles is the number of parts that peers are picked in: two parts from
// the zone, one from the region, one from beyond.
const peerCircles = 4

func members(list *core.List, names []string) []core.Member {
	all := make([]core.Member, 0, len(names))
	for _, name := range names {
		all = append(all, *list.Member(name))
	}
	return all
}

// waitForList waits a moment for the platform's list, which names the peers.
func (w *Watch) waitForList(ctx context.Context) {
	deadline := time.Now().Add(peerTimeout)
	for w.state.View().List == nil && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// beat exchanges heartbeats with the peers.
func (w *Watch) beat(ctx context.Context) {
	peers := w.peers()
	names := make([]string, 0, len(peers))
	for _, m := range peers {
		names = append(names, m.Name)
		w.step(core.HeartbeatExpected{Box: m.Name})
	}
	w.mu.Lock()
	w.suspicion.Retain(names)
	w.mu.Unlock()
	var wait sync.WaitGroup
	for _, m := range peers {
		wait.Go(func() { w.beatOne(ctx, m) })
	}
	wait.Wait()
	w.state.Suspect(w.suspects())
}

func (w *Watch) beatOne(ctx context.Context, m core.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := wire.Request[wire.Heartbeat](ctx, w.pool, m.Watch, w.own())
	if err != nil {
		return
	}
	w.step(core.HeartbeatReceived{Box: m.Name})
	w.heard(answer, asked)
}

func (w *Watch) own() wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return wire.Heartbeat{
		From:        w.self,
		ListAge:     time.Since(w.state.View().ConfirmedAt),
		Leaving:     w.leaving.Load(),
		Suspected:   w.suspicion.Suspects(time.Now()),
		ListVersion: w.state.Versions().List,
	}
}

// heartbeat answers a peer's; only an answer to a question of one's own says
// how old the peer's reading is, since a message may have been held up.
func (w *Watch) heartbeat(_ context.Context, _ *wire.Conn, q wire.Heartbeat) (wire.Heartbeat, error) {
	w.step(core.SuspectsReported{
		From:  q.From.Name,
		Boxes: q.Suspected,
	})
	w.noteLeaving(q)
	return w.own(), nil
}

func (w *Watch) heard(h wire.Heartbeat, asked time.Time) {
	w.step(core.SuspectsReported{
		From:  h.From.Name,
		Boxes: h.Suspected,
	})
	w.noteLeaving(h)
	w.state.Confirm(w.state.Versions().List, w.confirmedBy(h, asked))
}

// confirmedBy gives the moment for which a peer vouches that its list was the
// newest. The peer's version came with the same message; one that is behind
// vouches for nothing.
func (w *Watch) confirmedBy(h wire.Heartbeat, asked time.Time) time.Time {
	if h.ListVersion != w.state.Versions().List {
		return time.Time{}
	}
	return asked.Add(-h.ListAge)
}

func (w *Watch) noteLeaving(h wire.Heartbeat) {
	if !h.Leaving {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retired[h.From.Name] = h.From.Incarnation
}

func (w *Watch) step(ev core.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspicion.Step(time.Now(), ev)
}

func (w *Watch) suspects() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspicion.Suspects(time.Now())
}
