package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShareRules bound who has a part of what is divided among all boxes.
type ShareRules struct {
	JoinDelay       time.Duration // since its start, before which a box has none
	SilentRetention time.Duration // how long a silent box keeps its part
	LeftRetention   time.Duration // how long one that said that it leaves does
	UnawareWindow   time.Duration // a box that was suspect this long after this one's start may not know of it
	ContestRanks    int           // ranks below this box's in which such a box may claim the same
}

// DefaultShareRules fit boxes that hear of each other within some seconds. The memory
// is above any time for which parts of a fleet lose each other, an hour: who forgot the
// others would take their parts. What the dead had is unused as long. Contests keep parts
// from being claimed twice while boxes are added and others are cut off.
func DefaultShareRules() ShareRules {
	return ShareRules{
		JoinDelay:       5 * time.Second,
		SilentRetention: 2 * time.Hour,
		LeftRetention:   30 * time.Second,
		UnawareWindow:   4 * time.Second,
		ContestRanks:    3,
	}
}

// ShareAllocator shares units out among all boxes without asking any: each unit is the box's
// that rendezvous hashing ranks first, so that boxes who know the same others never claim
// the same unit, and a box that comes or goes changes the fewest. A box that is silent
// keeps its units: it may be cut off from the others and not from what is divided.
type ShareAllocator struct {
	rules ShareRules
	self  uint64 // the hash of this box's name
	start time.Time
	known map[string]*divisionEntry
}

type divisionEntry struct {
	hash      uint64 // of the box's name
	heard     time.Time
	leftAt    time.Time // zero for a box that didn't say that it leaves
	suspectAt time.Time // zero for one that isn't suspect
}

// NewShareAllocator begins at a box's start.
func NewShareAllocator(now time.Time, self string, rules ShareRules) *ShareAllocator {
	return &ShareAllocator{
		rules: rules,
		self:  xxhash.Sum64String(self),
		start: now,
		known: make(map[string]*divisionEntry),
	}
}

// Observe takes what the roster knows of the others.
func (d *ShareAllocator) Observe(now time.Time, others []Peer) {
	for _, p := range others {
		e := d.known[p.Box]
		if e == nil {
			e = &divisionEntry{hash: xxhash.Sum64String(p.Box)}
			d.known[p.Box] = e
		}
		e.heard = now.Add(-p.Silence)
		e.leftAt = begin(e.leftAt, now, p.Leaving)
		e.suspectAt = begin(e.suspectAt, now, p.Suspect)
	}
	for box, e := range d.known {
		left := !e.leftAt.IsZero() && now.Sub(e.leftAt) > d.rules.LeftRetention
		if left || now.Sub(e.heard) > d.rules.SilentRetention {
			delete(d.known, box)
		}
	}
}

// begin gives since when something holds, or the zero time if it doesn't.
func begin(since, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if since.IsZero() {
		return now
	}
	return since
}

// Share gives how many of some units of a thing are this box's.
func (d *ShareAllocator) Share(now time.Time, thing string, units int) int {
	if now.Sub(d.start) < d.rules.JoinDelay {
		return 0
	}
	key := xxhash.Sum64String(thing)
	others := make([]claimant, 0, len(d.known))
	for _, e := range d.known {
		others = append(others, claimant{
			base:   finalize(key ^ e.hash),
			unsure: d.unsure(e),
		})
	}
	share := 0
	for unit := range units {
		if d.mine(finalize(key^d.self), others, uint64(unit)) {
			share++
		}
	}
	return share
}

// claimant is another box in the ranking for one thing.
type claimant struct {
	base   uint64
	unsure bool // it may not know of this box
}

// unsure tells whether a box was out of reach before it can have heard of this one.
func (d *ShareAllocator) unsure(e *divisionEntry) bool {
	return !e.suspectAt.IsZero() && e.suspectAt.Sub(d.start) < d.rules.UnawareWindow
}

// mine tells whether this box ranks first for a unit, and none of those that come next
// may take itself for the first.
func (d *ShareAllocator) mine(own uint64, others []claimant, unit uint64) bool {
	next := make([]claimant, 0, d.rules.ContestRanks+1)
	weight := unitWeight(own, unit)
	for _, c := range others {
		w := unitWeight(c.base, unit)
		if w > weight {
			return false
		}
		next = insertByWeight(next, claimant{
			base:   w,
			unsure: c.unsure,
		}, d.rules.ContestRanks)
	}
	for _, c := range next {
		if c.unsure {
			return false
		}
	}
	return true
}

// insertByWeight keeps the heaviest of claimants, whose base is their weight here.
func insertByWeight(all []claimant, c claimant, most int) []claimant {
	at := len(all)
	for at > 0 && all[at-1].base < c.base {
		at--
	}
	if at >= most {
		return all
	}
	all = append(all, claimant{})
	copy(all[at+1:], all[at:])
	all[at] = c
	return all[:min(len(all), most)]
}

// unitSteps sets the weights of one box's units apart: the odd number next to 2^64 over
// the golden ratio.
const unitSteps = 0x9e3779b97f4a7c15

func unitWeight(base, unit uint64) uint64 { return finalize(base + unit*unitSteps) }
