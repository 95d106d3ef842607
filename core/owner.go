package core

import "github.com/cespare/xxhash/v2"

// SlotCount is the number of owners of an endpoint.
const SlotCount = 2

// Owners works the owners of endpoints out under one list. It is built once a list,
// since each endpoint's owners are drawn from the boxes of its region.
type Owners struct {
	all      []*Member
	byRegion map[string][]*Member
	regionOf map[string]string // by zone
}

// NewOwners sorts a list's live boxes by region.
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

// Of gives the box that owns a half of an endpoint: one of the endpoint's own
// region, so that a region that is cut off goes on to own what it reaches. The
// second half goes to another zone than the first where there is one, else to
// another box.
func (o *Owners) Of(endpoint, zone string, slot int) string {
	candidates := o.byRegion[o.regionOf[zone]]
	if len(candidates) == 0 {
		candidates = o.all
	}
	first := highest("endpoint/0/"+endpoint, candidates, nil)
	if slot == 0 || first == nil {
		return nameOf(first)
	}
	second := highest("endpoint/1/"+endpoint, candidates, func(m *Member) bool { return m.Zone == first.Zone })
	if second == nil {
		second = highest("endpoint/1/"+endpoint, candidates, func(m *Member) bool { return m == first })
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

// highest gives the member with the highest rendezvous score for a key.
func highest(key string, members []*Member, skip func(*Member) bool) *Member {
	var best *Member
	var high uint64
	hashed := xxhash.Sum64String(key)
	for _, m := range members {
		if skip != nil && skip(m) {
			continue
		}
		score := hashedScore(hashed, m.Name)
		if best == nil || score > high || score == high && m.Name < best.Name {
			best, high = m, score
		}
	}
	return best
}
