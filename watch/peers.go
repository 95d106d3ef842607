package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// peers returns the boxes with which this box compares versions.
func (w *Watch) peers() []core.Member {
	list := w.state.View().List
	if list == nil {
		return nil
	}
	return Peers(list, w.settings.Name, peerCount)
}

// Peers selects count peers for a box: half of them from its availability zone, a
// quarter from its region and a quarter from other regions. If one of these has too
// few boxes, boxes from the others fill the gap. Rendezvous ranking keeps the
// selection stable when the list changes.
func Peers(list *core.List, self string, count int) []core.Member {
	me := list.Member(self)
	if me == nil {
		me = &core.Member{Name: self}
	}
	var zone, region, others []string
	for i := range list.Boxes {
		m := &list.Boxes[i]
		switch {
		case m.Name == self:
		case m.Zone == me.Zone:
			zone = append(zone, m.Name)
		case m.Region == me.Region:
			region = append(region, m.Name)
		default:
			others = append(others, m.Name)
		}
	}
	quota := count / peerQuotaParts
	names := core.TopByScore(self, zone, count-2*quota)
	names = append(names, core.TopByScore(self, region, quota)...)
	names = append(names, core.TopByScore(self, others, quota)...)
	for _, name := range core.TopByScore(self, slices.Concat(zone, region, others), len(list.Boxes)) {
		if len(names) >= count {
			break
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return members(list, names)
}

// peerQuotaParts is the number of equal parts of a peer selection: two for the
// zone, one for the region, one for other regions.
const peerQuotaParts = 4

func members(list *core.List, names []string) []core.Member {
	all := make([]core.Member, 0, len(names))
	for _, name := range names {
		all = append(all, *list.Member(name))
	}
	return all
}

// waitForList waits up to peerTimeout for the first list, which names the peers.
func (w *Watch) waitForList(ctx context.Context) {
	deadline := time.Now().Add(peerTimeout)
	for w.state.View().List == nil && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// sendHeartbeats exchanges heartbeats with the peers.
func (w *Watch) sendHeartbeats(ctx context.Context) {
	peers := w.peers()
	names := make([]string, 0, len(peers))
	for _, m := range peers {
		names = append(names, m.Name)
		w.stepDetector(core.HeartbeatExpected{Box: m.Name})
	}
	w.mu.Lock()
	w.detector.Retain(names)
	w.mu.Unlock()
	var wait sync.WaitGroup
	for _, m := range peers {
		wait.Go(func() { w.sendHeartbeat(ctx, m) })
	}
	wait.Wait()
	w.state.SetSuspected(w.suspects())
}

func (w *Watch) sendHeartbeat(ctx context.Context, m core.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	requestedAt := time.Now()
	answer, err := wire.Request[wire.Heartbeat](ctx, w.pool, m.Watch, w.ownHeartbeat())
	if err != nil {
		return
	}
	w.stepDetector(core.HeartbeatReceived{Box: m.Name})
	w.recordHeartbeat(answer, requestedAt)
}

func (w *Watch) ownHeartbeat() wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return wire.Heartbeat{
		From:        w.self,
		ListAge:     time.Since(w.state.View().ConfirmedAt),
		Leaving:     w.isLeaving.Load(),
		Suspected:   w.detector.Suspects(time.Now()),
		ListVersion: w.state.Versions().List,
	}
}

// handleHeartbeat answers a peer's heartbeat. It ignores the age of the peer's list,
// since the message may have been delayed in transit.
func (w *Watch) handleHeartbeat(_ context.Context, _ *wire.Conn, q wire.Heartbeat) (wire.Heartbeat, error) {
	w.stepDetector(core.SuspectsReported{
		From:  q.From.Name,
		Boxes: q.Suspected,
	})
	w.recordLeaving(q)
	return w.ownHeartbeat(), nil
}

// recordHeartbeat applies a peer's answer to a heartbeat sent at requestedAt.
func (w *Watch) recordHeartbeat(h wire.Heartbeat, requestedAt time.Time) {
	w.stepDetector(core.SuspectsReported{
		From:  h.From.Name,
		Boxes: h.Suspected,
	})
	w.recordLeaving(h)
	w.state.ConfirmList(w.state.Versions().List, w.listConfirmedAt(h, requestedAt))
}

// listConfirmedAt returns the time at which, according to a peer, this box's list
// was the newest, or the zero time if the peer has another version.
func (w *Watch) listConfirmedAt(h wire.Heartbeat, requestedAt time.Time) time.Time {
	if h.ListVersion != w.state.Versions().List {
		return time.Time{}
	}
	return requestedAt.Add(-h.ListAge)
}

func (w *Watch) recordLeaving(h wire.Heartbeat) {
	if !h.Leaving {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leftPeers[h.From.Name] = h.From.Incarnation
}

func (w *Watch) stepDetector(ev core.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.Step(time.Now(), ev)
}

func (w *Watch) suspects() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.Suspects(time.Now())
}
