package core

import (
	"net/netip"
	"slices"
	"time"
)

// Peer is the gossip record of a box.
type Peer struct {
	Box        string         `cbor:"1,keyasint"`
	Zone       string         `cbor:"2,keyasint,omitempty"`
	Address    netip.AddrPort `cbor:"3,keyasint"` // address for gossip from other boxes
	InstanceID uint64         `cbor:"4,keyasint"` // random; identifies the box's process
	Silence    time.Duration  `cbor:"5,keyasint"` // time since the sender last heard of the box
	Leaving    bool           `cbor:"6,keyasint,omitempty"`
	Suspect    bool           `cbor:"7,keyasint,omitempty"` // the box didn't answer a gossip message
	LinkMbps   uint32         `cbor:"8,keyasint,omitempty"` // speed of the box's link; 0 if unknown
	CutOff     []string       `cbor:"9,keyasint,omitempty"` // services whose endpoints the box can't reach, sorted
}

// RosterRules configure how long boxes are remembered and how many are sent in a message.
type RosterRules struct {
	MinSilence      time.Duration // a box silent for less is never suspect
	ClearWithin     time.Duration // a suspect is cleared if it was heard of within this time
	MaxAliveSilence time.Duration // a box silent for longer isn't considered alive
	MaxSilence      time.Duration // a box silent for longer is removed
	BudgetSilence   time.Duration // a box silent for longer no longer shares budgets
	Sample          int           // boxes sent in one message, unless more have changed
	MaxChanged      int           // maximum number of changed boxes sent in one message
	MinRotated      int           // minimum number of boxes sent in rotation
	ChangeSends     int           // how often each change is sent
}

// DefaultRosterRules returns the rules used in production. MinSilence covers several gossip
// rounds, so that one lost message makes no box suspect. ClearWithin is half of it, so that
// a record from before a box fell silent doesn't clear it. MaxAliveSilence far exceeds the
// time in which the records of all boxes come round in a fleet of some hundred boxes.
// BudgetSilence exceeds the window of any budget, so that a box that is cut off doesn't
// claim the others' shares. Sample keeps a message without changes at about a kilobyte in a
// fleet of any size. With ChangeSends a change reaches all but a few percent of the
// boxes, at any size, and the rotation reaches the rest; more sends would delay the spread of
// many changes, as when most boxes restart.
func DefaultRosterRules() RosterRules {
	return RosterRules{
		MinSilence:      2500 * time.Millisecond,
		ClearWithin:     1250 * time.Millisecond,
		MaxAliveSilence: 40 * time.Second,
		MaxSilence:      2 * time.Minute,
		BudgetSilence:   time.Minute,
		Sample:          16,
		MaxChanged:      48,
		MinRotated:      4,
		ChangeSends:     4,
	}
}

// Roster is a box's membership view of the fleet, from direct contacts and from gossip.
// Records carry ages instead of times, since clocks differ between boxes. A box counts as
// alive until a gossip message to it goes unanswered; silence alone says little, because
// records of distant boxes arrive rarely in a large fleet.
type Roster struct {
	rules         RosterRules
	self          Peer
	members       map[string]*rosterEntry
	names         []string // names of the members, sorted
	rotationIndex int      // index in names of the member last sent in rotation
	contacted     bool     // whether any box has been in contact since the start
}

// rosterEntry is a member with the time at which it was last heard of.
type rosterEntry struct {
	Peer
	lastHeard time.Time
	timesSent int // number of gossip messages since the last change
}

// NewRoster returns a roster that contains only the box itself.
func NewRoster(self Peer, rules RosterRules) *Roster {
	return &Roster{
		rules:   rules,
		self:    self,
		members: make(map[string]*rosterEntry),
	}
}

// Self returns the box's own record.
func (r *Roster) Self() Peer { return r.self }

// MarkLeaving marks the box itself as leaving.
func (r *Roster) MarkLeaving() { r.self.Leaving = true }

// SetCutOff sets the services whose endpoints the box itself can't reach.
func (r *Roster) SetCutOff(services []string) { r.self.CutOff = services }

// RecordContact merges the record that a box sent about itself, which overrides gossip.
func (r *Roster) RecordContact(now time.Time, m Peer) {
	r.contacted = true
	m.Silence = 0
	m.Suspect = false
	r.mergePeer(now, m, true)
}

// Merge merges records of other boxes received by gossip.
func (r *Roster) Merge(now time.Time, peers []Peer) {
	for _, m := range peers {
		r.mergePeer(now, m, false)
	}
}

