package core

import (
	"slices"
	"time"
)

// takeoverState is what a claim owner knows about the previous owners of its keys.
type takeoverState struct {
	replacedLists []ReplacedList
	handovers     map[string]handoverStatus // by name of the box that handed over
	peers         map[string]peerLife       // by box name
	historyKnown  bool                      // replacedLists and recordsLostAt are complete
	newFleet      bool                      // the first box list was younger than BootSlack
	recordsLostAt time.Time                 // older records of this owner are lost; zero if none are
}

// handoverStatus is what a box has handed over.
type handoverStatus struct {
	version       uint64    // list version of its newest handover
	recordsLostAt time.Time // older records of that box are lost; zero if none are
}

// peerLife is the newest known process of another box.
type peerLife struct {
	incarnation Incarnation
	restarted   bool // an earlier process of the box was known
	firstSeen   time.Time
	handedOver  bool // its handover arrived, which also reports restarts of this box
}

func newTakeoverState() takeoverState {
	return takeoverState{
		handovers: make(map[string]handoverStatus),
		peers:     make(map[string]peerLife),
	}
}

// priorGrants is the result of checking whether another claim owner granted a key.
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
	o.snapshot = ListSnapshot{
		List:        e.List,
		ConfirmedAt: e.At,
	}
	return o.requestHandovers(now)
}

// keepReplacedList keeps the list that next replaces. A box without a list assumes
// that the list before was the same without itself. If versions were skipped, their
// owners are unknown, and the records count as lost.
func (o *ClaimOwner) keepReplacedList(now time.Time, next *List) {
	previous := o.snapshot.List
	if previous == nil {
		previous = next.Without(o.self.Name)
		o.takeover.historyKnown = len(previous.Boxes) == 0
		o.takeover.newFleet = next.Age <= o.rules.BootSlack
	} else if next.Version > previous.Version+1 {
		o.takeover.historyKnown = false
		o.takeover.recordsLostAt = now
	}
	o.takeover.replacedLists = append(o.takeover.replacedLists, ReplacedList{
		List:       previous.forClaimOwners(),
		Next:       next.Version,
		replacedAt: now,
	})
}

// markRestarted treats the records of an earlier process of this box as lost.
func (o *ClaimOwner) markRestarted() {
	if o.guards.enabled(GuardClaimRestart) && o.takeover.recordsLostAt.Before(o.started) {
		o.takeover.recordsLostAt = o.started
	}
}

// grantMayBeLost reports whether a key may have been granted by a claim owner whose
// records were lost at lossTime. A key with a creation time can't have been if it was
// created after all such owners had stopped granting. Any other key counts as
// possibly granted until the guard time has passed.
func (o *ClaimOwner) grantMayBeLost(now time.Time, e *ClaimAsked, lossTime time.Time) bool {
	if e.Timed {
		return !now.Add(-e.KeyAge).After(lossTime.Add(o.rules.Fresh + o.rules.Skew))
	}
	return now.Sub(lossTime) <= o.rules.Guard
}

// checkPriorGrants determines whether a previous owner may have granted the key: it
// didn't if each one has handed over its records or can't have granted this key.
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

// checkPriorGrant is checkPriorGrants for the key's owner under one replaced list. If
// that box is still listed, its handover is pending.
func (o *ClaimOwner) checkPriorGrant(now time.Time, e *ClaimAsked, replaced *ReplacedList) priorGrants {
	previousOwner := replaced.List.ClaimOwner(ClaimScope(e.Key), nil)
	if previousOwner == "" || previousOwner == o.self.Name {
		return priorGrantsExcluded
	}
	status := o.takeover.handovers[previousOwner]
	handedOver := status.version >= replaced.Next
	lossTime := replaced.replacedAt
	if handedOver {
		lossTime = status.recordsLostAt
	}
	if lossTime.IsZero() || !o.grantMayBeLost(now, e, lossTime) {
		return priorGrantsExcluded
	}
	if !handedOver && o.snapshot.List.Member(previousOwner) != nil && now.Sub(replaced.replacedAt) <= o.rules.Guard {
		return priorGrantsPending
	}
	return priorGrantsPossible
}

