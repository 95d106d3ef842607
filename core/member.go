package core

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation numbers the lives of one named process; a later one is higher.
type Incarnation uint64

// Box is one life of one box.
type Box struct {
	Name        string
	Incarnation Incarnation
}

// Member is one box as the platform lists it.
type Member struct {
	Name      string         `json:"name"`
	Zone      string         `json:"zone,omitzero"`
	Region    string         `json:"region,omitzero"`
	Entry     netip.AddrPort `json:"entry,omitzero"`
	Scheduler netip.AddrPort `json:"scheduler,omitzero"`
	Watch     netip.AddrPort `json:"watch,omitzero"`
	Leaving   bool           `json:"leaving,omitempty"`
}

// EndpointStatus is one endpoint as the platform lists it.
type EndpointStatus struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving,omitempty"`
}

// List is one version of the platform's list of live and leaving boxes.
type List struct {
	Version   uint64           `json:"version"`
	Age       time.Duration    `json:"age"`
	Boxes     []Member         `json:"boxes"`
	Endpoints []EndpointStatus `json:"endpoints,omitempty"`
}

// Member finds a box by name, or nil.
func (l *List) Member(name string) *Member {
	if l == nil {
		return nil
	}
	for i := range l.Boxes {
		if l.Boxes[i].Name == name {
			return &l.Boxes[i]
		}
	}
	return nil
}

// forClaimOwners is the part of a list by which claims find their homes. It is what is
// kept and handed over of a replaced list, for an hour and to every newcomer.
func (l *List) forClaimOwners() *List {
	short := &List{
		Version: l.Version,
		Age:     l.Age,
		Boxes:   make([]Member, 0, len(l.Boxes)),
	}
	for i := range l.Boxes {
		short.Boxes = append(short.Boxes, Member{
			Name:    l.Boxes[i].Name,
			Leaving: l.Boxes[i].Leaving,
		})
	}
	return short
}

// ClaimOwners are the boxes that can be home to claims: all that are not leaving.
func (l *List) ClaimOwners() map[string]bool {
	homes := make(map[string]bool, len(l.Boxes))
	for i := range l.Boxes {
		if !l.Boxes[i].Leaving {
			homes[l.Boxes[i].Name] = true
		}
	}
	return homes
}

// Leaving reports whether an endpoint is leaving or is not listed at all.
func (l *List) Leaving(endpoint string) bool {
	for i := range l.Endpoints {
		if l.Endpoints[i].Name == endpoint {
			return l.Endpoints[i].Leaving
		}
	}
	return true
}

// ClaimOwner gives the box that a key belongs to: the live box with the highest
// rendezvous score. Boxes for which skip answers true are passed over.
func (l *List) ClaimOwner(key string, skip func(box string) bool) string {
	best := ""
	var high uint64
	hashed := xxhash.Sum64String(key)
	for i := range l.Boxes {
		m := &l.Boxes[i]
		if m.Leaving || skip != nil && skip(m.Name) {
			continue
		}
		score := hashedScore(hashed, m.Name)
		if best == "" || score > high || score == high && m.Name < best {
			best, high = m.Name, score
		}
	}
	return best
}

// Without gives the list as it is without a box.
func (l *List) Without(box string) *List {
	shorter := *l
	shorter.Boxes = slices.DeleteFunc(slices.Clone(l.Boxes), func(m Member) bool { return m.Name == box })
	return &shorter
}

// RendezvousScore is the rendezvous weight of a box for a key.
func RendezvousScore(key, box string) uint64 { return hashedScore(xxhash.Sum64String(key), box) }

// hashedScore spreads a key's hash with a box's, so that a key is hashed once for all boxes.
func hashedScore(key uint64, box string) uint64 { return finalize(key ^ xxhash.Sum64String(box)) }

// finalize is the finalizer of splitmix64: each bit given changes half of those that
// come out.
func finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// TopByScore gives the n names with the highest scores for a key, best first.
func TopByScore(key string, names []string, n int) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := RendezvousScore(key, a), RendezvousScore(key, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return ranked[:min(n, len(ranked))]
}

// ListSnapshot is a list together with the moment at which it was last confirmed.
type ListSnapshot struct {
	List        *List
	ConfirmedAt time.Time
}

// Fresh reports whether the reading was confirmed within the bound.
func (r *ListSnapshot) Fresh(now time.Time, bound time.Duration) bool {
	return r.List != nil && now.Sub(r.ConfirmedAt) <= bound
}
