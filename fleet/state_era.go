package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// enterEra takes that the store has come back from an older copy, when a whole list of a
// newer era comes. What the copy lacks may be written again within the next moments:
// endpoints and drained zones stay until then. What changed since a revision of an older
// era can't be told any more, so that the list is handed on as a whole.
func (s *State) enterEra(now time.Time, from string, revision routing.Revision) {
	if revision.Era() <= s.changed.Era() {
		return
	}
	before := s.changed
	// A list without entries of this era would look older than those of the era before.
	s.changed = revision
	if !s.hasList {
		return
	}
	s.storeUpAt = now
	s.firstRevision = revision
	s.removals = nil
	s.prunedRevision = revision
	s.pendingChanges = append(s.pendingChanges, Change{
		Kind:             StoreRestored,
		Revision:         revision,
		PreviousRevision: before,
		Source:           from,
	})
}

// markOlderErasMissing notes what a whole list of a peer has from an older era of the store: the
// peer awaits it, too, and nobody tells when its time is over.
func (s *State) markOlderErasMissing(now time.Time, from string, revision routing.Revision) {
	awaits := false
	for _, e := range s.entries {
		if e.Revision.Era() < revision.Era() {
			s.markMissing(from, e)
			awaits = true
		}
	}
	for zone, z := range s.zones {
		if z.Drained && z.Revision.Era() < revision.Era() {
			s.markZoneMissing(zone, revision)
			awaits = true
		}
	}
	if awaits && s.storeUpAt.IsZero() {
		s.storeUpAt = now
	}
}

// markZoneMissing notes that a drained zone isn't one in the store's copy.
func (s *State) markZoneMissing(zone string, revision routing.Revision) {
	s.missingZones[zone] = routing.ZoneDrain{
		Zone:     zone,
		Revision: revision,
	}
}

// endMissingDrains takes back the drained zones that the store's copy doesn't have as drained
// and whose drain was not written again.
func (s *State) endMissingDrains(now time.Time) {
	for zone, z := range s.missingZones {
		delete(s.missingZones, zone)
		s.updateZones(now, sourceStore, []routing.ZoneDrain{z})
		s.changed = max(s.changed, z.Revision)
	}
}
