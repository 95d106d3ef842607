package core

import (
	"slices"
	"time"
)

// takeoverState is what a home knows of those who were home before it.
type takeoverState struct {
	replacedLists []ReplacedList
	handovers     map[string]handoverStatus // by box that handed over
	peers         map[string]peerLife       // lives of other boxes that were met
	historyKnown  bool
	newFleet      bool      // the fleet has no past but what its boxes know
	recordsLostAt time.Time // keys from before are unknown to this home
}

// handoverStatus says what a box has handed over.
type handoverStatus struct {
	version       uint64    // of the list under which it did
	recordsLostAt time.Time // what it knew from before was lost
}

type peerLife struct {
	incarnation Incarnation
	restarted   bool // an earlier one was met
	firstSeen   time.Time
	handedOver  bool // it handed over, and so said what it knew of this box
}

func newTakeoverState() takeoverState {
	return takeoverState{
		handovers: make(map[string]handoverStatus),
		peers:     make(map[string]peerLife),
	}
}

type priorGrants int

const (
	priorGrantsExcluded priorGrants = iota
	priorGrantsPending
	priorGrantsPossible
)

func (o *ClaimOwner) handleListAdopted(now time.Time, e ListAdopted) []Command {
	if o.snapshot.List != nil && e.List.Version <= o.snapshot.List.Version {
		return nil
	}
	o.keepReplacedList(now, e.List)
	o.snapshot = Reading{
		List:        e.List,
		ConfirmedAt: e.At,
	}
	return o.requestHandovers(now)
}

// keepReplacedList keeps the replaced list as an epoch. A box that starts takes the
// list without itself as the one before; a gap in versions leaves it blind.
func (o *ClaimOwner) keepReplacedList(now time.Time, next *List) {
	old := o.snapshot.List
	if old == nil {
		old = next.Without(o.self.Name)
		o.takeover.historyKnown = len(old.Boxes) == 0
		o.takeover.newFleet = next.Age <= o.rules.BootSlack
	} else if next.Version > old.Version+1 {
		o.takeover.historyKnown = false
		o.takeover.recordsLostAt = now
	}
	o.takeover.replacedLists = append(o.takeover.replacedLists, ReplacedList{
		List:       old.forClaimOwners(),
		Next:       next.Version,
		replacedAt: now,
	})
}

// markRestarted tells that an earlier life of this box was met by another.
func (o *ClaimOwner) markRestarted() {
	if o.guards.enabled(GuardClaimRestart) && o.takeover.recordsLostAt.Before(o.started) {
		o.takeover.recordsLostAt = o.started
	}
}

// grantMayBeLost reports whether a key may have been granted by a home whose records
// were lost at a moment. A key that carries its time is judged by that: one made
// after every old home must have stopped can't have been granted there. Any
// other key may have been, until the guard time has passed.
func (o *ClaimOwner) grantMayBeLost(now time.Time, e *ClaimAsked, lossTime time.Time) bool {
	if e.Timed {
		return !now.Add(-e.KeyAge).After(lossTime.Add(o.rules.Fresh + o.rules.Skew))
	}
	return now.Sub(lossTime) <= o.rules.Guard
}

// checkPriorGrants tells whether every box that may have granted a key before has
// handed over, or can't have granted this one.
func (o *ClaimOwner) checkPriorGrants(now time.Time, e *ClaimAsked) priorGrants {
	if !o.guards.enabled(GuardClaimTakeover) {
		return priorGrantsExcluded
	}
	if e.Timed && e.KeyAge > o.rules.Retention-o.rules.Fresh-o.rules.Skew {
		return priorGrantsPossible
	}
	if !o.takeover.recordsLostAt.IsZero() && o.grantMayBeLost(now, e, o.takeover.recordsLostAt) {
		return priorGrantsPossible
	}
	if !o.takeover.historyKnown && now.Sub(o.started) <= o.rules.Guard {
		return priorGrantsPending
	}
	result := priorGrantsExcluded
	for i := range o.takeover.replacedLists {
		switch o.checkPriorGrant(now, e, &o.takeover.replacedLists[i]) {
		case priorGrantsPossible:
			return priorGrantsPossible
		case priorGrantsPending:
			result = priorGrantsPending
		}
	}
	return result
}

// checkPriorGrant is provable for the key's home under one replaced list. One that
// is still listed may yet hand over, and is waited for.
func (o *ClaimOwner) checkPriorGrant(now time.Time, e *ClaimAsked, ep *ReplacedList) priorGrants {
	previousOwner := ep.List.ClaimOwner(ClaimScope(e.Key), nil)
	if previousOwner == "" || previousOwner == o.self.Name {
		return priorGrantsExcluded
	}
	handover := o.takeover.handovers[previousOwner]
	handedOver := handover.version >= ep.Next
	lossTime := ep.replacedAt
	if handedOver {
		lossTime = handover.recordsLostAt
	}
	if lossTime.IsZero() || !o.grantMayBeLost(now, e, lossTime) {
		return priorGrantsExcluded
	}
	if !handedOver && o.snapshot.List.Member(previousOwner) != nil && now.Sub(ep.replacedAt) <= o.rules.Guard {
		return priorGrantsPending
	}
	return priorGrantsPossible
}

