package fleet

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
	"dillsaddle.example/dillsaddle/wire"
)

// maxSeenUpdates is how many recent updates a box remembers in order to forward each once. An
// update crosses the fleet in tens of milliseconds.
const maxSeenUpdates = 128

// ReaderRank returns this box's rank, from 0, among the boxes that read the store for all.
func (p *Peers) ReaderRank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return core.ReaderRank(p.roster.Self(), p.roster.Alive(time.Now()))
}

// Reader reports whether this box is among those that read the store for all.
func (p *Peers) Reader() bool { return p.ReaderRank() < readerCount }

// BroadcastUpdate sends an update to all partners, unless it was sent before.
func (p *Peers) BroadcastUpdate(u Update) {
	if !p.markSeen(u) {
		return
	}
	u = u.truncate()
	p.mu.Lock()
	remotePartners := slices.Clone(p.remotePartners)
	p.mu.Unlock()
	p.sendToGroup(u, nil)
	p.sendUpdate(remotePartners, u, nil)
}

// forwardUpdate sends an update to all partners that it doesn't reach otherwise.
func (p *Peers) forwardUpdate(u Update, from *wire.Conn) {
	if !u.SentToGroup {
		p.sendToGroup(u, from)
	}
	u.SentToGroup = false
	p.sendUpdate(p.forwardingPartners(), u, from)
}

// sendToGroup sends an update to the boxes of the group, either to all or to those that forward it
// to the rest.
func (p *Peers) sendToGroup(u Update, from *wire.Conn) {
	p.mu.Lock()
	targets := p.paths.updateTargets()
	u.SentToGroup = p.paths.isDirect()
	p.mu.Unlock()
	p.sendUpdate(targets, u, from)
}

// sendUpdate sends an update to boxes but the one that it came from.
func (p *Peers) sendUpdate(to []netip.AddrPort, u Update, from *wire.Conn) {
	for _, address := range to {
		go p.pushUpdate(address, u, from)
	}
}

func (p *Peers) pushUpdate(address netip.AddrPort, u Update, from *wire.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	c, err := p.pool.Get(ctx, address)
	if err != nil || c == from {
		// A box that misses an update learns of it with the next gossip exchange.
		return
	}
	if err := c.Push(ctx, u); err != nil {
		p.log.Debug("sending update to box failed", zap.Stringer("address", address), zap.Error(err))
	}
}

// handleUpdate applies an update from a peer, starts to fetch what it omits, and forwards it if
// it is new. A configuration or omitted changes are announced only after they were fetched.
func (p *Peers) handleUpdate(_ context.Context, c *wire.Conn, u Update) {
	if u.Age < 0 {
		// An invalid age must not confirm the list.
		u.Age = math.MaxInt64
	}
	if !u.Truncated {
		p.state.ApplyUpdate(time.Now(), sourcePeer, u)
	}
	ad := core.Advertisement{ConfigVersion: u.Version}
	if u.Truncated {
		ad.ListRevision = u.ListRevision
	}
	p.handleAdvertisement(c, ad)
	u.Version = 0
	if u.ListRevision > 0 && !u.Truncated && p.markSeen(u) {
		p.forwardUpdate(u, c)
	}
}

// updateKey identifies an update.
type updateKey struct {
	listRevision routing.Revision
	version      uint64
	hasLapses    bool // a box that reached the store all along sends the same update without lapses
}

// markSeen remembers an update and reports whether it is new. The state can't answer that: after
// a missed update, it accepts the same later ones repeatedly.
func (p *Peers) markSeen(u Update) bool {
	key := updateKey{
		listRevision: u.ListRevision,
		version:      u.Version,
		hasLapses:    slices.ContainsFunc(u.Removed, func(r Removal) bool { return r.Lapsed }),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.seenUpdates, key) {
		return false
	}
	p.seenUpdates = append(p.seenUpdates, key)
	if len(p.seenUpdates) > maxSeenUpdates {
		p.seenUpdates = p.seenUpdates[1:]
	}
	return true
}
