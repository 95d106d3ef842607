package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minGroupSize is the group size in a fleet with enough engines: small enough that
	// each box can broadcast its placements to all others of its group, large enough to
	// even out their shares of the traffic.
	minGroupSize = 12
	// maxGroupSize bounds the connections within a group.
	maxGroupSize = 48
	// minGroupEngines is the number of engines that a group should at least have. With six
	// or eight, removing several at once may leave one group without any.
	minGroupEngines = 16
	// singleGroupBoxes is the fleet size up to which all boxes form one group, whatever
	// their zones and engines.
	singleGroupBoxes = 24
	// singleGroupEngines is the number of engines up to which all boxes of a larger fleet
	// form one group. It bounds the placements that each box receives: at 1 to 1.5 prompts
	// per second and engine, and 100 bytes for each, they take up to half of the 23 KB/s that
	// a box may use for control traffic.
	singleGroupEngines = 72
	// maxSingleGroupBoxes bounds the connections within such a group.
	maxSingleGroupBoxes = 96
)

// Group is a part of a fleet whose boxes prefer the same endpoints. It is derived from the
// roster; while the rosters of two boxes differ, so may their groups and preferences.
type Group struct {
	Members    []string // the other boxes of the group
	zone       string   // zone of its boxes and endpoints; empty for all zones
	index      int      // index of the group in its zone
	groupCount int      // number of groups in the zone
}

// EndpointLocation identifies an endpoint and its availability zone.
type EndpointLocation struct {
	ID   string
	Zone string
}

// GroupSize returns the intended group size for a fleet. It changes in steps, so that groups
// stay stable while engines come and go.
func GroupSize(boxes, engines int) int {
	size := minGroupSize
	for size < maxGroupSize && engines > 0 && size*engines < minGroupEngines*boxes {
		size *= 2
	}
	return size
}

// isSingleGroup reports whether all boxes of a fleet form one group.
func isSingleGroup(boxes, engines int) bool {
	return boxes <= singleGroupBoxes || (boxes <= maxSingleGroupBoxes && engines > 0 && engines <= singleGroupEngines)
}

// GroupOf returns the group of a box. The others are all other live boxes, and engines is
// the number of engines in all zones.
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

// PreferredEndpoints returns the IDs of the endpoints that the group uses first.
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

// CompareByHash orders names by their hashes: the same order on every box, but not
// alphabetical.
func CompareByHash(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
