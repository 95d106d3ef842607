package core

import (
	"cmp"
	"slices"
	"time"
)

// Sample gives what to tell another box: what changed, those told least often
// first, and then all members in turn, so that word of each comes round.
func (r *Roster) Sample(now time.Time) []Peer {
	if len(r.names) <= r.rules.Sample {
		return r.All(now)
	}
	chosen := r.nextChanged()
	for count := min(max(len(chosen)+r.rules.MinRotated, r.rules.Sample), len(r.names)); len(chosen) < count; {
		r.nextIndex = (r.nextIndex + 1) % len(r.names)
		e := r.members[r.names[r.nextIndex]]
		if !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	out := make([]Peer, 0, len(chosen))
	for _, e := range chosen {
		out = append(out, e.snapshot(now))
	}
	return out
}

// nextChanged gives the members of which news are to be told, and counts them as
// told.
func (r *Roster) nextChanged() []*rosterEntry {
	var all []*rosterEntry
	for _, box := range r.names {
		if e := r.members[box]; e.timesSent < r.rules.ChangeSends {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b *rosterEntry) int { return cmp.Compare(a.timesSent, b.timesSent) })
	all = all[:min(len(all), r.rules.MaxChanged)]
	for _, e := range all {
		e.timesSent++
	}
	return all
}
