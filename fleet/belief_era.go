package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// enterEra takes that the store has come back from an older copy, when a whole list of a
// newer era comes. What the copy lacks may be written again within the next moments:
// endpoints and drained zones stay until then. What changed since a revision of an older
// era can't be told any more, so that the list is handed on as a whole.
func (b *State) enterEra(now time.Time, from string, revision routing.Revision) {
	if revision.Era() <= b.changed.Era() {
		return
	}
	before := b.changed
	// A list without entries of this era would look older than those of the era before.
	b.changed = revision
	if !b.listed {
		return
	}
	b.backAt = now
	b.since = revision
	b.removed = nil
	b.forgotten = revision
	b.untold = append(b.untold, Change{
		Kind:             StoreRestored,
		Revision:         revision,
		PreviousRevision: before,
		Source:           from,
	})
}

// awaitReturn notes what a whole list of a peer has from an older era of the store: the
// peer awaits it, too, and nobody tells when its time is over.
func (b *State) awaitReturn(now time.Time, from string, revision routing.Revision) {
	awaits := false
	for _, e := range b.entries {
		if e.Revision.Era() < revision.Era() {
			b.miss(from, e)
			awaits = true
		}
	}
	for zone, z := range b.zones {
		if z.Drained && z.Revision.Era() < revision.Era() {
			b.lack(zone, revision)
			awaits = true
		}
	}
	if awaits && b.backAt.IsZero() {
		b.backAt = now
	}
}

// lack notes that a drained zone isn't one in the store's copy.
func (b *State) lack(zone string, revision routing.Revision) {
	b.lacking[zone] = routing.ZoneDrain{
		Zone:     zone,
		Revision: revision,
	}
}

// giveUpZones takes back the drained zones that the store's copy doesn't have as drained
// and whose drain was not written again.
func (b *State) giveUpZones(now time.Time) {
	for zone, z := range b.lacking {
		delete(b.lacking, zone)
		b.takeZones(now, fromStore, []routing.ZoneDrain{z})
		b.changed = max(b.changed, z.Revision)
	}
}
