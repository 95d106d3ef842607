package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// missingGracePeriod is how long endpoints and drained zones that are missing after a store
	// outage or restore may take to reappear before they are dropped. The platform allows about
	// two seconds.
	missingGracePeriod = 2 * time.Second
	// restoredCopyHold is how long an endpoint whose entry was removed stays unused if a restored
	// store lists it with an old revision. By then the entry of a server that is gone has lapsed
	// in the restored store as well.
	restoredCopyHold = 10 * time.Second
	// maxRemovals is how many removals are kept for partial lists. In a store outage the entries of
	// all servers may lapse, of which a large fleet has several thousand.
	maxRemovals = 8192
)

// endpointEntry is an endpoint's entry in the list.
type endpointEntry struct {
	routing.Endpoint
	// missingUntil is the end of the grace period of an entry that was absent from the store after
	// an outage or a restore; zero if the entry is listed.
	missingUntil time.Time
	missingSince routing.Revision // revision at which it was absent
	// heldUntil is when an entry that may be a restored copy of a removed one is used; zero if it
	// is no such entry. It counts as leaving until then.
	heldUntil time.Time
}

func (e *endpointEntry) isMissing() bool { return !e.missingUntil.IsZero() }

func (e *endpointEntry) isHeld() bool { return !e.heldUntil.IsZero() }

// published returns the endpoint as boxes send it to each other. Each box decides by itself whether
// to hold an entry that may be a restored copy.
func (e *endpointEntry) published() routing.Endpoint {
	out := e.Endpoint
	if e.isHeld() {
		out.Leaving = false
	}
	return out
}

// tombstone records the removal of an entry, so that a list from before it can't restore the entry.
// An entry with a later revision shows that the server is still there: entries also lapse while
// their server can't reach the store.
type tombstone struct {
	id       string // of the incarnation that the entry described; empty if the entry is unknown
	revision routing.Revision
	at       time.Time
}

// mayBeRestoredCopy reports whether an entry may stem from before its removal, though a restored
// store lists it: a restore keeps the revision numbers of what was written before the backup, and
// gives out the others again. What changed after this box's first list of the era is no copy.
func (s *State) mayBeRestoredCopy(e routing.Endpoint, removed tombstone) bool {
	return (removed.id == "" || removed.id == e.ID) &&
		e.Revision.Era() > removed.revision.Era() && e.Revision.Number() <= removed.revision.Number() &&
		e.Revision <= s.firstRevision
}

// removeEndpoint drops an entry that was removed from the store at a revision. An entry that went
// missing during a store outage is kept for the given grace period, unless it was leaving. It
// reports whether the entry is kept.
func (s *State) removeEndpoint(now time.Time, from string, e *endpointEntry, revision routing.Revision, grace time.Duration) bool {
	switch {
	case grace > 0 && e.isMissing():
		return true
	case grace > 0 && !e.Leaving:
		s.markMissing(now, from, e, revision, grace)
		return true
	}
	s.dropEndpoint(now, from, e, revision)
	return false
}

// markMissing starts the grace period of an entry that is absent from the list.
func (s *State) markMissing(now time.Time, from string, e *endpointEntry, revision routing.Revision, grace time.Duration) {
	if e.isMissing() {
		return
	}
	e.missingUntil = now.Add(min(grace, missingGracePeriod))
	e.missingSince = revision
	s.recordRemoval(e.Name(), revision)
	s.recordChange(EndpointMissing, from, e.Endpoint)
}

func (s *State) dropEndpoint(now time.Time, from string, e *endpointEntry, revision routing.Revision) {
	name := e.Name()
	delete(s.entries, name)
	s.modified[e.ID] = name
	s.tombstones[name] = tombstone{
		id:       e.ID,
		revision: revision,
		at:       now,
	}
	if !e.isMissing() || e.missingSince != revision {
		s.recordRemoval(name, revision)
	}
	s.recordChange(EndpointRemoved, from, e.Endpoint)
}

// recordUnknownRemoval records the removal of an entry that this box doesn't know, for boxes that do.
func (s *State) recordUnknownRemoval(now time.Time, r Removal) {
	if known, ok := s.tombstones[r.Name]; ok && known.revision >= r.Revision {
		return
	}
	s.tombstones[r.Name] = tombstone{
		revision: r.Revision,
		at:       now,
	}
	s.recordRemoval(r.Name, r.Revision)
}

