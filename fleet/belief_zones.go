package fleet

import (
	"maps"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// takeZones takes the states of zones, each unless a newer one is believed. Word of
// them may come in any order, twice, or late from a box that was cut off: the store's
// revision of a zone's last change decides.
func (b *State) takeZones(now time.Time, from string, all []routing.ZoneDrain) {
	for _, z := range all {
		old, known := b.zones[z.Zone]
		if known && z.Revision <= old.Revision {
			continue
		}
		delete(b.lacking, z.Zone)
		b.zones[z.Zone] = z
		if z.Drained != old.Drained {
			b.resort(now, z)
			b.tellZone(from, z)
		}
	}
}

// takeDrained takes all zones that the store told to be drained at a revision: any
// other that was drained before is taken back.
func (b *State) takeDrained(now time.Time, revision routing.Revision, drained []routing.ZoneDrain) {
	b.takeZones(now, fromStore, drained)
	for _, z := range drained {
		b.changed = max(b.changed, z.Revision)
	}
	listed := func(zone string) bool {
		return slices.ContainsFunc(drained, func(z routing.ZoneDrain) bool { return z.Zone == zone })
	}
	for _, z := range b.zoneStates() {
		if !z.Drained || z.Revision >= revision || listed(z.Zone) {
			continue
		}
		if z.Revision.Era() < revision.Era() && !b.returned(now) {
			b.lack(z.Zone, revision)
			continue
		}
		b.takeZones(now, fromStore, []routing.ZoneDrain{{
			Zone:     z.Zone,
			Revision: revision,
		}})
		b.changed = max(b.changed, revision)
	}
}

// takenBackCold is how long the endpoints of a zone that was taken back are held to be
// cold whatever their entries say: they may have turned cold meanwhile, and an entry tells
// so two seconds late, a heartbeat of 1.2 s and the list's lag of 0.8 s.
const takenBackCold = 2500 * time.Millisecond

// resort notes that the endpoints of a zone are to be sorted anew into the view.
func (b *State) resort(now time.Time, z routing.ZoneDrain) {
	for name, e := range b.entries {
		if e.Zone != z.Zone {
			continue
		}
		b.touched[e.ID] = name
		if !z.Drained && e.ColdUntil.Before(now.Add(takenBackCold)) {
			e.ColdUntil = now.Add(takenBackCold)
		}
	}
}

func (b *State) tellZone(from string, z routing.ZoneDrain) {
	kind := ZoneDrainEnded
	if z.Drained {
		kind = ZoneDrained
	}
	b.untold = append(b.untold, Change{
		Kind:     kind,
		Zone:     z.Zone,
		Revision: z.Revision,
		Source:   from,
	})
}

// zoneStates gives what is believed of zones, by name.
func (b *State) zoneStates() []routing.ZoneDrain {
	var all []routing.ZoneDrain
	for _, zone := range slices.Sorted(maps.Keys(b.zones)) {
		all = append(all, b.zones[zone])
	}
	return all
}
