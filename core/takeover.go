package core

import (
	"slices"
	"time"
)

// takeover is what a home knows of those who were home before it.
type takeover struct {
	epochs     []ReplacedList
	heirOf     map[string]heir // by box that handed over
	known      map[string]life // lives of other boxes that were met
	settled    bool
	young      bool      // the fleet has no past but what its boxes know
	blindSince time.Time // keys from before are unknown to this home
}

// heir says what a box has handed over.
type heir struct {
	version    uint64    // of the list under which it did
	blindSince time.Time // what it knew from before was lost
}

type life struct {
	incarnation Incarnation
	replaced    bool // an earlier one was met
	metAt       time.Time
	told        bool // it handed over, and so said what it knew of this box
}

func newTakeover() takeover {
	return takeover{
		heirOf: make(map[string]heir),
		known:  make(map[string]life),
	}
}

type proof int

const (
	proofWhole proof = iota
	proofPending
	proofMissing
)

func (h *ClaimOwner) adopted(now time.Time, e ListAdopted) []Command {
	if h.reading.List != nil && e.List.Version <= h.reading.List.Version {
		return nil
	}
	h.remember(now, e.List)
	h.reading = ListSnapshot{
		List:        e.List,
		ConfirmedAt: e.At,
	}
	return h.handoverDue(now)
}

// remember keeps the replaced list as an epoch. A box that starts takes the
// list without itself as the one before; a gap in versions leaves it blind.
func (h *ClaimOwner) remember(now time.Time, next *List) {
	old := h.reading.List
	if old == nil {
		old = next.Without(h.self.Name)
		h.take.settled = len(old.Boxes) == 0
		h.take.young = next.Age <= h.rules.BootSlack
	} else if next.Version > old.Version+1 {
		h.take.settled = false
		h.take.blindSince = now
	}
	h.take.epochs = append(h.take.epochs, ReplacedList{
		List: old.forClaimOwners(),
		Next: next.Version,
		at:   now,
	})
}

// restartSeen tells that an earlier life of this box was met by another.
func (h *ClaimOwner) restartSeen() {
	if h.guards.on(GuardClaimRestart) && h.take.blindSince.Before(h.started) {
		h.take.blindSince = h.started
	}
}

// lostAt reports whether a key may have been granted by a home whose records
// were lost at a moment. A key that carries its time is judged by that: one made
// after every old home must have stopped can't have been granted there. Any
// other key may have been, until the guard time has passed.
func (h *ClaimOwner) lostAt(now time.Time, e *ClaimAsked, moment time.Time) bool {
	if e.Timed {
		return !now.Add(-e.KeyAge).After(moment.Add(h.rules.Fresh + h.rules.Skew))
	}
	return now.Sub(moment) <= h.rules.Guard
}

// provable tells whether every box that may have granted a key before has
// handed over, or can't have granted this one.
func (h *ClaimOwner) provable(now time.Time, e *ClaimAsked) proof {
	if !h.guards.on(GuardClaimTakeover) {
		return proofWhole
	}
	if e.Timed && e.KeyAge > h.rules.Retention-h.rules.Fresh-h.rules.Skew {
		return proofMissing
	}
	if !h.take.blindSince.IsZero() && h.lostAt(now, e, h.take.blindSince) {
		return proofMissing
	}
	if !h.take.settled && now.Sub(h.started) <= h.rules.Guard {
		return proofPending
	}
	result := proofWhole
	for i := range h.take.epochs {
		switch h.provableSince(now, e, &h.take.epochs[i]) {
		case proofMissing:
			return proofMissing
		case proofPending:
			result = proofPending
		}
	}
	return result
}

// provableSince is provable for the key's home under one replaced list. One that
// is still listed may yet hand over, and is waited for.
func (h *ClaimOwner) provableSince(now time.Time, e *ClaimAsked, ep *ReplacedList) proof {
	before := ep.List.ClaimOwner(ClaimScope(e.Key), nil)
	if before == "" || before == h.self.Name {
		return proofWhole
	}
	from := h.take.heirOf[before]
	handedOver := from.version >= ep.Next
	lost := ep.at
	if handedOver {
		lost = from.blindSince
	}
	if lost.IsZero() || !h.lostAt(now, e, lost) {
		return proofWhole
	}
	if !handedOver && h.reading.List.Member(before) != nil && now.Sub(ep.at) <= h.rules.Guard {
		return proofPending
	}
	return proofMissing
}