// recordPeer notes a life of another box and tells whether an earlier one was known.
func (o *ClaimOwner) recordPeer(now time.Time, other Box) bool {
	k, met := o.takeover.peers[other.Name]
	if !met {
		o.takeover.peers[other.Name] = peerLife{
			incarnation: other.Incarnation,
			firstSeen:   now,
		}
		return false
	}
	if other.Incarnation > k.incarnation {
		k = peerLife{
			incarnation: other.Incarnation,
			restarted:   true,
			firstSeen:   now,
		}
		o.takeover.peers[other.Name] = k
		delete(o.takeover.handovers, other.Name)
		o.handleBoxLost(now, BoxLost{Box: Box{
			Name:        other.Name,
			Incarnation: other.Incarnation - 1,
		}})
	}
	return k.restarted
}

const finalHandover = ^uint64(0)

// mergeHistory takes over a past from one who knows it. In a young fleet nobody knows
// one: there, a box has heard of its own earlier life, if it had one, when every
// other box has answered.
func (o *ClaimOwner) mergeHistory(in Handover) {
	k := o.takeover.peers[in.From.Name]
	k.handedOver = true
	o.takeover.peers[in.From.Name] = k
	if in.Settled || o.takeover.newFleet && o.allHandedOver() {
		o.takeover.historyKnown = true
	}
}

func (o *ClaimOwner) allHandedOver() bool {
	for i := range o.snapshot.List.Boxes {
		name := o.snapshot.List.Boxes[i].Name
		if name != o.self.Name && !o.takeover.peers[name].handedOver {
			return false
		}
	}
	return true
}

// recordHandover notes that a box grants nothing more of what is not its own under a
// list. What an earlier life of it knew is lost.
func (o *ClaimOwner) recordHandover(now time.Time, in Handover) {
	handover := o.takeover.handovers[in.From.Name]
	handover.version = max(handover.version, in.ListVersion)
	if in.Final {
		handover.version = finalHandover
	}
	if in.Blind {
		handover.recordsLostAt = now.Add(-in.BlindAge)
	}
	if k := o.takeover.peers[in.From.Name]; k.restarted && k.firstSeen.After(handover.recordsLostAt) {
		handover.recordsLostAt = k.firstSeen
	}
	o.takeover.handovers[in.From.Name] = handover
}

// requestHandovers asks every earlier home that hasn't handed over yet.
func (o *ClaimOwner) requestHandovers(now time.Time) []Command {
	if o.snapshot.List == nil {
		return nil
	}
	if o.retired {
		return o.handOverAll(now)
	}
	o.sweep(now)
	o.takeover.replacedLists = slices.DeleteFunc(o.takeover.replacedLists, func(ep ReplacedList) bool { return now.Sub(ep.replacedAt) > o.rules.Retention })
	wanted := make(map[string]bool)
	owners := o.snapshot.List.ClaimOwners()
	for i := range o.takeover.replacedLists {
		if ep := &o.takeover.replacedLists[i]; now.Sub(ep.replacedAt) <= o.rules.Guard {
			o.addPredecessors(ep, owners, wanted)
		}
	}
	if !o.takeover.historyKnown {
		for i := range o.snapshot.List.Boxes {
			wanted[o.snapshot.List.Boxes[i].Name] = true
		}
	}
	delete(wanted, o.self.Name)
	return o.handoverRequests(wanted)
}

// addPredecessors adds the boxes of a replaced list that haven't handed over and from
// which keys can have come to this one. Rendezvous moves a key to a box that was
// listed before only from one that no longer is; to a newcomer from any.
func (o *ClaimOwner) addPredecessors(ep *ReplacedList, owners, wanted map[string]bool) {
	self := ep.List.Member(o.self.Name)
	newcomer := self == nil || self.Leaving
	for i := range ep.List.Boxes {
		name := ep.List.Boxes[i].Name
		if o.takeover.handovers[name].version < ep.Next && (newcomer || !owners[name]) {
			wanted[name] = true
		}
	}
}

func (o *ClaimOwner) handoverRequests(wanted map[string]bool) []Command {
	names := make([]string, 0, len(wanted))
	for name := range wanted {
		names = append(names, name)
	}
	slices.Sort(names)
	commands := make([]Command, 0, len(names))
	for _, name := range names {
		commands = append(commands, HandoverWanted{
			From:        name,
			ListVersion: o.snapshot.List.Version,
		})
	}
	return commands
}
