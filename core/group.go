package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minGroupSize is about how many boxes work as one where each has engines of
	// its own: small enough that each can tell all others what it places, and
	// large enough that their uneven shares of the callers even out.
	minGroupSize = 12
	// maxGroupSize bounds the connections between the boxes of a group.
	maxGroupSize = 48
	// minGroupEngines is how many engines a group should have: of six or eight, an
	// operator who takes several away at once can leave one group with none
	// while others have all theirs. Each engine takes about as many prompts at
	// any size of fleet, so that a box hears no more placements in a larger
	// group with the same engines.
	minGroupEngines = 16
	// singleGroupBoxes is the size up to which all boxes are one group, whatever their
	// zones and engines.
	singleGroupBoxes = 24
	// singleGroupEngines is how many engines one group of all boxes may have: a box hears of
	// each prompt that the group places, 1 to 1.5 a second at an engine and some 100
	// bytes, which is a half of the 23 KB/s that a box may take for control.
	singleGroupEngines = 72
	// maxSingleGroupBoxes bounds the connections of such a group.
	maxSingleGroupBoxes = 96
)

// Group is a part of a fleet that serves mostly by endpoints of its own. It
// follows from the roster; boxes whose rosters differ for a moment only share
// an endpoint more or less.
type Group struct {
	Members    []string // the others of the group
	zone       string   // whose boxes and endpoints it has; empty for all zones
	index      int
	groupCount int // of groups in the zone
}

// EndpointLocation is what a group's share of endpoints is drawn from.
type EndpointLocation struct {
	ID   string
	Zone string
}

// GroupSize gives about how many boxes work as one in a fleet with some engines.
// It goes in steps, so that groups stay as they are while engines come and go.
func GroupSize(boxes, engines int) int {
	size := minGroupSize
	for size < maxGroupSize && engines > 0 && size*engines < minGroupEngines*boxes {
		size *= 2
	}
	return size
}

// isSingleGroup tells whether all boxes are one group: each knows then what any other places,
// and no engine is a stranger's.
func isSingleGroup(boxes, engines int) bool {
	return boxes <= singleGroupBoxes || (boxes <= maxSingleGroupBoxes && engines > 0 && engines <= singleGroupEngines)
}

// GroupOf gives the group of a box among those that are there; engines are those
// of all zones.
func GroupOf(self Peer, others []Peer, engines int) Group {
	all := append([]Peer{self}, others...)
	g := Group{groupCount: 1}
	if !isSingleGroup(len(all), engines) {
		size := GroupSize(len(all), engines)
		g.zone = self.Zone
		all = slices.DeleteFunc(all, func(p Peer) bool { return p.Zone != self.Zone })
		g.groupCount = max(1, int(math.Round(float64(len(all))/float64(size))))
	}
	names := make([]string, 0, len(all))
	for _, p := range all {
		names = append(names, p.Box)
	}
	slices.SortFunc(names, CompareByHash)
	g.index = slices.Index(names, self.Box) * g.groupCount / len(names)
	for i, name := range names {
		if i*g.groupCount/len(names) == g.index && name != self.Box {
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
	preferred := make(map[string]bool, len(ids))
	for i, id := range ids {
		if i*g.groupCount/len(ids) == g.index {
			preferred[id] = true
		}
	}
	return preferred
}

// CompareByHash orders names the same way everywhere, and unlike their spelling.
func CompareByHash(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
