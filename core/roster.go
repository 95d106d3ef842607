package core

import (
	"net/netip"
	"slices"
	"time"
)

// Peer is what a box tells others about itself or another box.
type Peer struct {
	Box        string         `cbor:"1,keyasint"`
	Zone       string         `cbor:"2,keyasint,omitempty"`
	Address    netip.AddrPort `cbor:"3,keyasint"` // for other boxes
	InstanceID uint64         `cbor:"4,keyasint"` // drawn at the process's start
	Silence    time.Duration  `cbor:"5,keyasint"` // since it was last heard of, by whom tells
	Leaving    bool           `cbor:"6,keyasint,omitempty"`
	Suspect    bool           `cbor:"7,keyasint,omitempty"` // a box that greets it got no answer
	LinkMbps   uint32         `cbor:"8,keyasint,omitempty"` // of the box's link; 0 when unknown
}

// RosterRules bound what a roster keeps and tells.
type RosterRules struct {
	MinSilence      time.Duration // a box heard of within this is never suspect
	ClearWithin     time.Duration // word of a suspect that is newer than this clears it
	MaxAliveSilence time.Duration // silence after which a box isn't taken to be there
	MaxSilence      time.Duration // silence after which a box is dropped
	BudgetSilence   time.Duration // how long a silent box still counts among those that share a budget
	Sample          int           // members told in one message
	MaxChanged      int           // the most told in one message because something changed
	MinRotated      int           // the fewest told in turn
	ChangeSends     int           // how often a change is told
}

// DefaultRosterRules gives the rules that the boxes use. Least is some rounds of
// greetings, so that a lost one suspects nobody; Fresh is half of it, so that word
// from before a box fell silent doesn't clear it. Unheard is far above the time
// in which word of every member comes round at some hundred boxes; it ends
// those whom nobody greets any more. The share is above any window of a budget,
// so that a box that is cut off never takes the others' part; the sample keeps
// a message to about a kilobyte at any size of fleet. Changes are told often
// enough that they reach a thousand boxes.
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
		ChangeSends:     12,
	}
}

// Roster knows the other boxes: from what they say themselves, and from what
// others heard of them. Ages travel in place of times, since no two boxes'
// clocks agree. A box is taken to be there until one that greeted it got no
// answer: word of far boxes comes round too seldom in a large fleet for silence
// to say anything.
type Roster struct {
	rules   RosterRules
	self    Peer
	members map[string]*rosterEntry
	order   []string // the members' names, sorted
	next    int      // whose turn it is to be told
	met     bool     // whether any box answered since the start
}

type rosterEntry struct {
	Peer
	heard time.Time
	told  int // how often since the last change
}

// NewRoster builds the roster of a box that knows nobody.
func NewRoster(self Peer, rules RosterRules) *Roster {
	return &Roster{
		rules:   rules,
		self:    self,
		members: make(map[string]*rosterEntry),
	}
}

// Self gives the box's own entry.
func (r *Roster) Self() Peer { return r.self }

// MarkLeaving marks the box itself as leaving.
func (r *Roster) MarkLeaving() { r.self.Leaving = true }

// RecordContact takes the word of a box about itself, which goes before all others'.
func (r *Roster) RecordContact(now time.Time, m Peer) {
	r.met = true
	m.Silence = 0
	m.Suspect = false
	r.take(now, m, true)
}

// Merge takes what a box heard about others.
func (r *Roster) Merge(now time.Time, members []Peer) {
	for _, m := range members {
		r.take(now, m, false)
	}
}

// HandleSuspension takes that the machine was suspended for a time, which the steady clock didn't
// count: what was heard is so much older, and must not clear others' suspicions.
func (r *Roster) HandleSuspension(d time.Duration) {
	for _, e := range r.members {
		e.heard = e.heard.Add(-d)
	}
}

// RecordNoAnswer suspects a box that didn't answer a greeting, unless it was heard
// of lately, by this box or others.
func (r *Roster) RecordNoAnswer(now time.Time, address netip.AddrPort) {
	for _, e := range r.members {
		if e.Address == address && !e.Suspect && now.Sub(e.heard) > r.rules.MinSilence {
			e.Suspect = true
			e.told = 0
		}
	}
}

func (r *Roster) take(now time.Time, m Peer, direct bool) {
	if m.Box == r.self.Box || m.Silence > r.rules.MaxSilence || m.Silence < 0 {
		return
	}
	heard := now.Add(-m.Silence)
	known := r.members[m.Box]
	if known == nil {
		r.add(m, heard)
		return
	}
	if m.Suspect && known.InstanceID == m.InstanceID {
		r.accuse(now, known, heard)
		return
	}
	if !heard.After(known.heard) {
		return
	}
	if !direct && known.InstanceID == m.InstanceID {
		// Leaving is for good within one life, and old word of a suspect is
		// from before it fell silent.
		m.Leaving = m.Leaving || known.Leaving
		m.Suspect = known.Suspect && m.Silence > r.rules.ClearWithin
	}
	if m.Leaving != known.Leaving || m.Suspect != known.Suspect || m.InstanceID != known.InstanceID {
		known.told = 0
	}
	known.Peer = m
	known.heard = heard
}

// accuse takes another's suspicion, or contradicts it by what is known here.
func (r *Roster) accuse(now time.Time, known *rosterEntry, heard time.Time) {
	if now.Sub(known.heard) <= r.rules.MinSilence {
		known.told = 0
		return
	}
	if heard.After(known.heard) {
		known.heard = heard
	}
	if !known.Suspect {
		known.Suspect = true
		known.told = 0
	}
}

func (r *Roster) add(m Peer, heard time.Time) {
	r.members[m.Box] = &rosterEntry{
		Peer:  m,
		heard: heard,
	}
	at, _ := slices.BinarySearch(r.order, m.Box)
	r.order = slices.Insert(r.order, at, m.Box)
}

// DropSilent drops boxes that have been silent for long.
func (r *Roster) DropSilent(now time.Time) {
	r.order = slices.DeleteFunc(r.order, func(box string) bool {
		if now.Sub(r.members[box].heard) <= r.rules.MaxSilence {
			return false
		}
		delete(r.members, box)
		return true
	})
}

// Alive gives the boxes that are likely there, by name.
func (r *Roster) Alive(now time.Time) []Peer {
	return slices.DeleteFunc(r.All(now), func(m Peer) bool {
		return m.Leaving || m.Suspect || m.Silence > r.rules.MaxAliveSilence
	})
}

// All gives every box that is known, by name.
func (r *Roster) All(now time.Time) []Peer {
	all := make([]Peer, 0, len(r.order))
	for _, box := range r.order {
		all = append(all, r.members[box].as(now))
	}
	return all
}

// HasContact tells whether any box answered since the start.
func (r *Roster) HasContact() bool { return r.met }

// Sharers counts the boxes that share a budget: this one, and all that were
// heard of within the rules' time. It shrinks late on purpose: a box that is
// cut off must not take itself for the only one.
func (r *Roster) Sharers(now time.Time) int {
	n := 1
	for _, e := range r.members {
		if now.Sub(e.heard) <= r.rules.BudgetSilence {
			n++
		}
	}
	return n
}

// as gives an entry as it is told at a time.
func (e *rosterEntry) as(now time.Time) Peer {
	m := e.Peer
	m.Silence = now.Sub(e.heard)
	return m
}
