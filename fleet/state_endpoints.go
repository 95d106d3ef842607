package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// maxRemovals is how many removals are kept for partial lists. A fleet of thousands of servers
// may replace several hundred at once.
const maxRemovals = 4096

// ChangesSince returns the changes after a revision. It returns false if they are not known
// completely and the whole list is needed.
func (s *State) ChangesSince(after routing.Revision) (updated []routing.Endpoint, removals []Removal, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == 0 || after < s.prunedRevision || after < s.firstRevision {
		return nil, nil, false
	}
	for _, e := range s.entries {
		if e.Revision > after {
			updated = append(updated, e.Endpoint)
		}
	}
	for _, r := range s.removals {
		if r.Revision > after {
			removals = append(removals, r)
		}
	}
	return updated, removals, true
}

// updateEndpoint replaces an entry, unless the new one has an older revision or belongs to an
// earlier start of the server.
func (s *State) updateEndpoint(now time.Time, from string, e routing.Endpoint) {
	name := e.Name()
	old := s.entries[name]
	if old != nil && (old.Revision > e.Revision || (e.Usable() && e.Started < old.Started)) {
		return
	}
	if _, leaving := s.leaving[e.ID]; leaving {
		e.Leaving = true
	}
	if e.Leaving {
		s.leaving[e.ID] = now
	}
	e.ColdUntil = coldUntil(now, old, e)
	s.entries[name] = &endpointEntry{Endpoint: e}
	s.modified[e.ID] = name
	if old != nil && old.ID != e.ID {
		s.modified[old.ID] = name
	}
	s.recordEndpointChange(from, old, e)
}

// coldUntil returns when an endpoint's cold phase ends. The remaining time in an entry counts
// from when the entry was written, so reading the same entry again doesn't extend the phase.
func coldUntil(now time.Time, old *endpointEntry, e routing.Endpoint) time.Time {
	known := old != nil && old.ID == e.ID
	if known && old.Revision.Number() == e.Revision.Number() && old.ColdFor == e.ColdFor {
		return old.ColdUntil // the same entry, possibly read in a later store era
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

// recordEndpointChange records how an entry changed, to be reported after the next view.
func (s *State) recordEndpointChange(from string, old *endpointEntry, e routing.Endpoint) {
	known := old != nil && old.Usable()
	switch {
	case !known && !s.hasList:
		// The first list is logged as a whole.
	case !known && e.Usable():
		s.recordChange(EndpointJoined, from, e)
	case !known:
		// The store's client logs unusable entries.
	case !e.Usable():
		s.recordChange(EndpointUnusable, from, old.Endpoint)
	case old.ID != e.ID:
		s.recordChange(EndpointRestarted, from, old.Endpoint)
		s.recordChange(EndpointJoined, from, e)
	case e.Leaving && !old.Leaving:
		s.recordChange(EndpointLeaving, from, e)
	}
}

// MarkRestarted replaces an endpoint by a new incarnation after the server reported a later
// start than its store entry. The new incarnation keeps the entry's address until the store
// has a newer entry.
func (s *State) MarkRestarted(from string, former routing.Endpoint, started int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := former.Name()
	old := s.entries[name]
	if old == nil || old.ID != former.ID || started <= old.Started {
		return
	}
	e := old.Endpoint
	e.ID = routing.IncarnationID(name, started)
	e.Started = started
	e.Leaving = false
	s.entries[name] = &endpointEntry{Endpoint: e}
	s.modified[e.ID] = name
	s.modified[old.ID] = name
	s.recordEndpointChange(from, old, e)
	s.publish()
}

// MarkLeaving marks an endpoint as leaving after it announced so itself. It reports whether the
// endpoint is known and was not marked yet.
func (s *State) MarkLeaving(now time.Time, from, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.view.Load().Endpoint(id)
	if !ok {
		return false
	}
	e := s.entries[known.Name()]
	if e == nil || e.ID != id || e.Leaving {
		return false
	}
	e.Leaving = true
	s.leaving[id] = now
	s.modified[id] = known.Name()
	s.recordChange(EndpointLeaving, from, e.Endpoint)
	s.publish()
	return true
}

// removeEndpoint drops an entry that was removed from the store. An entry that went missing
// during a store outage is kept for the grace period, unless it was leaving.
func (s *State) removeEndpoint(now time.Time, from string, e *endpointEntry, revision routing.Revision) {
	if e.missing {
		return
	}
	afterOutage := from == sourceStore && (s.storeDown || (!s.storeUpAt.IsZero() && now.Sub(s.storeUpAt) < missingGracePeriod))
	if afterOutage && !e.Leaving {
		s.markMissing(from, e)
		return
	}
	s.leaving[e.ID] = now
	s.dropEndpoint(from, e, revision)
}

// markMissing starts the grace period of an entry that is absent from the list.
func (s *State) markMissing(from string, e *endpointEntry) {
	if e.missing {
		return
	}
	e.missing = true
	s.recordChange(EndpointMissing, from, e.Endpoint)
}

func (s *State) dropEndpoint(from string, e *endpointEntry, revision routing.Revision) {
	name := e.Name()
	delete(s.entries, name)
	s.modified[e.ID] = name
	s.removals = append(s.removals, Removal{
		Name:     name,
		Revision: revision,
	})
	if len(s.removals) > maxRemovals {
		s.prunedRevision = s.removals[0].Revision
		s.removals = s.removals[1:]
	}
	s.recordChange(EndpointRemoved, from, e.Endpoint)
}

func (s *State) recordChange(kind ChangeKind, from string, e routing.Endpoint) {
	s.pendingChanges = append(s.pendingChanges, Change{
		Kind:     kind,
		Endpoint: e,
		Revision: e.Revision,
		Source:   from,
	})
}
