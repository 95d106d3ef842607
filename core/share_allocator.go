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
	rules     ShareRules
	self      uint64 // the hash of this box's name
	startedAt time.Time
	members   map[string]*shareMember
}

type shareMember struct {
	hash         uint64 // of the box's name
	lastHeard    time.Time
	leavingSince time.Time // zero for a box that didn't say that it leaves
	suspectSince time.Time // zero for one that isn't suspect
}

// NewShareAllocator begins at a box's start.
func NewShareAllocator(now time.Time, self string, rules ShareRules) *ShareAllocator {
	return &ShareAllocator{
		rules:     rules,
		self:      xxhash.Sum64String(self),
		startedAt: now,
		members:   make(map[string]*shareMember),
	}
}

// Observe takes what the roster knows of the others.
func (a *ShareAllocator) Observe(now time.Time, others []Peer) {
	for _, p := range others {
		e := a.members[p.Box]
		if e == nil {
			e = &shareMember{hash: xxhash.Sum64String(p.Box)}
			a.members[p.Box] = e
		}
		e.lastHeard = now.Add(-p.Silence)
		e.leavingSince = conditionSince(e.leavingSince, now, p.Leaving)
		e.suspectSince = conditionSince(e.suspectSince, now, p.Suspect)
	}
	for box, e := range a.members {
		hasLeft := !e.leavingSince.IsZero() && now.Sub(e.leavingSince) > a.rules.LeftRetention
		if hasLeft || now.Sub(e.lastHeard) > a.rules.SilentRetention {
			delete(a.members, box)
		}
	}
}

// conditionSince gives since when something holds, or the zero time if it doesn't.
func conditionSince(since, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if since.IsZero() {
		return now
	}
	return since
}

// Share gives how many of some units of a thing are this box's.
func (a *ShareAllocator) Share(now time.Time, resource string, units int) int {
	if now.Sub(a.startedAt) < a.rules.JoinDelay {
		return 0
	}
	key := xxhash.Sum64String(resource)
	contenders := make([]contender, 0, len(a.members))
	for _, e := range a.members {
		contenders = append(contenders, contender{
			base:         splitmix64(key ^ e.hash),
			mayBeUnaware: a.mayBeUnaware(e),
		})
	}
	share := 0
	for unit := range units {
		if a.ownsUnit(splitmix64(key^a.self), contenders, uint64(unit)) {
			share++
		}
	}
	return share
}

// contender is another box in the ranking for one thing.
type contender struct {
	base         uint64
	mayBeUnaware bool // it may not know of this box
}

// mayBeUnaware tells whether a box was out of reach before it can have heard of this one.
func (a *ShareAllocator) mayBeUnaware(e *shareMember) bool {
	return !e.suspectSince.IsZero() && e.suspectSince.Sub(a.startedAt) < a.rules.UnawareWindow
}

// ownsUnit tells whether this box ranks first for a unit, and none of those that come next
// may take itself for the first.
func (a *ShareAllocator) ownsUnit(ownBase uint64, contenders []contender, unit uint64) bool {
	runnersUp := make([]contender, 0, a.rules.ContestRanks+1)
	weight := unitWeight(ownBase, unit)
	for _, c := range contenders {
		w := unitWeight(c.base, unit)
		if w > weight {
			return false
		}
		runnersUp = insertByWeight(runnersUp, contender{
			base:         w,
			mayBeUnaware: c.mayBeUnaware,
		}, a.rules.ContestRanks)
	}
	for _, c := range runnersUp {
		if c.mayBeUnaware {
			return false
		}
	}
	return true
}

// insertByWeight keeps the heaviest of claimants, whose base is their weight here.
func insertByWeight(contenders []contender, c contender, limit int) []contender {
	index := len(contenders)
	for index > 0 && contenders[index-1].base < c.base {
		index--
	}
	if index >= limit {
		return contenders
	}
	contenders = append(contenders, contender{})
	copy(contenders[index+1:], contenders[index:])
	contenders[index] = c
	return contenders[:min(len(contenders), limit)]
}

// unitStride sets the weights of one box's units apart: the odd number next to 2^64 over
// the golden ratio.
const unitStride = 0x9e3779b97f4a7c15

func unitWeight(base, unit uint64) uint64 { return splitmix64(base + unit*unitStride) }
