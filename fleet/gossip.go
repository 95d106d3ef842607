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
	// messageTimeout bounds a gossip exchange or the sending of one message.
	messageTimeout = 800 * time.Millisecond
	// maxListLag is the time since the list's confirmation up to which a newer list is not
	// fetched after gossip: updates deliver most changes within milliseconds.
	maxListLag = 400 * time.Millisecond
)

// gossipWith exchanges gossip with a box, and fetches what that box has newer.
func (p *Peers) gossipWith(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	answer, err := wire.Request[Gossip](ctx, p.pool, address, p.newGossip(p.isGroupMember(address)))
	if err != nil {
		p.log.Debug("box did not answer, trying another", zap.Stringer("address", address), zap.Error(err))
		p.markUnreachable(address)
		return
	}
	p.mergeGossip(answer, p.isGroupMember(address))
	c, err := p.pool.Get(ctx, address)
	if err != nil {
		return // the connection was closed meanwhile; the next exchange opens another
	}
	p.compareVersions(c, answer)
}

// newGossip returns this box's gossip message. A box of another group gets only the load reports
// of this group's engines, to limit traffic between zones.
func (p *Peers) newGossip(inGroup bool) Gossip {
	p.checkSuspension()
	v := p.state.View()
	now := time.Now()
	g := Gossip{
		ConfigVersion: v.ConfigVersion(),
		ListRevision:  v.ListRevision,
		Age:           now.Sub(v.ConfirmedAt),
		Crashes:       p.quarantine.sample(now),
		Limits:        p.limits.sample(now),
		Parts:         p.parts.sample(now),
	}
	if p.reports != nil {
		var preferred map[string]bool // nil for the reports of all engines
		if !inGroup {
			preferred = p.PreferredEndpoints(v)
		}
		g.Reports = p.reports.Sample(now, preferred)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g.From = p.roster.Self()
	g.Members = p.roster.Sample(now)
	return g
}

// handleGossip merges a box's gossip and returns this box's own.
func (p *Peers) handleGossip(c *wire.Conn, g Gossip) Gossip {
	inGroup := slices.Contains(p.Group().Members, g.From.Box)
	p.mergeGossip(g, inGroup)
	p.compareVersions(c, g)
	return p.newGossip(inGroup)
}

func (p *Peers) isGroupMember(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.groupAddresses, address)
}

// mergeGossip merges the records, load reports and members in a gossip message.
func (p *Peers) mergeGossip(g Gossip, inGroup bool) {
	now := time.Now()
	p.mergeCrashRecords(g.Crashes, inGroup)
	p.mergeLimitRecords(g.Limits, inGroup)
	p.mergePartRecords(g.Parts, inGroup)
	if p.reports != nil {
		p.reports.Merge(now, g.Reports)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Merge(now, g.Members)
	p.roster.RecordContact(now, g.From)
}

// compareVersions confirms the list if the peer has no newer one, and fetches what is newer.
func (p *Peers) compareVersions(c *wire.Conn, g Gossip) {
	v := p.state.View()
	p.state.Confirm(time.Now(), g.ListRevision, g.Age)
	ad := core.Advertisement{ConfigVersion: g.ConfigVersion}
	if !v.HasEndpointList || time.Since(v.ConfirmedAt) > maxListLag {
		ad.ListRevision = g.ListRevision
	}
	p.handleAdvertisement(c, ad)
}
