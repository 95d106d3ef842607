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

// newsMemory is how many pieces of news a box remembers, to hand each on once;
// they travel for some tens of milliseconds.
const newsMemory = 128

// ReaderRank gives this box's place, from 0, among those that read the store for all.
func (p *Peers) ReaderRank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return core.ReaderRank(p.roster.Self(), p.roster.Alive(time.Now()))
}

// Reader tells whether this box is among those that read the store for all.
func (p *Peers) Reader() bool { return p.ReaderRank() < readerCount }

// BroadcastUpdate tells the partners at once of what this box has learned.
func (p *Peers) BroadcastUpdate(n Update) {
	if p.firstSeen(n) {
		p.spread(n.announcement(), nil)
	}
}

func (p *Peers) spread(n Update, from *wire.Conn) {
	p.mu.Lock()
	partners := p.partners()
	p.mu.Unlock()
	for _, address := range partners {
		go p.pushNews(address, n, from)
	}
}

func (p *Peers) pushNews(address netip.AddrPort, n Update, from *wire.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), greetTime)
	defer cancel()
	c, err := p.pool.Get(ctx, address)
	if err != nil || c == from {
		// Whoever misses news sees it with the next greeting.
		return
	}
	if err := c.Push(ctx, n); err != nil {
		p.log.Debug("news were not taken", zap.Stringer("address", address), zap.Error(err))
	}
}

// newsCame takes news from a peer, asks for what they leave out, and hands on what
// is new. Word of what this box doesn't have to give goes on once it has.
func (p *Peers) newsCame(_ context.Context, c *wire.Conn, n Update) {
	if n.Age < 0 {
		n.Age = math.MaxInt64
	}
	if !n.Truncated {
		p.belief.ApplyUpdate(time.Now(), fromPeer, n)
	}
	o := core.Advertisement{ConfigVersion: n.Version}
	if n.Truncated {
		o.ListRevision = n.ListRevision
	}
	p.offered(c, o)
	n.Version = 0
	if n.ListRevision > 0 && !n.Truncated && p.firstSeen(n) {
		p.spread(n, c)
	}
}

// newsKey tells one piece of news from another.
type newsKey struct {
	changed routing.Revision
	version uint64
}

// firstSeen tells whether news came for the first time, and remembers them.
// What a box believes doesn't tell: after a gap, it takes the same news again
// and again.
func (p *Peers) firstSeen(n Update) bool {
	key := newsKey{
		changed: n.ListRevision,
		version: n.Version,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.seen, key) {
		return false
	}
	p.seen = append(p.seen, key)
	if len(p.seen) > newsMemory {
		p.seen = p.seen[1:]
	}
	return true
}
