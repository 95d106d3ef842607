package fleet

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

const (
	// greetTime bounds one greeting.
	greetTime = 800 * time.Millisecond
	// listPatience is how long a list may be behind a partner's before it is asked
	// for: news bring most changes within milliseconds.
	listPatience = 400 * time.Millisecond
)

func (p *Peers) greet(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	answer, err := wire.Request[Gossip](ctx, p.pool, address, p.greeting(p.isFellow(address)))
	if err != nil {
		p.log.Debug("box didn't answer", zap.Stringer("address", address), zap.Error(err))
		p.abandon(address)
		return
	}
	p.take(answer, p.isFellow(address))
	c, err := p.pool.Get(ctx, address)
	if err != nil {
		return // it was dropped meanwhile; the next greeting opens another
	}
	p.compare(c, answer)
}

// greeting gives what this box tells another. A box of another group gets the reports of
// this group's engines only: it has the others from theirs, and bytes between zones have a
// price. On 295 boxes in five zones greetings were most of them.
func (p *Peers) greeting(fellow bool) Gossip {
	p.look()
	v := p.belief.View()
	now := time.Now()
	g := Gossip{
		ConfigVersion: v.ConfigVersion(),
		ListRevision:  v.ListRevision,
		Age:           now.Sub(v.ConfirmedAt),
		Crashes:       p.quarantine.sample(now),
		Limits:        p.limits.sample(now),
	}
	if p.reports != nil {
		var share map[string]bool // all
		if !fellow {
			share = p.PreferredEndpoints(v)
		}
		g.Reports = p.reports.Sample(now, share)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g.From = p.roster.Self()
	g.Members = p.roster.Sample(now)
	return g
}

func (p *Peers) greeted(c *wire.Conn, g Gossip) Gossip {
	fellow := slices.Contains(p.Group().Members, g.From.Box)
	p.take(g, fellow)
	p.compare(c, g)
	return p.greeting(fellow)
}

func (p *Peers) isFellow(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.fellows, address)
}

func (p *Peers) take(g Gossip, fellow bool) {
	now := time.Now()
	p.endsGreeted(g.Crashes, fellow)
	p.limitsGreeted(g.Limits, fellow)
	if p.reports != nil {
		p.reports.Merge(now, g.Reports)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Merge(now, g.Members)
	p.roster.RecordContact(now, g.From)
}

// compare takes a box's word that nothing is newer, or what it has.
func (p *Peers) compare(c *wire.Conn, g Gossip) {
	v := p.belief.View()
	p.belief.Confirm(time.Now(), g.ListRevision, g.Age)
	o := core.Advertisement{ConfigVersion: g.ConfigVersion}
	if !v.HasEndpointList || time.Since(v.ConfirmedAt) > listPatience {
		o.ListRevision = g.ListRevision
	}
	p.offered(c, o)
}
