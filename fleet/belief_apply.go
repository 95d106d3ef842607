package fleet

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// ApplySnapshot takes all that the store published. A list that is older than
// what is believed changes nothing.
func (b *State) ApplySnapshot(now time.Time, s *Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(fromStore, s.Document)
	// The store gives nothing older than what anyone had from it before; what was heard
	// of while it answered is heard of again.
	b.heardOf = nil
	if !b.listed || s.Revision >= b.changed {
		b.enterEra(now, fromStore, s.Revision)
		b.takeDrained(now, s.Revision, s.DrainedZones)
		b.takeList(now, fromStore, s.Revision, s.Endpoints)
		b.confirm = now
	}
	b.publish()
}

// ApplyPeerState takes what a peer believes. What it dropped is gone: the peer has
// given it its time to come back.
func (b *State) ApplyPeerState(now time.Time, from string, v PeerState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(from, v.Document)
	fresh := v.ListRevision != 0 && (!b.listed || v.ListRevision > b.changed)
	whole := fresh && !v.Partial
	if whole {
		b.enterEra(now, from, v.ListRevision)
	}
	b.takeZones(now, from, v.Zones)
	switch {
	case !fresh:
	case v.Partial && b.listed && v.ListRevision.Era() == b.changed.Era():
		b.takeChanges(now, from, Update{
			Updated: v.Endpoints,
			Removed: v.Removed,
		})
		b.changed = v.ListRevision
	case whole:
		b.takeList(now, from, v.ListRevision, v.Endpoints)
		b.changed = v.ListRevision
	}
	if whole {
		b.awaitReturn(now, from, v.ListRevision)
	}
	b.confirmBy(now, v.ListRevision, v.Age)
	b.publish()
}

// takeList replaces the list. The revision of the last change is known only
// from the entries that are there; a removal may be as new as the list itself.
func (b *State) takeList(now time.Time, from string, revision routing.Revision, all []routing.Endpoint) {
	seen := make(map[string]bool, len(all))
	for _, e := range all {
		seen[e.Name()] = true
		b.update(now, from, e)
		b.changed = max(b.changed, e.Revision)
	}
	for name, e := range b.entries {
		if !seen[name] && e.Revision.Era() < revision.Era() && !b.returned(now) {
			b.miss(from, e)
			continue
		}
		if !seen[name] {
			b.remove(now, from, e, revision)
			b.changed = max(b.changed, revision)
		}
	}
	if !b.listed {
		b.since = b.changed
		b.untold = append(b.untold, Change{
			Kind:          EndpointListLoaded,
			EndpointCount: len(b.entries),
			Revision:      b.changed,
			Source:        from,
		})
	}
	b.listed = true
}

// ApplyChanges takes what the store says has changed since the last view, and
// gives the news of it for the peers, if there are any.
func (b *State) ApplyChanges(now time.Time, c *Changes) (Update, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := Update{
		BaseRevision: b.changed,
		Updated:      c.Updated,
		Removed:      c.Removed,
		Zones:        c.Zones,
	}
	if c.Document != nil {
		news.Version = c.Document.Version
	}
	b.takeDocument(fromStore, c.Document)
	b.takeChanges(now, fromStore, news)
	b.changed = max(b.changed, news.newest())
	b.confirm = now
	news.ListRevision = b.changed
	b.publish()
	return news, !news.empty()
}

// ApplyUpdate takes changes that a peer hands on, and tells whether they were
// new. News with a gap before them leave the view's age as it is; the next
// greeting closes the gap.
func (b *State) ApplyUpdate(now time.Time, from string, n Update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := n.ListRevision > b.changed
	if !fresh || !b.listed {
		return fresh
	}
	b.takeChanges(now, from, n)
	if n.BaseRevision <= b.changed && n.ListRevision.Era() == b.changed.Era() {
		b.changed = max(b.changed, n.ListRevision)
		b.confirmBy(now, n.ListRevision, n.Age)
	}
	b.publish()
	return true
}

func (b *State) takeChanges(now time.Time, from string, n Update) {
	b.takeZones(now, from, n.Zones)
	for _, e := range n.Updated {
		b.update(now, from, e)
	}
	for _, r := range n.Removed {
		if e := b.entries[r.Name]; e != nil && e.Revision < r.Revision {
			b.remove(now, from, e, r.Revision)
		}
	}
}

// Confirm takes a peer's word that it knew of no later change than a revision,
// some time ago.
func (b *State) Confirm(now time.Time, changed routing.Revision, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmBy(now, changed, age)
	v := *b.view.Load()
	v.ConfirmedAt = b.confirm
	b.view.Store(&v)
}

// confirmBy moves the time at which the list was last known to be whole, if this
// box believes no less than who says so. Who has heard of no newer era of the store can't
// tell.
func (b *State) confirmBy(now time.Time, changed routing.Revision, age time.Duration) {
	at := now.Add(-age)
	if age >= 0 && b.listed && b.changed >= changed && b.changed.Era() == changed.Era() && at.After(b.confirm) {
		b.confirm = at
	}
}

// ApplyDocument takes a configuration that a peer has in force.
func (b *State) ApplyDocument(from string, d *routing.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(from, d)
	b.publish()
}

// NoteConfigVersion notes that a version of the configuration exists; how long it then takes
// until one at least as new is in force is told with the change.
func (b *State) NoteConfigVersion(now time.Time, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version == 0 || (b.table != nil && version <= b.table.Version()) {
		return
	}
	if n := len(b.heardOf); n > 0 && version <= b.heardOf[n-1].version {
		return
	}
	b.heardOf = append(b.heardOf, heard{
		version: version,
		at:      now,
	})
}

// ConfigLag gives how long this box has known of a newer configuration than its own, or
// zero.
func (b *State) ConfigLag(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.heardOf) == 0 {
		return 0
	}
	return now.Sub(b.heardOf[0].at)
}

func (b *State) takeDocument(from string, d *routing.Document) {
	if d == nil || (b.table != nil && d.Version <= b.table.Version()) {
		return
	}
	b.table = routing.NewTable(d)
	b.untold = append(b.untold, Change{
		Kind:        ConfigurationActivated,
		Version:     d.Version,
		Routes:      len(d.Routes),
		Source:      from,
		AnnouncedAt: b.announced(d.Version),
	})
}

// announced gives when anyone first told of a version or a newer one, and forgets
// those that are not newer.
func (b *State) announced(version uint64) time.Time {
	var at time.Time
	if i := slices.IndexFunc(b.heardOf, func(h heard) bool { return h.version >= version }); i >= 0 {
		at = b.heardOf[i].at
	}
	b.heardOf = slices.DeleteFunc(b.heardOf, func(h heard) bool { return h.version <= version })
	return at
}
