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
	s.beginGracePeriod(now)
	s.firstRevision = revision
	s.knownFrom = revision
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
	for _, e := range s.entries {
		if e.Revision.Era() < revision.Era() {
			s.markMissing(now, from, e, revision, missingGracePeriod)
		}
	}
	for zone, z := range s.zones {
		if z.Drained && z.Revision.Era() < revision.Era() {
			s.markZoneMissing(now, zone, revision)
		}
	}
}

// missingZone is a drained zone that is not drained in a restored store.
type missingZone struct {
	until time.Time        // end of the grace period in which the drain may be written again
	since routing.Revision // revision at which the zone was not drained
}

// markZoneMissing starts the grace period of a drained zone that is not drained in the restored
// store.
func (s *State) markZoneMissing(now time.Time, zone string, revision routing.Revision) {
	if _, known := s.missingZones[zone]; known {
		return
	}
	s.missingZones[zone] = missingZone{
		until: now.Add(missingGracePeriod),
		since: revision,
	}
}

// endMissingDrains ends the drains that the restored store lacks and that were not written again
// within their grace periods, and reports whether there were any.
func (s *State) endMissingDrains(now time.Time) bool {
	ended := false
	for zone, z := range s.missingZones {
		if !s.graceOver(now, z.until) {
			continue
		}
		ended = true
		delete(s.missingZones, zone)
		s.updateZones(now, sourceStore, []routing.ZoneDrain{{
			Zone:     zone,
			Revision: z.since,
		}})
		s.changed = max(s.changed, z.since)
	}
	return ended
}
