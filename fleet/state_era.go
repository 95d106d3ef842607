package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// enterEra handles the first complete list of a newer store era, which starts when the store is
// restored from an older backup. Endpoints and zone drains that the backup lacks are kept for
// the grace period, since they may be written again. Changes relative to a revision of an older
// era are unknown, so peers get the complete list.
func (s *State) enterEra(now time.Time, from string, revision routing.Revision) {
	if revision.Era() <= s.changed.Era() {
		return
	}
	before := s.changed
	// A list without entries of this era would otherwise look older than the previous era's.
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

// markOlderErasMissing marks everything in a peer's complete list that stems from an older store
// era as missing. The peer waits for it to reappear and doesn't announce when the grace period
// ends, so this box applies its own.
func (s *State) markOlderErasMissing(now time.Time, from string, revision routing.Revision) {
	hasMissing := false
	for _, e := range s.entries {
		if e.Revision.Era() < revision.Era() {
			s.markMissing(from, e)
			hasMissing = true
		}
	}
	for zone, z := range s.zones {
		if z.Drained && z.Revision.Era() < revision.Era() {
			s.markZoneMissing(zone, revision)
			hasMissing = true
		}
	}
	if hasMissing && s.storeUpAt.IsZero() {
		s.storeUpAt = now
	}
}

// markZoneMissing records that a drained zone is not drained in the restored store.
func (s *State) markZoneMissing(zone string, revision routing.Revision) {
	s.missingZones[zone] = routing.ZoneDrain{
		Zone:     zone,
		Revision: revision,
	}
}

// endMissingDrains ends the drains that the restored store lacks and that were not written again.
func (s *State) endMissingDrains(now time.Time) {
	for zone, z := range s.missingZones {
		delete(s.missingZones, zone)
		s.updateZones(now, sourceStore, []routing.ZoneDrain{z})
		s.changed = max(s.changed, z.Revision)
	}
}
