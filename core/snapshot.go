package core

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Clone copies a home, so that a checker can go on from one state twice.
func (o *ClaimOwner) Clone() *ClaimOwner {
	copied := *o
	copied.records = make(map[ClaimKey]*ClaimRecord, len(o.records))
	for key, r := range o.records {
		one := *r
		copied.records[key] = &one
	}
	copied.takeover.replacedLists = slices.Clone(o.takeover.replacedLists)
	copied.takeover.handovers = maps.Clone(o.takeover.handovers)
	copied.takeover.peers = maps.Clone(o.takeover.peers)
	return &copied
}

// Fingerprint writes all that decides a home's later answers, with times as
// ages, so that two states that behave alike are written alike.
func (o *ClaimOwner) Fingerprint(b []byte, now time.Time) []byte {
	age := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1
		}
		return max(min(now.Sub(t), o.rules.Guard+1), -o.rules.Guard-1)
	}
	version := uint64(0)
	if o.snapshot.List != nil {
		version = o.snapshot.List.Version
	}
	b = fmt.Appendf(b, "H%v,%d,%d,%v,%v|", o.self, version, age(o.snapshot.ConfirmedAt), o.retired, age(o.started))
	for _, key := range o.sortedKeys() {
		r := o.records[key]
		b = fmt.Appendf(b, "%s:%s/%s/%v|", key.Key, r.State, r.Attempt, r.Asker)
	}
	for _, ep := range o.takeover.replacedLists {
		b = fmt.Appendf(b, "e%d-%d/%d/%d|", ep.List.Version, ep.Next, len(ep.List.Boxes), age(ep.replacedAt))
	}
	for _, name := range slices.Sorted(maps.Keys(o.takeover.handovers)) {
		handover := o.takeover.handovers[name]
		b = fmt.Appendf(b, "h%s%d/%d|", name, handover.version, age(handover.recordsLostAt))
	}
	for _, name := range slices.Sorted(maps.Keys(o.takeover.peers)) {
		k := o.takeover.peers[name]
		b = fmt.Appendf(b, "k%s%d/%v/%d/%v|", name, k.incarnation, k.restarted, age(k.firstSeen), k.handedOver)
	}
	return fmt.Appendf(b, "%v/%v/%d", o.takeover.historyKnown, o.takeover.newFleet, age(o.takeover.recordsLostAt))
}

// Clone copies an owner's hold.
func (o *Ownership) Clone() *Ownership {
	copied := *o
	return &copied
}

// Fingerprint writes what decides a hold's later answers.
func (o *Ownership) Fingerprint(b []byte, now time.Time) []byte {
	wait := max(0, o.waitUntil.Sub(now))
	untilClear := max(0, o.predecessorEnd.Sub(now))
	age := min(now.Sub(o.confirmedAt), o.rules.Fresh+1)
	tick := min(now.Sub(o.lastTick), o.rules.Fresh+1)
	return fmt.Appendf(b, "L%s,%v,%v,%d,%d,%d,%d,%v|", o.State, o.leaving, o.predecessorGone, wait, untilClear, age, tick, o.resumedAt.IsZero())
}

// Clone copies a generation.
func (g *Generation) Clone() *Generation {
	copied := *g
	return &copied
}

// Fingerprint writes what decides a generation's later answers.
func (g *Generation) Fingerprint(b []byte, now time.Time) []byte {
	cut := time.Duration(-1)
	if !g.interruptedAt.IsZero() {
		cut = min(now.Sub(g.interruptedAt), g.rules.ResumeWindow+1)
	}
	return fmt.Appendf(b, "G%s,%d,%v,%d,%v,%v,%s,%s,%d,%d|",
		g.State, g.Attempt, g.Origin, g.NextOffset, g.BytesSent, g.MayHaveRun, g.Outcome, g.Code, cut, g.interruptedOffset)
}

// Clone copies the versions.
func (v *Versions) Clone() *Versions {
	copied := *v
	return &copied
}

// Clone copies an endpoint's gate.
func (g *FenceCheck) Clone() *FenceCheck {
	copied := *g
	return &copied
}

// Clone copies an owner's right to order.
func (o *OrderPermission) Clone() *OrderPermission {
	copied := *o
	return &copied
}

// Fingerprint writes what decides an owner's right to order.
func (o *OrderPermission) Fingerprint(b []byte, now time.Time) []byte {
	limit := 2*o.rules.Fresh + 1
	return fmt.Appendf(b, "O%v,%d,%d|", o.isOwner, min(now.Sub(o.takenAt), limit), min(now.Sub(o.confirmedAt), limit))
}

// Clone copies a drain.
func (d *Drain) Clone() *Drain {
	copied := *d
	return &copied
}
