package fleet

import (
	"maps"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// updateZones takes the states of zones, each unless a newer one is believed. Word of
// them may come in any order, twice, or late from a box that was cut off: the store's
// revision of a zone's last change decides.
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

// replaceDrainedZones takes all zones that the store told to be drained at a revision: any
// other that was drained before is taken back.
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
		if z.Revision.Era() < revision.Era() && !s.gracePeriodOver(now) {
			s.markZoneMissing(z.Zone, revision)
			continue
		}
		s.updateZones(now, sourceStore, []routing.ZoneDrain{{
			Zone:     z.Zone,
			Revision: revision,
		}})
		s.changed = max(s.changed, revision)
	}
}

// undrainedColdTime is how long the endpoints of a zone that was taken back are held to be
// cold whatever their entries say: they may have turned cold meanwhile, and an entry tells
// so two seconds late, a heartbeat of 1.2 s and the list's lag of 0.8 s.
const undrainedColdTime = 2500 * time.Millisecond

// refreshZone notes that the endpoints of a zone are to be sorted anew into the view.
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

// zoneStates gives what is believed of zones, by name.
func (s *State) zoneStates() []routing.ZoneDrain {
	var all []routing.ZoneDrain
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		all = append(all, s.zones[zone])
	}
	return all
}
