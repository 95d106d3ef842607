package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// groupLeast is about how many boxes work as one where each has engines of
	// its own: small enough that each can tell all others what it places, and
	// large enough that their uneven shares of the callers even out.
	groupLeast = 12
	// groupMost bounds the connections between the boxes of a group.
	groupMost = 48
	// groupEngines is how many engines a group should have: of six or eight, an
	// operator who takes several away at once can leave one group with none
	// while others have all theirs. Each engine takes about as many prompts at
	// any size of fleet, so that a box hears no more placements in a larger
	// group with the same engines.
	groupEngines = 16
	// wholeFleet is the size up to which all boxes are one group, whatever their
	// zones and engines.
	wholeFleet = 24
	// wholeEngines is how many engines one group of all boxes may have: a box hears of
	// each prompt that the group places, 1 to 1.5 a second at an engine and some 100
	// bytes, which is a half of the 23 KB/s that a box may take for control.
	wholeEngines = 72
	// wholeMost bounds the connections of such a group.
	wholeMost = 96
)

// Group is a part of a fleet that serves mostly by endpoints of its own. It
// follows from the roster; boxes whose rosters differ for a moment only share
// an endpoint more or less.
type Group struct {
	Members []string // the others of the group
	zone    string   // whose boxes and endpoints it has; empty for all zones
	index   int
	count   int // of groups in the zone
}

// EndpointLocation is what a group's share of endpoints is drawn from.
type EndpointLocation struct {
	ID   string
	Zone string
}

// GroupSize gives about how many boxes work as one in a fleet with some engines.
// It goes in steps, so that groups stay as they are while engines come and go.
func GroupSize(boxes, engines int) int {
	size := groupLeast
	for size < groupMost && engines > 0 && size*engines < groupEngines*boxes {
		size *= 2
	}
	return size
}

// oneGroup tells whether all boxes are one group: each knows then what any other places,
// and no engine is a stranger's.
func oneGroup(boxes, engines int) bool {
	return boxes <= wholeFleet || (boxes <= wholeMost && engines > 0 && engines <= wholeEngines)
}

// GroupOf gives the group of a box among those that are there; engines are those
// of all zones.
func GroupOf(self Peer, others []Peer, engines int) Group {
	all := append([]Peer{self}, others...)
	g := Group{count: 1}
	if !oneGroup(len(all), engines) {
		size := GroupSize(len(all), engines)
		g.zone = self.Zone
		all = slices.DeleteFunc(all, func(p Peer) bool { return p.Zone != self.Zone })
		g.count = max(1, int(math.Round(float64(len(all))/float64(size))))
	}
	names := make([]string, 0, len(all))
	for _, p := range all {
		names = append(names, p.Box)
	}
	slices.SortFunc(names, CompareByHash)
	g.index = slices.Index(names, self.Box) * g.count / len(names)
	for i, name := range names {
		if i*g.count/len(names) == g.index && name != self.Box {
			g.Members = append(g.Members, name)
		}
	}
	return g
}

// PreferredEndpoints gives the endpoints that the group uses first.
func (g Group) PreferredEndpoints(endpoints []EndpointLocation) map[string]bool {
	var ids []string
	for _, e := range endpoints {
		if g.zone == "" || e.Zone == g.zone {
			ids = append(ids, e.ID)
		}
	}
	slices.SortFunc(ids, CompareByHash)
	share := make(map[string]bool, len(ids))
	for i, id := range ids {
		if i*g.count/len(ids) == g.index {
			share[id] = true
		}
	}
	return share
}

// CompareByHash orders names the same way everywhere, and unlike their spelling.
func CompareByHash(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
