package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShareRules configure which boxes get a share of a resource and when.
type ShareRules struct {
	JoinDelay       time.Duration // how long after its start a box has no share
	SilentRetention time.Duration // how long a silent box keeps its share
	LeftRetention   time.Duration // how long a box that announced its exit keeps its share
	UnawareWindow   time.Duration // time after this box's start in which a box that becomes suspect may not know of it
	ContestRanks    int           // number of boxes ranked next for a unit that must not be unaware of this one
}

// DefaultShareRules returns the rules for boxes that hear of each other within seconds.
// SilentRetention exceeds any expected network partition, which may last an hour, since
// boxes that forgot the others would claim their units too. ContestRanks keeps units from
// being claimed twice while boxes join and others are partitioned off.
func DefaultShareRules() ShareRules {
	return ShareRules{
		JoinDelay:       5 * time.Second,
		SilentRetention: 2 * time.Hour,
		LeftRetention:   30 * time.Second,
		UnawareWindow:   4 * time.Second,
		ContestRanks:    3,
	}
}

// ShareAllocator divides the units of a resource, such as an endpoint's rate limit, among
// all boxes without coordination. Rendezvous hashing assigns each unit to one box, so boxes
// with the same membership view never claim the same unit, and few units move when a box
// joins or leaves. A silent box keeps its units: it may still reach the resource.
type ShareAllocator struct {
	rules     ShareRules
	self      uint64 // hash of this box's name
	startedAt time.Time
	members   map[string]*shareMember
}

// shareMember is another box among which units are divided.
type shareMember struct {
	hash         uint64 // hash of the box's name
	lastHeard    time.Time
	leavingSince time.Time // zero unless the box announced its exit
	suspectSince time.Time // zero unless the box is suspect
}

// NewShareAllocator returns the allocator of a box that starts now.
func NewShareAllocator(now time.Time, self string, rules ShareRules) *ShareAllocator {
	return &ShareAllocator{
		rules:     rules,
		self:      xxhash.Sum64String(self),
		startedAt: now,
		members:   make(map[string]*shareMember),
	}
}

// Observe updates the members from the roster's other boxes, and removes those whose
// retention has passed.
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

// conditionSince returns since when a condition has held, or the zero time if it doesn't.
func conditionSince(since, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if since.IsZero() {
		return now
	}
	return since
}

// Share returns how many units of a resource belong to this box.
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

// contender is another box in the ranking for a unit.
type contender struct {
	base         uint64 // hash of resource and box; in a ranking, the weight for the unit
	mayBeUnaware bool   // the box may not know of this one
}

// mayBeUnaware reports whether a box was suspected before it can have heard of this one.
func (a *ShareAllocator) mayBeUnaware(e *shareMember) bool {
	return !e.suspectSince.IsZero() && e.suspectSince.Sub(a.startedAt) < a.rules.UnawareWindow
}

// ownsUnit reports whether this box ranks first for a unit and none of the boxes ranked
// next may claim it because they are unaware of this box.
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

// insertByWeight inserts a contender into a list sorted by descending weight, which base
// holds here, and keeps the first ones up to the limit.
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

// unitStride separates the weights of one box's units: the odd number nearest to 2^64
// divided by the golden ratio.
const unitStride = 0x9e3779b97f4a7c15

// unitWeight returns a box's rendezvous weight for a unit.
func unitWeight(base, unit uint64) uint64 { return splitmix64(base + unit*unitStride) }
