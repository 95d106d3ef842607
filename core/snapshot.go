package core

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Clone copies a home, so that a checker can go on from one state twice.
func (h *ClaimOwner) Clone() *ClaimOwner {
	copied := *h
	copied.records = make(map[ClaimKey]*ClaimRecord, len(h.records))
	for key, r := range h.records {
		one := *r
		copied.records[key] = &one
	}
	copied.take.epochs = slices.Clone(h.take.epochs)
	copied.take.heirOf = maps.Clone(h.take.heirOf)
	copied.take.known = maps.Clone(h.take.known)
	return &copied
}

// Fingerprint writes all that decides a home's later answers, with times as
// ages, so that two states that behave alike are written alike.
func (h *ClaimOwner) Fingerprint(b []byte, now time.Time) []byte {
	age := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1
		}
		return max(min(now.Sub(t), h.rules.Guard+1), -h.rules.Guard-1)
	}
	version := uint64(0)
	if h.reading.List != nil {
		version = h.reading.List.Version
	}
	b = fmt.Appendf(b, "H%v,%d,%d,%v,%v|", h.self, version, age(h.reading.ConfirmedAt), h.retired, age(h.started))
	for _, key := range h.sortedKeys() {
		r := h.records[key]
		b = fmt.Appendf(b, "%s:%s/%s/%v|", key.Key, r.State, r.Attempt, r.Asker)
	}
	for _, ep := range h.take.epochs {
		b = fmt.Appendf(b, "e%d-%d/%d/%d|", ep.List.Version, ep.Next, len(ep.List.Boxes), age(ep.at))
	}
	for _, name := range slices.Sorted(maps.Keys(h.take.heirOf)) {
		from := h.take.heirOf[name]
		b = fmt.Appendf(b, "h%s%d/%d|", name, from.version, age(from.blindSince))
	}
	for _, name := range slices.Sorted(maps.Keys(h.take.known)) {
		k := h.take.known[name]
		b = fmt.Appendf(b, "k%s%d/%v/%d/%v|", name, k.incarnation, k.replaced, age(k.metAt), k.told)
	}
	return fmt.Appendf(b, "%v/%v/%d", h.take.settled, h.take.young, age(h.take.blindSince))
}

// Clone copies an owner's hold.
func (h *Ownership) Clone() *Ownership {
	copied := *h
	return &copied
}

// Fingerprint writes what decides a hold's later answers.
func (h *Ownership) Fingerprint(b []byte, now time.Time) []byte {
	wait := max(0, h.waitUntil.Sub(now))
	untilClear := max(0, h.clearAt.Sub(now))
	age := min(now.Sub(h.reading), h.rules.Fresh+1)
	tick := min(now.Sub(h.tickedAt), h.rules.Fresh+1)
	return fmt.Appendf(b, "L%s,%v,%v,%d,%d,%d,%d,%v|", h.State, h.leaving, h.cleared, wait, untilClear, age, tick, h.wokeAt.IsZero())
}

// Clone copies a generation.
func (g *Generation) Clone() *Generation {
	copied := *g
	return &copied
}

// Fingerprint writes what decides a generation's later answers.
func (g *Generation) Fingerprint(b []byte, now time.Time) []byte {
	cut := time.Duration(-1)
	if !g.cutAt.IsZero() {
		cut = min(now.Sub(g.cutAt), g.rules.ResumeWindow+1)
	}
	return fmt.Appendf(b, "G%s,%d,%v,%d,%v,%v,%s,%s,%d,%d|",
		g.State, g.Attempt, g.Origin, g.NextOffset, g.BytesSent, g.MayHaveRun, g.Outcome, g.Code, cut, g.lastEnd)
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
	return fmt.Appendf(b, "O%v,%d,%d|", o.owner, min(now.Sub(o.takenAt), limit), min(now.Sub(o.reading), limit))
}

// Clone copies a drain.
func (d *Drain) Clone() *Drain {
	copied := *d
	return &copied
}
