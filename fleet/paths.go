package fleet

import (
	"maps"
	"net/netip"
	"slices"

	"dillsaddle.example/dillsaddle/core"
)

// maxDirectGroup is the group size below which each box sends to all others directly. In larger
// groups that would cause most of the traffic between zones.
const maxDirectGroup = 24

// groupPaths determines how messages reach all boxes of a group with little traffic between zones.
type groupPaths struct {
	direct     []netip.AddrPort   // boxes to send to directly, in the same order on all boxes
	position   int                // this box's position in that order
	zones      [][]netip.AddrPort // boxes of each other zone; one of them relays to the rest
	relayCount int                // number of calls of relays, for the rotation
}

// newGroupPaths returns the paths from a box to the other members of its group.
func newGroupPaths(self core.Peer, members []core.Peer) groupPaths {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b core.Peer) int { return core.CompareByHash(a.Box, b.Box) })
	var g groupPaths
	zones := make(map[string][]netip.AddrPort)
	for _, m := range all {
		if m.Zone == self.Zone || len(all) < maxDirectGroup {
			g.direct = append(g.direct, m.Address)
			if core.CompareByHash(m.Box, self.Box) < 0 {
				g.position++
			}
			continue
		}
		zones[m.Zone] = append(zones[m.Zone], m.Address)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		g.zones = append(g.zones, zones[zone])
	}
	return g
}

// isDirect reports whether each box of the group sends to all others directly.
func (g *groupPaths) isDirect() bool { return len(g.zones) == 0 }

// indirect returns the boxes that are reached through relays.
func (g *groupPaths) indirect() []netip.AddrPort { return slices.Concat(g.zones...) }

// relays returns one box of each other zone, which relays a message there. It rotates with each
// call, so that a box that is down costs few messages.
func (g *groupPaths) relays() []netip.AddrPort {
	g.relayCount++
	var out []netip.AddrPort
	for _, zone := range g.zones {
		out = append(out, zone[g.relayCount%len(zone)])
	}
	return out
}

// updateTargets returns the boxes to which this box forwards updates. In a large group these are
// the boxes at distances 1, 2, 4 and so on in the common order, by which an update reaches all
// in few hops, and one box of each other zone.
func (g *groupPaths) updateTargets() []netip.AddrPort {
	if g.isDirect() {
		return slices.Clone(g.direct)
	}
	var out []netip.AddrPort
	for step := 1; step <= len(g.direct); step *= 2 {
		// The list doesn't contain this box, so distances are one shorter.
		out = append(out, g.direct[(g.position+step-1)%len(g.direct)])
	}
	for _, zone := range g.zones {
		out = append(out, zone[g.position%len(zone)])
	}
	return out
}
