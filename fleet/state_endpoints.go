package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// updateEndpoint replaces an entry, unless the new one is older than the current one or than its
// removal, or belongs to an earlier start of the server.
func (s *State) updateEndpoint(now time.Time, from string, e routing.Endpoint) {
	name := e.Name()
	old := s.entries[name]
	if old != nil && (old.Revision > e.Revision || (old.isMissing() && old.missingSince >= e.Revision) || (e.Usable() && e.Started < old.Started)) {
		return
	}
	removed, wasRemoved := s.tombstones[name]
	if wasRemoved && removed.revision >= e.Revision {
		return
	}
	if e.Leaving {
		s.announced[e.ID] = now
	}
	_, hasAnnounced := s.announced[e.ID]
	e.Leaving = hasAnnounced
	entry := &endpointEntry{}
	switch {
	case wasRemoved && !hasAnnounced && s.mayBeRestoredCopy(e, removed):
		entry.heldUntil = now.Add(restoredCopyHold)
		if old != nil && old.isHeld() {
			entry.heldUntil = old.heldUntil
		}
		e.Leaving = true
	case wasRemoved:
		delete(s.tombstones, name)
	}
	e.ColdUntil = coldUntil(now, old, e)
	entry.Endpoint = e
	s.entries[name] = entry
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
	if known && old.isMissing() && old.ID == e.ID && e.Usable() {
		s.recordChange(EndpointListedAgain, from, e)
	}
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
	s.entries[name] = &endpointEntry{
		Endpoint:     e,
		missingUntil: old.missingUntil,
		missingSince: old.missingSince,
	}
	s.modified[e.ID] = name
	s.modified[old.ID] = name
	s.recordEndpointChange(from, old, e)
	s.publish()
}

// MarkLeaving marks an endpoint as leaving after it announced so itself, which is final for this
// incarnation. It reports whether the endpoint is known and was not marked yet.
func (s *State) MarkLeaving(now time.Time, from, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.view.Load().Endpoint(id)
	if !ok {
		return false
	}
	e := s.entries[known.Name()]
	if e == nil || e.ID != id || (e.Leaving && !e.isHeld()) {
		return false
	}
	e.Leaving = true
	e.heldUntil = time.Time{}
	s.announced[id] = now
	s.modified[id] = known.Name()
	s.recordChange(EndpointLeaving, from, e.Endpoint)
	s.publish()
	return true
}

// HasAnnounced reports whether an endpoint announced that it leaves.
func (s *State) HasAnnounced(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, announced := s.announced[id]
	return announced
}

func (s *State) recordChange(kind ChangeKind, from string, e routing.Endpoint) {
	s.pendingChanges = append(s.pendingChanges, Change{
		Kind:     kind,
		Endpoint: e,
		Revision: e.Revision,
		Source:   from,
	})
}
