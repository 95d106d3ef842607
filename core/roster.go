package core

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Peer is what a box tells others about itself or another box.
type Peer struct {
	Box     string         `cbor:"1,keyasint"`
	Zone    string         `cbor:"2,keyasint,omitempty"`
	Address netip.AddrPort `cbor:"3,keyasint"` // for other boxes
	Life    uint64         `cbor:"4,keyasint"` // drawn at the process's start
	Silence time.Duration  `cbor:"5,keyasint"` // since it was last heard of, by whom tells
	Leaving bool           `cbor:"6,keyasint,omitempty"`
}

// RosterRules bound what a roster keeps and tells.
type RosterRules struct {
	Suspicion SuspicionRules
	Forget    time.Duration // silence after which a box is dropped
	Share     time.Duration // how long a silent box still counts among those that share a budget
	Sample    int           // the most members told in one message
}

// DefaultRosterRules gives the rules that the boxes use. The share is above
// any window of a budget, so that a box that is cut off never takes the others'
// part; the sample keeps a message to about a kilobyte at any size of fleet.
func DefaultRosterRules() RosterRules {
	return RosterRules{
		Suspicion: DefaultSuspicionRules(),
		Forget:    2 * time.Minute,
		Share:     time.Minute,
		Sample:    16,
	}
}

// Roster knows the other boxes: from what they say themselves, and from what
// others heard of them. Ages travel in place of times, since no two boxes'
// clocks agree.
type Roster struct {
	rules     RosterRules
	self      Peer
	members   map[string]*rosterEntry
	suspicion *Suspicion
	met       bool // whether any box answered since the start
}

type rosterEntry struct {
	Peer
	heard time.Time
}

// NewRoster builds the roster of a box that knows nobody.
func NewRoster(self Peer, rules RosterRules) *Roster {
	return &Roster{
		rules:     rules,
		self:      self,
		members:   make(map[string]*rosterEntry),
		suspicion: NewSuspicion(rules.Suspicion),
	}
}

// Self gives the box's own entry.
func (r *Roster) Self() Peer { return r.self }

// Leave marks the box itself as leaving.
func (r *Roster) Leave() { r.self.Leaving = true }

// Meet takes the word of a box about itself, which goes before all others'.
func (r *Roster) Meet(now time.Time, m Peer) {
	r.met = true
	m.Silence = 0
	r.take(now, m, true)
}

// Hear takes what a box heard about others.
func (r *Roster) Hear(now time.Time, members []Peer) {
	for _, m := range members {
		r.take(now, m, false)
	}
}

func (r *Roster) take(now time.Time, m Peer, direct bool) {
	if m.Box == r.self.Box || m.Silence > r.rules.Forget || m.Silence < 0 {
		return
	}
	heard := now.Add(-m.Silence)
	known := r.members[m.Box]
	if known != nil && !heard.After(known.heard) {
		return
	}
	if known != nil && !direct && known.Life == m.Life {
		// Leaving is for good within one life.
		m.Leaving = m.Leaving || known.Leaving
	}
	r.members[m.Box] = &rosterEntry{
		Peer:  m,
		heard: heard,
	}
	r.suspicion.Step(now, HeartbeatSeen{Box: m.Box})
}

// Tick drops boxes that have been silent for long.
func (r *Roster) Tick(now time.Time) {
	for box, e := range r.members {
		if now.Sub(e.heard) > r.rules.Forget {
			delete(r.members, box)
		}
	}
}

// Sample gives what to tell another box: the members heard of last, the box
// itself not among them.
func (r *Roster) Sample(now time.Time) []Peer {
	all := r.sorted(now)
	slices.SortStableFunc(all, func(a, b Peer) int { return cmp.Compare(a.Silence, b.Silence) })
	return all[:min(len(all), r.rules.Sample)]
}

// Alive gives the boxes that are likely there, by name.
func (r *Roster) Alive(now time.Time) []Peer {
	suspected := r.suspicion.Own(now)
	return slices.DeleteFunc(r.sorted(now), func(m Peer) bool {
		return m.Leaving || slices.Contains(suspected, m.Box)
	})
}

// All gives every box that is known, by name.
func (r *Roster) All(now time.Time) []Peer { return r.sorted(now) }

func (r *Roster) sorted(now time.Time) []Peer {
	all := make([]Peer, 0, len(r.members))
	for _, e := range r.members {
		m := e.Peer
		m.Silence = now.Sub(e.heard)
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Box, b.Box) })
	return all
}

// Met tells whether any box answered since the start.
func (r *Roster) Met() bool { return r.met }

// Sharers counts the boxes that share a budget: this one, and all that were
// heard of within the rules' time. It shrinks late on purpose: a box that is
// cut off must not take itself for the only one.
func (r *Roster) Sharers(now time.Time) int {
	n := 1
	for _, e := range r.members {
		if now.Sub(e.heard) <= r.rules.Share {
			n++
		}
	}
	return n
}
