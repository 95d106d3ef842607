package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// removedMemory is how many removals a box remembers for partial lists; a fleet
// of thousands of servers replaces some hundreds at once.
const removedMemory = 4096

// Since gives what changed after a revision, or tells that the whole list is
// needed.
func (b *Belief) Since(changed uint64) (updated []routing.Endpoint, removed []Removal, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if changed == 0 || changed < b.forgotten || changed < b.since {
		return nil, nil, false
	}
	for _, e := range b.entries {
		if e.Revision > changed {
			updated = append(updated, e.Endpoint)
		}
	}
	for _, r := range b.removed {
		if r.Revision > changed {
			removed = append(removed, r)
		}
	}
	return updated, removed, true
}

func (b *Belief) update(now time.Time, from string, e routing.Endpoint) {
	old := b.entries[e.ID]
	if old != nil && old.Revision > e.Revision {
		return
	}
	if _, left := b.left[e.ID]; left {
		e.Leaving = true
	}
	if e.Leaving {
		b.left[e.ID] = now
	}
	b.entries[e.ID] = &entry{Endpoint: e}
	b.touched[e.ID] = true
	switch {
	case old == nil && !b.listed:
		// One line for the first list, and not thousands.
	case old == nil:
		b.tell(EndpointJoined, from, e)
	case e.Leaving && !old.Leaving:
		b.tell(EndpointLeaving, from, e)
	}
}

// Leaves takes an endpoint's own word, by way of who told it, that it is on its
// way out; true says that this was news.
func (b *Belief) Leaves(now time.Time, from, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[id]
	if e == nil || e.Leaving {
		return false
	}
	e.Leaving = true
	b.left[id] = now
	b.touched[id] = true
	b.tell(EndpointLeaving, from, e.Endpoint)
	b.publish()
	return true
}

// remove takes an entry that went. One that went with the store away has its
// time to come back; any other is leaving for good.
func (b *Belief) remove(now time.Time, from, id string, e *entry, revision uint64) {
	if e.missing {
		return
	}
	outage := from == fromStore && (b.away || (!b.backAt.IsZero() && now.Sub(b.backAt) < returnGrace))
	if outage && !e.Leaving {
		e.missing = true
		b.tell(EndpointMissing, from, e.Endpoint)
		return
	}
	b.left[id] = now
	b.drop(from, id, e, revision)
}

func (b *Belief) drop(from, id string, e *entry, revision uint64) {
	delete(b.entries, id)
	b.touched[id] = true
	b.removed = append(b.removed, Removal{
		ID:       id,
		Revision: revision,
	})
	if len(b.removed) > removedMemory {
		b.forgotten = b.removed[0].Revision
		b.removed = b.removed[1:]
	}
	b.tell(EndpointGone, from, e.Endpoint)
}

func (b *Belief) tell(kind ChangeKind, from string, e routing.Endpoint) {
	b.untold = append(b.untold, Change{
		Kind:     kind,
		Endpoint: e,
		Revision: e.Revision,
		From:     from,
	})
}
