package core

import "slices"

// ForwardingBoxes returns the boxes of which one is to serve a request that this box can't, since
// it is cut off from the service's endpoints. Boxes that are cut off too, and those for which
// exclude returns true, are left out.
//
// The boxes of the own availability zone take the requests if at least half of them can, so that
// none gets more than about twice its usual load; otherwise those of all zones share them.
func ForwardingBoxes(self Peer, alive []Peer, service string, exclude func(box string) bool) []Peer {
	var near, all []Peer
	zoneSize := 1
	for _, m := range alive {
		if m.Zone == self.Zone {
			zoneSize++
		}
		if slices.Contains(m.CutOff, service) || exclude(m.Box) {
			continue
		}
		all = append(all, m)
		if m.Zone == self.Zone {
			near = append(near, m)
		}
	}
	if 2*len(near) >= zoneSize {
		return near
	}
	return all
}
