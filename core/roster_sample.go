package core

import (
	"cmp"
	"slices"
	"time"
)

// Sample returns the records for one message to another box: all of them in a small fleet,
// else the changed ones, those sent least often first, and then others in rotation.
func (r *Roster) Sample(now time.Time) []Peer {
	if len(r.names) <= r.rules.Sample {
		return r.All(now)
	}
	chosen := r.nextChanged()
	for count := min(max(len(chosen)+r.rules.MinRotated, r.rules.Sample), len(r.names)); len(chosen) < count; {
		r.rotationIndex = (r.rotationIndex + 1) % len(r.names)
		e := r.members[r.names[r.rotationIndex]]
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

// nextChanged returns the changed members to send next, and counts them as sent.
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