// recordRemoval records a removal or lapse for partial lists.
func (s *State) recordRemoval(name string, revision routing.Revision) {
	s.removals = append(s.removals, Removal{
		Name:     name,
		Revision: revision,
	})
	if len(s.removals) > maxRemovals {
		s.prunedRevision = max(s.prunedRevision, s.removals[0].Revision)
		s.removals = s.removals[1:]
	}
}

// beginGracePeriod starts the grace period after a store outage or restore, also for entries that
// were missing before.
func (s *State) beginGracePeriod(now time.Time) {
	s.storeUpAt = now
	until := now.Add(missingGracePeriod)
	for _, e := range s.entries {
		if e.isMissing() && e.missingUntil.Before(until) {
			e.missingUntil = until
		}
	}
	for zone, z := range s.missingZones {
		if z.until.Before(until) {
			z.until = until
			s.missingZones[zone] = z
		}
	}
}

// shortenGracePeriods moves the ends of all grace periods back by the length of a suspension.
func (s *State) shortenGracePeriods(d time.Duration) {
	for _, e := range s.entries {
		if e.isMissing() {
			e.missingUntil = e.missingUntil.Add(-d)
		}
		if e.isHeld() {
			e.heldUntil = e.heldUntil.Add(-d)
		}
	}
	for zone, z := range s.missingZones {
		z.until = z.until.Add(-d)
		s.missingZones[zone] = z
	}
}

// storeGrace returns how long an entry that the store doesn't list now may still reappear. It is 0
// if the store was neither down nor restored shortly before.
func (s *State) storeGrace(now time.Time) time.Duration {
	switch {
	case s.storeDown:
		return missingGracePeriod
	case s.storeUpAt.IsZero():
		return 0
	}
	return max(0, s.storeUpAt.Add(missingGracePeriod).Sub(now))
}

// graceOver reports whether a grace period with the given end has passed. While this box can't
// reach the store, it has passed only if a peer has confirmed the list since.
func (s *State) graceOver(now, until time.Time) bool {
	return !now.Before(until) && !(s.storeDown && s.confirmedAt.Before(until))
}

// Grace returns the longest rest of a grace period of the missing entries. While this box can't reach
// the store, the periods that nobody has seen end begin anew.
func (s *State) Grace(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var grace time.Duration
	for _, e := range s.entries {
		switch {
		case !e.isMissing():
		case s.storeDown && s.confirmedAt.Before(e.missingUntil):
			return missingGracePeriod
		default:
			grace = max(grace, e.missingUntil.Sub(now))
		}
	}
	return grace
}

// DropExpired drops missing endpoints and zone drains after the grace period, and expired records of
// departures. It makes entries available that were held and are still listed.
func (s *State) DropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for name, e := range s.entries {
		switch {
		case e.isMissing() && s.graceOver(now, e.missingUntil):
			s.dropEndpoint(now, sourceOutage, e, e.missingSince)
			changed = true
		case e.isHeld() && !now.Before(e.heldUntil):
			s.endHold(name, e)
			changed = true
		}
	}
	changed = s.endMissingDrains(now) || changed
	for id, at := range s.announced {
		if now.Sub(at) > departureRetention {
			delete(s.announced, id)
		}
	}
	for name, t := range s.tombstones {
		if now.Sub(t.at) > departureRetention {
			delete(s.tombstones, name)
		}
	}
	if changed {
		s.publish()
	}
}

// endHold makes an entry available that a restored store still lists after restoredCopyHold.
func (s *State) endHold(name string, e *endpointEntry) {
	delete(s.tombstones, name)
	e.heldUntil = time.Time{}
	e.Leaving = false
	s.modified[e.ID] = name
	s.recordChange(EndpointJoined, sourceStore, e.Endpoint)
}

// List returns all endpoints as boxes send them to each other, and the lapses of those that are
// missing.
func (s *State) List() (all []routing.Endpoint, lapsed []Removal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.entries {
		all = append(all, e.published())
		if e.isMissing() {
			lapsed = append(lapsed, Removal{
				Name:     name,
				Revision: e.missingSince,
				Lapsed:   true,
			})
		}
	}
	return all, lapsed
}

// KnowsRemovalsSince reports whether the changes since a list revision contain all removals for a box
// whose list contains all changes up to a store revision. The first list of this box doesn't show what
// was removed before it.
func (s *State) KnowsRemovalsSince(completeAt routing.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return completeAt >= s.knownFrom
}

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
			updated = append(updated, e.published())
		}
	}
	for _, r := range s.removals {
		if r.Revision <= after {
			continue
		}
		e := s.entries[r.Name]
		r.Lapsed = e != nil && e.isMissing()
		removals = append(removals, r)
	}
	return updated, removals, true
}