// recordPeer records a process of another box and reports whether an earlier process
// of that box was known.
func (o *ClaimOwner) recordPeer(now time.Time, other Box) bool {
	peer, seen := o.takeover.peers[other.Name]
	if !seen {
		o.takeover.peers[other.Name] = peerLife{
			incarnation: other.Incarnation,
			firstSeen:   now,
		}
		return false
	}
	if other.Incarnation > peer.incarnation {
		peer = peerLife{
			incarnation: other.Incarnation,
			restarted:   true,
			firstSeen:   now,
		}
		o.takeover.peers[other.Name] = peer
		delete(o.takeover.handovers, other.Name)
		o.handleBoxLost(now, BoxLost{Box: Box{
			Name:        other.Name,
			Incarnation: other.Incarnation - 1,
		}})
	}
	return peer.restarted
}

// finalHandover is the version of a handover that covers all later lists.
const finalHandover = ^uint64(0)

// mergeHistory updates historyKnown. The history is known once a box that knows it
// has handed over. In a new fleet no box does; there, it is enough that all boxes
// have handed over, since each reports whether it knew an earlier process of this box.
func (o *ClaimOwner) mergeHistory(in Handover) {
	peer := o.takeover.peers[in.From.Name]
	peer.handedOver = true
	o.takeover.peers[in.From.Name] = peer
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

// recordHandover records that the sender won't grant keys that it doesn't own under
// its list. The records of the sender's earlier processes are lost.
func (o *ClaimOwner) recordHandover(now time.Time, in Handover) {
	status := o.takeover.handovers[in.From.Name]
	status.version = max(status.version, in.ListVersion)
	if in.Final {
		status.version = finalHandover
	}
	if in.Blind {
		status.recordsLostAt = now.Add(-in.BlindAge)
	}
	if peer := o.takeover.peers[in.From.Name]; peer.restarted && peer.firstSeen.After(status.recordsLostAt) {
		status.recordsLostAt = peer.firstSeen
	}
	o.takeover.handovers[in.From.Name] = status
}

// requestHandovers requests a handover from each previous owner that hasn't sent one.
func (o *ClaimOwner) requestHandovers(now time.Time) []Command {
	if o.snapshot.List == nil {
		return nil
	}
	if o.retired {
		return o.handOverAll(now)
	}
	o.sweep(now)
	o.takeover.replacedLists = slices.DeleteFunc(o.takeover.replacedLists, func(replaced ReplacedList) bool { return now.Sub(replaced.replacedAt) > o.rules.Retention })
	targets := make(map[string]bool)
	owners := o.snapshot.List.ClaimOwners()
	for i := range o.takeover.replacedLists {
		if replaced := &o.takeover.replacedLists[i]; now.Sub(replaced.replacedAt) <= o.rules.Guard {
			o.addPredecessors(replaced, owners, targets)
		}
	}
	if !o.takeover.historyKnown {
		for i := range o.snapshot.List.Boxes {
			targets[o.snapshot.List.Boxes[i].Name] = true
		}
	}
	delete(targets, o.self.Name)
	return o.handoverRequests(targets)
}

// addPredecessors adds the boxes of a replaced list that may have owned keys of this
// box and haven't handed over. With rendezvous hashing, a box that was listed before
// gains keys only from boxes that are gone; a new box gains keys from all.
func (o *ClaimOwner) addPredecessors(replaced *ReplacedList, owners, targets map[string]bool) {
	self := replaced.List.Member(o.self.Name)
	newcomer := self == nil || self.Leaving
	for i := range replaced.List.Boxes {
		name := replaced.List.Boxes[i].Name
		if o.takeover.handovers[name].version < replaced.Next && (newcomer || !owners[name]) {
			targets[name] = true
		}
	}
}

func (o *ClaimOwner) handoverRequests(targets map[string]bool) []Command {
	names := make([]string, 0, len(targets))
	for name := range targets {
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
