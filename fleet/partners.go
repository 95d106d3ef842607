package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// remotePartnerCount is how many boxes of other groups a box sends updates to, which
	// then reach n boxes in about log n hops.
	remotePartnerCount = 2
	// remoteGossipInterval is the number of gossip exchanges of which one is with a box of
	// another group, or with one of this group that is reached through relays, so that
	// confirmations of the list cross groups well within the propagation limit.
	remoteGossipInterval = 3
	// rotationInterval is how often a partner of another group is replaced.
	rotationInterval = 4 * time.Second
)

// nextGossipPartner updates the roster and the partners, and returns the box for the next gossip
// exchange, in round-robin order.
func (p *Peers) nextGossipPartner(now time.Time) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.DropSilent(now)
	p.logRosterChanges(now)
	p.refreshPartners(now)
	n := p.gossipCount
	p.gossipCount++
	direct, indirect := p.paths.direct, append(slices.Clone(p.remotePartners), p.paths.indirect()...)
	remoteTurn := n / remoteGossipInterval
	if len(indirect) > 0 && (n%remoteGossipInterval == 0 || len(direct) == 0) {
		return indirect[remoteTurn%len(indirect)], true
	}
	if len(direct) == 0 {
		return netip.AddrPort{}, false
	}
	return direct[(n-remoteTurn)%len(direct)], true
}

// refreshPartners updates the group and its addresses and rotates the partners of other groups.
// Seeds may be chosen as partners too, so that a split fleet can merge again.
func (p *Peers) refreshPartners(now time.Time) {
	alive := p.roster.Alive(now)
	p.group = core.GroupOf(p.roster.Self(), alive, p.state.View().EngineCount())
	var groupAddresses, choices []netip.AddrPort
	var members []core.Peer
	for _, m := range alive {
		if slices.Contains(p.group.Members, m.Box) {
			groupAddresses = append(groupAddresses, m.Address)
			members = append(members, m)
			continue
		}
		choices = append(choices, m.Address)
	}
	for _, a := range p.groupAddresses {
		if !slices.Contains(groupAddresses, a) {
			p.closeConnection(a)
		}
	}
	p.groupAddresses = groupAddresses
	p.paths = newGroupPaths(p.roster.Self(), members)
	p.remotePartners = slices.DeleteFunc(p.remotePartners, func(a netip.AddrPort) bool { return slices.Contains(groupAddresses, a) })
	isFull := len(p.remotePartners) >= remotePartnerCount
	if isFull && now.Sub(p.rotatedAt) < rotationInterval {
		return
	}
	choices = append(choices, p.seeds...)
	choices = slices.DeleteFunc(choices, func(a netip.AddrPort) bool {
		return slices.Contains(p.remotePartners, a) || slices.Contains(groupAddresses, a)
	})
	if len(choices) == 0 {
		return
	}
	p.rotatedAt = now
	if isFull {
		p.closeConnection(p.remotePartners[0])
		p.remotePartners = p.remotePartners[1:]
	}
	p.remotePartners = append(p.remotePartners, choices[rand.N(len(choices))])
}

// closeConnection closes the connection to a former partner in the background, since it may
// have to wait for a dial that hangs.
func (p *Peers) closeConnection(address netip.AddrPort) {
	go p.pool.Drop(address)
}

// forwardingInterval is the number of boxes of a group of which one forwards updates to other
// groups. Several do in each group, since boxes may be down.
const forwardingInterval = 4

// forwardingPartners returns the boxes of other groups to which this box forwards updates: none if
// other boxes of its group do so.
func (p *Peers) forwardingPartners() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paths.isDirect() && p.paths.position%forwardingInterval != 0 {
		return nil
	}
	return slices.Clone(p.remotePartners)
}

// Group returns the group of boxes that this box belongs to.
func (p *Peers) Group() core.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group
}

// markUnreachable records that a box didn't answer, and drops it from the remote partners.
func (p *Peers) markUnreachable(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.RecordNoAnswer(time.Now(), address)
	p.remotePartners = slices.DeleteFunc(p.remotePartners, func(a netip.AddrPort) bool { return a == address })
}
