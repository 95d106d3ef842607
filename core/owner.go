package core

import "github.com/cespare/xxhash/v2"

// SlotCount is the number of owner slots of an endpoint.
const SlotCount = 2

// Owners determines the owners of endpoints under one box list. It groups the boxes
// by region once per list, since an endpoint's owners are chosen from its region.
type Owners struct {
	all      []*Member            // boxes that aren't leaving
	byRegion map[string][]*Member // boxes that aren't leaving, by region
	regionOf map[string]string    // region by zone
}

// NewOwners groups a list's boxes by region, without the leaving ones.
func NewOwners(l *List) *Owners {
	o := &Owners{
		byRegion: make(map[string][]*Member),
		regionOf: make(map[string]string),
	}
	for i := range l.Boxes {
		m := &l.Boxes[i]
		o.regionOf[m.Zone] = m.Region
		if m.Leaving {
			continue
		}
		o.all = append(o.all, m)
		o.byRegion[m.Region] = append(o.byRegion[m.Region], m)
	}
	return o
}

// Of returns the box that owns an owner slot of an endpoint. It is in the endpoint's
// region, so that a region that is cut off still owns its reachable endpoints. The
// second slot's owner is in another availability zone than the first one's, or else
// is another box, if there is one.
func (o *Owners) Of(endpoint, zone string, slot int) string {
	candidates := o.byRegion[o.regionOf[zone]]
	if len(candidates) == 0 {
		candidates = o.all
	}
	first := highestScoring("endpoint/0/"+endpoint, candidates, nil)
	if slot == 0 || first == nil {
		return nameOf(first)
	}
	second := highestScoring("endpoint/1/"+endpoint, candidates, func(m *Member) bool { return m.Zone == first.Zone })
	if second == nil {
		second = highestScoring("endpoint/1/"+endpoint, candidates, func(m *Member) bool { return m == first })
	}
	if second == nil {
		return first.Name
	}
	return second.Name
}

func nameOf(m *Member) string {
	if m == nil {
		return ""
	}
	return m.Name
}

// highestScoring returns the member with the highest rendezvous score for a key.
func highestScoring(key string, members []*Member, skip func(*Member) bool) *Member {
	var best *Member
	var bestScore uint64
	keyHash := xxhash.Sum64String(key)
	for _, m := range members {
		if skip != nil && skip(m) {
			continue
		}
		score := hashedScore(keyHash, m.Name)
		if best == nil || score > bestScore || score == bestScore && m.Name < best.Name {
			best, bestScore = m, score
		}
	}
	return best
}
