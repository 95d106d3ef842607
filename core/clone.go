package core

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Clone returns an independent copy for the model checker.
func (o *ClaimOwner) Clone() *ClaimOwner {
	copied := *o
	copied.records = make(map[ClaimKey]*ClaimRecord, len(o.records))
	for key, r := range o.records {
		recordCopy := *r
		copied.records[key] = &recordCopy
	}
	copied.takeover.replacedLists = slices.Clone(o.takeover.replacedLists)
	copied.takeover.handovers = maps.Clone(o.takeover.handovers)
	copied.takeover.peers = maps.Clone(o.takeover.peers)
	return &copied
}

// Fingerprint appends everything that determines the claim owner's later answers.
// Times are written as ages, so that equivalent states have equal fingerprints.
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
	for _, replaced := range o.takeover.replacedLists {
		b = fmt.Appendf(b, "e%d-%d/%d/%d|", replaced.List.Version, replaced.Next, len(replaced.List.Boxes), age(replaced.replacedAt))
	}
	for _, name := range slices.Sorted(maps.Keys(o.takeover.handovers)) {
		status := o.takeover.handovers[name]
		b = fmt.Appendf(b, "h%s%d/%d|", name, status.version, age(status.recordsLostAt))
	}
	for _, name := range slices.Sorted(maps.Keys(o.takeover.peers)) {
		peer := o.takeover.peers[name]
		b = fmt.Appendf(b, "k%s%d/%v/%d/%v|", name, peer.incarnation, peer.restarted, age(peer.firstSeen), peer.handedOver)
	}
	return fmt.Appendf(b, "%v/%v/%d", o.takeover.historyKnown, o.takeover.newFleet, age(o.takeover.recordsLostAt))
}

// Clone returns an independent copy for the model checker.
func (o *Ownership) Clone() *Ownership {
	copied := *o
	return &copied
}

// Fingerprint appends everything that determines the ownership's later answers.
func (o *Ownership) Fingerprint(b []byte, now time.Time) []byte {
	wait := max(0, o.waitUntil.Sub(now))
	untilClear := max(0, o.predecessorEnd.Sub(now))
	age := min(now.Sub(o.confirmedAt), o.rules.Fresh+1)
	tick := min(now.Sub(o.lastTick), o.rules.Fresh+1)
	return fmt.Appendf(b, "L%s,%v,%v,%d,%d,%d,%d,%v|", o.State, o.leaving, o.predecessorGone, wait, untilClear, age, tick, o.resumedAt.IsZero())
}

// Clone returns an independent copy for the model checker.
func (g *Generation) Clone() *Generation {
	copied := *g
	return &copied
}

// Fingerprint appends everything that determines the generation's later commands.
func (g *Generation) Fingerprint(b []byte, now time.Time) []byte {
	cut := time.Duration(-1)
	if !g.interruptedAt.IsZero() {
		cut = min(now.Sub(g.interruptedAt), g.rules.ResumeWindow+1)
	}
	return fmt.Appendf(b, "G%s,%d,%v,%d,%v,%v,%s,%s,%d,%d|",
		g.State, g.Attempt, g.Origin, g.NextOffset, g.BytesSent, g.MayHaveRun, g.Outcome, g.Code, cut, g.interruptedOffset)
}

// Clone returns an independent copy for the model checker.
func (v *Versions) Clone() *Versions {
	copied := *v
	return &copied
}

// Clone returns an independent copy for the model checker.
func (c *FenceCheck) Clone() *FenceCheck {
	copied := *c
	return &copied
}

// Clone returns an independent copy for the model checker.
func (o *OrderPermission) Clone() *OrderPermission {
	copied := *o
	return &copied
}

// Fingerprint appends everything that determines the later permissions.
func (o *OrderPermission) Fingerprint(b []byte, now time.Time) []byte {
	limit := 2*o.rules.Fresh + 1
	return fmt.Appendf(b, "O%v,%d,%d|", o.isOwner, min(now.Sub(o.takenAt), limit), min(now.Sub(o.confirmedAt), limit))
}

// Clone returns an independent copy for the model checker.
func (d *Drain) Clone() *Drain {
	copied := *d
	return &copied
}