// meet notes a life of another box and tells whether an earlier one was known.
func (h *ClaimOwner) meet(now time.Time, other Box) bool {
	k, met := h.take.known[other.Name]
	if !met {
		h.take.known[other.Name] = life{
			incarnation: other.Incarnation,
			metAt:       now,
		}
		return false
	}
	if other.Incarnation > k.incarnation {
		k = life{
			incarnation: other.Incarnation,
			replaced:    true,
			metAt:       now,
		}
		h.take.known[other.Name] = k
		delete(h.take.heirOf, other.Name)
		h.boxLost(now, BoxLost{Box: Box{
			Name:        other.Name,
			Incarnation: other.Incarnation - 1,
		}})
	}
	return k.replaced
}

const heirForGood = ^uint64(0)

// settle takes over a past from one who knows it. In a young fleet nobody knows
// one: there, a box has heard of its own earlier life, if it had one, when every
// other box has answered.
func (h *ClaimOwner) settle(in Handover) {
	k := h.take.known[in.From.Name]
	k.told = true
	h.take.known[in.From.Name] = k
	if in.Settled || h.take.young && h.allTold() {
		h.take.settled = true
	}
}

func (h *ClaimOwner) allTold() bool {
	for i := range h.reading.List.Boxes {
		name := h.reading.List.Boxes[i].Name
		if name != h.self.Name && !h.take.known[name].told {
			return false
		}
	}
	return true
}

// inherit notes that a box grants nothing more of what is not its own under a
// list. What an earlier life of it knew is lost.
func (h *ClaimOwner) inherit(now time.Time, in Handover) {
	from := h.take.heirOf[in.From.Name]
	from.version = max(from.version, in.ListVersion)
	if in.Final {
		from.version = heirForGood
	}
	if in.Blind {
		from.blindSince = now.Add(-in.BlindAge)
	}
	if k := h.take.known[in.From.Name]; k.replaced && k.metAt.After(from.blindSince) {
		from.blindSince = k.metAt
	}
	h.take.heirOf[in.From.Name] = from
}

// handoverDue asks every earlier home that hasn't handed over yet.
func (h *ClaimOwner) handoverDue(now time.Time) []Command {
	if h.reading.List == nil {
		return nil
	}
	if h.retired {
		return h.retire(now)
	}
	h.sweep(now)
	h.take.epochs = slices.DeleteFunc(h.take.epochs, func(ep ReplacedList) bool { return now.Sub(ep.at) > h.rules.Retention })
	wanted := make(map[string]bool)
	homes := h.reading.List.ClaimOwners()
	for i := range h.take.epochs {
		if ep := &h.take.epochs[i]; now.Sub(ep.at) <= h.rules.Guard {
			h.wantFrom(ep, homes, wanted)
		}
	}
	if !h.take.settled {
		for i := range h.reading.List.Boxes {
			wanted[h.reading.List.Boxes[i].Name] = true
		}
	}
	delete(wanted, h.self.Name)
	return h.ask(wanted)
}

// wantFrom adds the boxes of a replaced list that haven't handed over and from
// which keys can have come to this one. Rendezvous moves a key to a box that was
// listed before only from one that no longer is; to a newcomer from any.
func (h *ClaimOwner) wantFrom(ep *ReplacedList, homes, wanted map[string]bool) {
	self := ep.List.Member(h.self.Name)
	newcomer := self == nil || self.Leaving
	for i := range ep.List.Boxes {
		name := ep.List.Boxes[i].Name
		if h.take.heirOf[name].version < ep.Next && (newcomer || !homes[name]) {
			wanted[name] = true
		}
	}
}

func (h *ClaimOwner) ask(wanted map[string]bool) []Command {
	names := make([]string, 0, len(wanted))
	for name := range wanted {
		names = append(names, name)
	}
	slices.Sort(names)
	commands := make([]Command, 0, len(names))
	for _, name := range names {
		commands = append(commands, HandoverWanted{
			From:        name,
			ListVersion: h.reading.List.Version,
		})
	}
	return commands
}