// HandleSuspension ages all records by the time that the machine was suspended, which the
// monotonic clock doesn't count. Otherwise they could clear other boxes' suspicions.
func (r *Roster) HandleSuspension(d time.Duration) {
	for _, e := range r.members {
		e.lastHeard = e.lastHeard.Add(-d)
	}
}

// RecordNoAnswer marks the box at an address as suspect because it didn't answer a gossip
// message, unless it was heard of within MinSilence.
func (r *Roster) RecordNoAnswer(now time.Time, address netip.AddrPort) {
	for _, e := range r.members {
		if e.Address == address && !e.Suspect && now.Sub(e.lastHeard) > r.rules.MinSilence {
			e.Suspect = true
			e.timesSent = 0
		}
	}
}

// mergePeer merges one record; isDirect is set if the box sent it about itself.
func (r *Roster) mergePeer(now time.Time, m Peer, isDirect bool) {
	if m.Box == r.self.Box || m.Silence > r.rules.MaxSilence || m.Silence < 0 {
		return
	}
	lastHeard := now.Add(-m.Silence)
	known := r.members[m.Box]
	if known == nil {
		r.add(m, lastHeard)
		return
	}
	if m.Suspect && known.InstanceID == m.InstanceID {
		r.mergeSuspicion(now, known, lastHeard)
		return
	}
	if !lastHeard.After(known.lastHeard) {
		return
	}
	if !isDirect && known.InstanceID == m.InstanceID {
		// A process never stops leaving, and an old record of a suspect may predate
		// its silence.
		m.Leaving = m.Leaving || known.Leaving
		m.Suspect = known.Suspect && m.Silence > r.rules.ClearWithin
	}
	if m.Leaving != known.Leaving || m.Suspect != known.Suspect || m.InstanceID != known.InstanceID || !slices.Equal(m.CutOff, known.CutOff) {
		known.timesSent = 0
	}
	known.Peer = m
	known.lastHeard = lastHeard
}

// mergeSuspicion marks a box as suspect, or has its record sent again to contradict the
// suspicion if the box was heard of within MinSilence.
func (r *Roster) mergeSuspicion(now time.Time, known *rosterEntry, lastHeard time.Time) {
	if now.Sub(known.lastHeard) <= r.rules.MinSilence {
		known.timesSent = 0
		return
	}
	if lastHeard.After(known.lastHeard) {
		known.lastHeard = lastHeard
	}
	if !known.Suspect {
		known.Suspect = true
		known.timesSent = 0
	}
}

// add adds a box that isn't in the roster.
func (r *Roster) add(m Peer, lastHeard time.Time) {
	r.members[m.Box] = &rosterEntry{
		Peer:      m,
		lastHeard: lastHeard,
	}
	at, _ := slices.BinarySearch(r.names, m.Box)
	r.names = slices.Insert(r.names, at, m.Box)
}

// DropSilent removes boxes that have been silent for longer than MaxSilence.
func (r *Roster) DropSilent(now time.Time) {
	r.names = slices.DeleteFunc(r.names, func(box string) bool {
		if now.Sub(r.members[box].lastHeard) <= r.rules.MaxSilence {
			return false
		}
		delete(r.members, box)
		return true
	})
}

// Alive returns the boxes that are probably alive, sorted by name.
func (r *Roster) Alive(now time.Time) []Peer {
	return slices.DeleteFunc(r.All(now), func(m Peer) bool {
		return m.Leaving || m.Suspect || m.Silence > r.rules.MaxAliveSilence
	})
}

// All returns all known other boxes, sorted by name.
func (r *Roster) All(now time.Time) []Peer {
	all := make([]Peer, 0, len(r.names))
	for _, box := range r.names {
		all = append(all, r.members[box].snapshot(now))
	}
	return all
}

// HasContact reports whether any box has been in contact since the start.
func (r *Roster) HasContact() bool { return r.contacted }

// BudgetShare returns this box's place among the boxes that share a budget: itself and all those
// heard of within BudgetSilence, ordered by the hashes of their names. Silent boxes count for a
// while, so that a box that is cut off doesn't take the whole budget.
func (r *Roster) BudgetShare(now time.Time) BudgetShare {
	share := BudgetShare{Boxes: 1}
	for _, e := range r.members {
		if now.Sub(e.lastHeard) > r.rules.BudgetSilence {
			continue
		}
		share.Boxes++
		if CompareByHash(e.Box, r.self.Box) < 0 {
			share.Rank++
		}
	}
	return share
}

// snapshot returns the entry's record with its current silence.
func (e *rosterEntry) snapshot(now time.Time) Peer {
	m := e.Peer
	m.Silence = now.Sub(e.lastHeard)
	return m
}
