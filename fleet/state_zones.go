package fleet

import (
	"maps"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// updateZones applies zone states that are newer than the current ones. Updates may arrive in any
// order, repeatedly or late; the store's revision of the zone's last change decides.
func (s *State) updateZones(now time.Time, from string, all []routing.ZoneDrain) {
	for _, z := range all {
		old, known := s.zones[z.Zone]
		if known && z.Revision <= old.Revision {
			continue
		}
		delete(s.missingZones, z.Zone)
		s.zones[z.Zone] = z
		if z.Drained != old.Drained {
			s.refreshZone(now, z)
			s.recordZoneChange(from, z)
		}
	}
}

// replaceDrainedZones applies the store's complete list of drained zones at a revision, and ends
// the drain of all others.
func (s *State) replaceDrainedZones(now time.Time, revision routing.Revision, drained []routing.ZoneDrain) {
	s.updateZones(now, sourceStore, drained)
	for _, z := range drained {
		s.changed = max(s.changed, z.Revision)
	}
	listed := func(zone string) bool {
		return slices.ContainsFunc(drained, func(z routing.ZoneDrain) bool { return z.Zone == zone })
	}
	for _, z := range s.zoneStates() {
		if !z.Drained || z.Revision >= revision || listed(z.Zone) {
			continue
		}
		if z.Revision.Era() < revision.Era() && s.storeGrace(now) > 0 {
			s.markZoneMissing(now, z.Zone, revision)
			continue
		}
		s.updateZones(now, sourceStore, []routing.ZoneDrain{{
			Zone:     z.Zone,
			Revision: revision,
		}})
		s.changed = max(s.changed, revision)
	}
}

// undrainedColdTime is how long endpoints count as cold after their zone's drain ended. They may
// have become cold meanwhile, and their entries show it only after a heartbeat of 1.2 s and
// a list delay of 0.8 s.
const undrainedColdTime = 2500 * time.Millisecond

// refreshZone marks all endpoints of a zone as modified, so that the next view re-evaluates them.
func (s *State) refreshZone(now time.Time, z routing.ZoneDrain) {
	for name, e := range s.entries {
		if e.Zone != z.Zone {
			continue
		}
		s.modified[e.ID] = name
		if !z.Drained && e.ColdUntil.Before(now.Add(undrainedColdTime)) {
			e.ColdUntil = now.Add(undrainedColdTime)
		}
	}
}

func (s *State) recordZoneChange(from string, z routing.ZoneDrain) {
	kind := ZoneDrainEnded
	if z.Drained {
		kind = ZoneDrained
	}
	s.pendingChanges = append(s.pendingChanges, Change{
		Kind:     kind,
		Zone:     z.Zone,
		Revision: z.Revision,
		Source:   from,
	})
}

// zoneStates returns the known zone states, sorted by zone.
func (s *State) zoneStates() []routing.ZoneDrain {
	var all []routing.ZoneDrain
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		all = append(all, s.zones[zone])
	}
	return all
}
