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
func (p *Peers) BroadcastUpdate(n Update) {
	if p.markSeen(n) {
		p.forwardUpdate(n.truncate(), nil)
	}
}

func (p *Peers) forwardUpdate(n Update, from *wire.Conn) {
	p.mu.Lock()
	partners := p.partners()
	p.mu.Unlock()
	for _, address := range partners {
		go p.pushUpdate(address, n, from)
	}
}

func (p *Peers) pushUpdate(address netip.AddrPort, n Update, from *wire.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	c, err := p.pool.Get(ctx, address)
	if err != nil || c == from {
		// A box that misses an update learns of it with the next gossip exchange.
		return
	}
	if err := c.Push(ctx, n); err != nil {
		p.log.Debug("sending update to box failed", zap.Stringer("address", address), zap.Error(err))
	}
}

// handleUpdate applies an update from a peer, starts to fetch what it omits, and forwards it if
// it is new. A configuration or omitted changes are announced only after they were fetched.
func (p *Peers) handleUpdate(_ context.Context, c *wire.Conn, n Update) {
	if n.Age < 0 {
		n.Age = math.MaxInt64
	}
	if !n.Truncated {
		p.state.ApplyUpdate(time.Now(), sourcePeer, n)
	}
	o := core.Advertisement{ConfigVersion: n.Version}
	if n.Truncated {
		o.ListRevision = n.ListRevision
	}
	p.handleAdvertisement(c, o)
	n.Version = 0
	if n.ListRevision > 0 && !n.Truncated && p.markSeen(n) {
		p.forwardUpdate(n, c)
	}
}

// updateKey identifies an update.
type updateKey struct {
	changed routing.Revision
	version uint64
}

// markSeen remembers an update and reports whether it is new. The state can't answer that: after
// a missed update, it accepts the same later ones repeatedly.
func (p *Peers) markSeen(n Update) bool {
	key := updateKey{
		changed: n.ListRevision,
		version: n.Version,
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
