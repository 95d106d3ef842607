package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// maxRemovals is how many removals a box remembers for partial lists; a fleet
// of thousands of servers replaces some hundreds at once.
const maxRemovals = 4096

// ChangesSince gives what changed after a revision, or tells that the whole list is
// needed.
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

// updateEndpoint takes an entry, unless it is older than what is believed: by the store's
// revision, or because the server has started again since.
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

// coldUntil gives until when an endpoint is cold. An entry that is read again tells nothing
// new: what is left was told when it was written.
func coldUntil(now time.Time, old *endpointEntry, e routing.Endpoint) time.Time {
	known := old != nil && old.ID == e.ID
	if known && old.Revision.Number() == e.Revision.Number() && old.Cold == e.Cold {
		return old.ColdUntil // it may be read again in a later era of the store
	}
	var until time.Time
	if e.Cold > 0 {
		until = now.Add(e.Cold)
	}
	if known && old.ColdUntil.After(until) {
		return old.ColdUntil
	}
	return until
}

func (s *State) recordEndpointChange(from string, old *endpointEntry, e routing.Endpoint) {
	known := old != nil && old.Usable()
	switch {
	case !known && !s.hasList:
		// One line for the first list, and not thousands.
	case !known && e.Usable():
		s.recordChange(EndpointJoined, from, e)
	case !known:
		// The source logs an entry that can't be used.
	case !e.Usable():
		s.recordChange(EndpointUnusable, from, old.Endpoint)
	case old.ID != e.ID:
		s.recordChange(EndpointRestarted, from, old.Endpoint)
		s.recordChange(EndpointJoined, from, e)
	case e.Leaving && !old.Leaving:
		s.recordChange(EndpointLeaving, from, e)
	}
}

// MarkRestarted takes a server's own word, by way of who told it, that it has started
// again since its entry was written. The former incarnation and all that was known of
// it are gone; the new one is at the same place until the store says otherwise.
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

// MarkLeaving takes an endpoint's own word, by way of who told it, that it is on its
// way out; true says that this was news.
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

// removeEndpoint takes an entry that went. One that went with the store away has its
// time to come back; any other is leaving for good.
func (s *State) removeEndpoint(now time.Time, from string, e *endpointEntry, revision routing.Revision) {
	if e.missing {
		return
	}
	outage := from == sourceStore && (s.storeDown || (!s.storeUpAt.IsZero() && now.Sub(s.storeUpAt) < missingGracePeriod))
	if outage && !e.Leaving {
		s.markMissing(from, e)
		return
	}
	s.leaving[e.ID] = now
	s.dropEndpoint(from, e, revision)
}

// markMissing notes that an entry isn't there, and may come back.
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
