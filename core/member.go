package core

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation numbers the successive processes of one box; a later process has a higher
// number.
type Incarnation uint64

// Box identifies one process of a box.
type Box struct {
	Name        string
	Incarnation Incarnation
}

// Member is a box as listed by the platform.
type Member struct {
	Name      string         `json:"name"`
	Zone      string         `json:"zone,omitzero"`
	Region    string         `json:"region,omitzero"`
	Entry     netip.AddrPort `json:"entry,omitzero"`     // address for callers' requests
	Scheduler netip.AddrPort `json:"scheduler,omitzero"` // address for claims, handovers and leases
	Watch     netip.AddrPort `json:"watch,omitzero"`     // address for heartbeats and versions
	Leaving   bool           `json:"leaving,omitempty"`
}

// EndpointStatus is an endpoint as listed by the platform.
type EndpointStatus struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving,omitempty"`
}

// List is one version of the platform's list of boxes, live and leaving, and endpoints.
type List struct {
	Version   uint64           `json:"version"`
	Age       time.Duration    `json:"age"` // age of the fleet, according to the platform
	Boxes     []Member         `json:"boxes"`
	Endpoints []EndpointStatus `json:"endpoints,omitempty"`
}

// Member returns the box with the given name, or nil.
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

// forClaimOwners returns a copy with only the fields that ClaimOwner needs. Replaced lists
// are kept for a while and sent to boxes that join, so they should be small.
func (l *List) forClaimOwners() *List {
	trimmed := &List{
		Version: l.Version,
		Age:     l.Age,
		Boxes:   make([]Member, 0, len(l.Boxes)),
	}
	for i := range l.Boxes {
		trimmed.Boxes = append(trimmed.Boxes, Member{
			Name:    l.Boxes[i].Name,
			Leaving: l.Boxes[i].Leaving,
		})
	}
	return trimmed
}

// ClaimOwners returns the names of all boxes that can own claims: those that aren't leaving.
func (l *List) ClaimOwners() map[string]bool {
	owners := make(map[string]bool, len(l.Boxes))
	for i := range l.Boxes {
		if !l.Boxes[i].Leaving {
			owners[l.Boxes[i].Name] = true
		}
	}
	return owners
}

// Leaving reports whether an endpoint is leaving or not listed at all.
func (l *List) Leaving(endpoint string) bool {
	for i := range l.Endpoints {
		if l.Endpoints[i].Name == endpoint {
			return l.Endpoints[i].Leaving
		}
	}
	return true
}

// ClaimOwner returns the box that owns the claims of a key: the one with the highest
// rendezvous score that isn't leaving. Boxes for which skip returns true are passed over.
func (l *List) ClaimOwner(key string, skip func(box string) bool) string {
	best := ""
	var highest uint64
	keyHash := xxhash.Sum64String(key)
	for i := range l.Boxes {
		m := &l.Boxes[i]
		if m.Leaving || skip != nil && skip(m.Name) {
			continue
		}
		score := hashedScore(keyHash, m.Name)
		if best == "" || score > highest || score == highest && m.Name < best {
			best, highest = m.Name, score
		}
	}
	return best
}

// Without returns a copy of the list without a box.
func (l *List) Without(box string) *List {
	reduced := *l
	reduced.Boxes = slices.DeleteFunc(slices.Clone(l.Boxes), func(m Member) bool { return m.Name == box })
	return &reduced
}

// RendezvousScore returns the score of a box for a key in rendezvous hashing.
func RendezvousScore(key, box string) uint64 { return hashedScore(xxhash.Sum64String(key), box) }

// hashedScore is RendezvousScore for a key that is already hashed, so that ranking many
// boxes hashes the key once.
func hashedScore(keyHash uint64, box string) uint64 {
	return splitmix64(keyHash ^ xxhash.Sum64String(box))
}

// splitmix64 is the finalizer of the SplitMix64 generator: flipping any input bit flips
// about half of the output bits.
func splitmix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// TopByScore returns the n names with the highest scores for a key, best first.
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

// ListSnapshot is a list with the time at which it was last confirmed as current.
type ListSnapshot struct {
	List        *List
	ConfirmedAt time.Time
}

// Fresh reports whether the list was confirmed within the bound.
func (s *ListSnapshot) Fresh(now time.Time, bound time.Duration) bool {
	return s.List != nil && now.Sub(s.ConfirmedAt) <= bound
}
