package core

import (
	"cmp"
	"slices"
	"time"
)

// Sample gives what to tell another box: what changed, those told least often
// first, and then all members in turn, so that word of each comes round.
func (r *Roster) Sample(now time.Time) []Peer {
	if len(r.order) <= r.rules.Sample {
		return r.All(now)
	}
	chosen := r.changed()
	for enough := min(max(len(chosen)+r.rules.MinRotated, r.rules.Sample), len(r.order)); len(chosen) < enough; {
		r.next = (r.next + 1) % len(r.order)
		e := r.members[r.order[r.next]]
		if !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	out := make([]Peer, 0, len(chosen))
	for _, e := range chosen {
		out = append(out, e.as(now))
	}
	return out
}

// changed gives the members of which news are to be told, and counts them as
// told.
func (r *Roster) changed() []*rosterEntry {
	var all []*rosterEntry
	for _, box := range r.order {
		if e := r.members[box]; e.told < r.rules.ChangeSends {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b *rosterEntry) int { return cmp.Compare(a.told, b.told) })
	all = all[:min(len(all), r.rules.MaxChanged)]
	for _, e := range all {
		e.told++
	}
	return all
}
