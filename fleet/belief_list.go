package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// removedMemory is how many removals a box remembers for partial lists; a fleet
// of thousands of servers replaces some hundreds at once.
const removedMemory = 4096

// ChangesSince gives what changed after a revision, or tells that the whole list is
// needed.
func (b *State) ChangesSince(changed routing.Revision) (updated []routing.Endpoint, removed []Removal, ok bool) {
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

// update takes an entry, unless it is older than what is believed: by the store's
// revision, or because the server has started again since.
func (b *State) update(now time.Time, from string, e routing.Endpoint) {
	name := e.Name()
	old := b.entries[name]
	if old != nil && (old.Revision > e.Revision || (e.Usable() && e.Started < old.Started)) {
		return
	}
	if _, left := b.left[e.ID]; left {
		e.Leaving = true
	}
	if e.Leaving {
		b.left[e.ID] = now
	}
	e.ColdUntil = coldUntil(now, old, e)
	b.entries[name] = &entry{Endpoint: e}
	b.touched[e.ID] = name
	if old != nil && old.ID != e.ID {
		b.touched[old.ID] = name
	}
	b.tellUpdate(from, old, e)
}

// coldUntil gives until when an endpoint is cold. An entry that is read again tells nothing
// new: what is left was told when it was written.
func coldUntil(now time.Time, old *entry, e routing.Endpoint) time.Time {
	known := old != nil && old.ID == e.ID
	if known && old.Revision.Number() == e.Revision.Number() && old.ColdFor == e.ColdFor {
		return old.ColdUntil // it may be read again in a later era of the store
	}
	var until time.Time
	if e.ColdFor > 0 {
		until = now.Add(e.ColdFor)
	}
	if known && old.ColdUntil.After(until) {
		return old.ColdUntil
	}
	return until
}

func (b *State) tellUpdate(from string, old *entry, e routing.Endpoint) {
	known := old != nil && old.Usable()
	switch {
	case !known && !b.listed:
		// One line for the first list, and not thousands.
	case !known && e.Usable():
		b.tell(EndpointJoined, from, e)
	case !known:
		// The source logs an entry that can't be used.
	case !e.Usable():
		b.tell(EndpointUnusable, from, old.Endpoint)
	case old.ID != e.ID:
		b.tell(EndpointRestarted, from, old.Endpoint)
		b.tell(EndpointJoined, from, e)
	case e.Leaving && !old.Leaving:
		b.tell(EndpointLeaving, from, e)
	}
}

// MarkRestarted takes a server's own word, by way of who told it, that it has started
// again since its entry was written. The former incarnation and all that was known of
// it are gone; the new one is at the same place until the store says otherwise.
func (b *State) MarkRestarted(from string, former routing.Endpoint, started int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	name := former.Name()
	old := b.entries[name]
	if old == nil || old.ID != former.ID || started <= old.Started {
		return
	}
	e := old.Endpoint
	e.ID = routing.IncarnationID(name, started)
	e.Started = started
	e.Leaving = false
	b.entries[name] = &entry{Endpoint: e}
	b.touched[e.ID] = name
	b.touched[old.ID] = name
	b.tellUpdate(from, old, e)
	b.publish()
}

// MarkLeaving takes an endpoint's own word, by way of who told it, that it is on its
// way out; true says that this was news.
func (b *State) MarkLeaving(now time.Time, from, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.view.Load().Endpoint(id)
	if !ok {
		return false
	}
	e := b.entries[known.Name()]
	if e == nil || e.ID != id || e.Leaving {
		return false
	}
	e.Leaving = true
	b.left[id] = now
	b.touched[id] = known.Name()
	b.tell(EndpointLeaving, from, e.Endpoint)
	b.publish()
	return true
}

// remove takes an entry that went. One that went with the store away has its
// time to come back; any other is leaving for good.
func (b *State) remove(now time.Time, from string, e *entry, revision routing.Revision) {
	if e.missing {
		return
	}
	outage := from == fromStore && (b.away || (!b.backAt.IsZero() && now.Sub(b.backAt) < returnGrace))
	if outage && !e.Leaving {
		b.miss(from, e)
		return
	}
	b.left[e.ID] = now
	b.drop(from, e, revision)
}

// miss notes that an entry isn't there, and may come back.
func (b *State) miss(from string, e *entry) {
	if e.missing {
		return
	}
	e.missing = true
	b.tell(EndpointMissing, from, e.Endpoint)
}

func (b *State) drop(from string, e *entry, revision routing.Revision) {
	name := e.Name()
	delete(b.entries, name)
	b.touched[e.ID] = name
	b.removed = append(b.removed, Removal{
		Name:     name,
		Revision: revision,
	})
	if len(b.removed) > removedMemory {
		b.forgotten = b.removed[0].Revision
		b.removed = b.removed[1:]
	}
	b.tell(EndpointRemoved, from, e.Endpoint)
}

func (b *State) tell(kind ChangeKind, from string, e routing.Endpoint) {
	b.untold = append(b.untold, Change{
		Kind:     kind,
		Endpoint: e,
		Revision: e.Revision,
		Source:   from,
	})
}
