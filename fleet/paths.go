package fleet

import (
	"maps"
	"net/netip"
	"slices"

	"dillsaddle.example/dillsaddle/core"
)

// maxDirectGroup is the size of a group up to which each box speaks to every other one itself.
// Above it, to tell every other box costs most of the bytes between zones.
const maxDirectGroup = 24

// groupPaths say how messages reach the boxes of a group with few bytes between zones.
type groupPaths struct {
	direct     []netip.AddrPort   // whom this box speaks to itself, in an order that all compute alike
	position   int                // of this box among those, and itself
	zones      [][]netip.AddrPort // the boxes of each other zone, of which one hands on to the others
	relayCount int
}

// newGroupPaths gives the paths from a box to the others of its group.
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

// indirect gives the boxes that this one doesn't speak to itself.
func (g *groupPaths) indirect() []netip.AddrPort { return slices.Concat(g.zones...) }

// relays gives one box of each other zone, which hands a message on there; another one
// with each message, so that one that is gone costs few.
func (g *groupPaths) relays() []netip.AddrPort {
	g.relayCount++
	var out []netip.AddrPort
	for _, zone := range g.zones {
		out = append(out, zone[g.relayCount%len(zone)])
	}
	return out
}

// updateTargets gives the boxes to which this one hands news on: in a large group those at
// distances of 1, 2, 4 and so on in the common order, by which news reach all in few steps,
// and one of each other zone.
func (g *groupPaths) updateTargets() []netip.AddrPort {
	if len(g.zones) == 0 {
		return slices.Clone(g.direct)
	}
	var out []netip.AddrPort
	for step := 1; step <= len(g.direct); step *= 2 {
		// Without this box itself the order is one shorter.
		out = append(out, g.direct[(g.position+step-1)%len(g.direct)])
	}
	for _, zone := range g.zones {
		out = append(out, zone[g.position%len(zone)])
	}
	return out
}
