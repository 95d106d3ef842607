package fleet

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// ApplySnapshot takes all that the store published. A list that is older than
// what is believed changes nothing.
func (b *Belief) ApplySnapshot(now time.Time, s *Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(fromStore, s.Document)
	// The store gives nothing older than what anyone had from it before; what was heard
	// of while it answered is heard of again.
	b.heardOf = nil
	if !b.listed || s.Revision >= b.changed {
		b.enterEra(now, fromStore, s.Revision)
		b.takeDrained(now, s.Revision, s.Drained)
		b.takeList(now, fromStore, s.Revision, s.Endpoints)
		b.confirm = now
	}
	b.publish()
}

// ApplyViews takes what a peer believes. What it dropped is gone: the peer has
// given it its time to come back.
func (b *Belief) ApplyViews(now time.Time, from string, v Views) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(from, v.Document)
	fresh := v.Changed != 0 && (!b.listed || v.Changed > b.changed)
	whole := fresh && !v.Partial
	if whole {
		b.enterEra(now, from, v.Changed)
	}
	b.takeZones(now, from, v.Zones)
	switch {
	case !fresh:
	case v.Partial && b.listed && v.Changed.Era() == b.changed.Era():
		b.takeChanges(now, from, News{
			Updated: v.Endpoints,
			Removed: v.Removed,
		})
		b.changed = v.Changed
	case whole:
		b.takeList(now, from, v.Changed, v.Endpoints)
		b.changed = v.Changed
	}
	if whole {
		b.awaitReturn(now, from, v.Changed)
	}
	b.confirmBy(now, v.Changed, v.Age)
	b.publish()
}

// takeList replaces the list. The revision of the last change is known only
// from the entries that are there; a removal may be as new as the list itself.
func (b *Belief) takeList(now time.Time, from string, revision routing.Revision, all []routing.Endpoint) {
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
			Kind:     ListKnown,
			Count:    len(b.entries),
			Revision: b.changed,
			From:     from,
		})
	}
	b.listed = true
}

// ApplyChanges takes what the store says has changed since the last view, and
// gives the news of it for the peers, if there are any.
func (b *Belief) ApplyChanges(now time.Time, c *Changes) (News, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := News{
		After:   b.changed,
		Updated: c.Updated,
		Removed: c.Removed,
		Zones:   c.Zones,
	}
	if c.Document != nil {
		news.Version = c.Document.Version
	}
	b.takeDocument(fromStore, c.Document)
	b.takeChanges(now, fromStore, news)
	b.changed = max(b.changed, news.newest())
	b.confirm = now
	news.Changed = b.changed
	b.publish()
	return news, !news.empty()
}

// ApplyNews takes changes that a peer hands on, and tells whether they were
// new. News with a gap before them leave the view's age as it is; the next
// greeting closes the gap.
func (b *Belief) ApplyNews(now time.Time, from string, n News) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := n.Changed > b.changed
	if !fresh || !b.listed {
		return fresh
	}
	b.takeChanges(now, from, n)
	if n.After <= b.changed && n.Changed.Era() == b.changed.Era() {
		b.changed = max(b.changed, n.Changed)
		b.confirmBy(now, n.Changed, n.Age)
	}
	b.publish()
	return true
}

func (b *Belief) takeChanges(now time.Time, from string, n News) {
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
func (b *Belief) Confirm(now time.Time, changed routing.Revision, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmBy(now, changed, age)
	v := *b.view.Load()
	v.Confirmed = b.confirm
	b.view.Store(&v)
}

// confirmBy moves the time at which the list was last known to be whole, if this
// box believes no less than who says so. Who has heard of no newer era of the store can't
// tell.
func (b *Belief) confirmBy(now time.Time, changed routing.Revision, age time.Duration) {
	at := now.Add(-age)
	if age >= 0 && b.listed && b.changed >= changed && b.changed.Era() == changed.Era() && at.After(b.confirm) {
		b.confirm = at
	}
}

// ApplyDocument takes a configuration that a peer has in force.
func (b *Belief) ApplyDocument(from string, d *routing.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(from, d)
	b.publish()
}

// HeardOf notes that a version of the configuration exists; how long it then takes
// until one at least as new is in force is told with the change.
func (b *Belief) HeardOf(now time.Time, version uint64) {
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

// Awaited gives how long this box has known of a newer configuration than its own, or
// zero.
func (b *Belief) Awaited(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.heardOf) == 0 {
		return 0
	}
	return now.Sub(b.heardOf[0].at)
}

func (b *Belief) takeDocument(from string, d *routing.Document) {
	if d == nil || (b.table != nil && d.Version <= b.table.Version()) {
		return
	}
	b.table = routing.NewTable(d)
	b.untold = append(b.untold, Change{
		Kind:      ConfigurationInForce,
		Version:   d.Version,
		Routes:    len(d.Routes),
		From:      from,
		Announced: b.announced(d.Version),
	})
}

// announced gives when anyone first told of a version or a newer one, and forgets
// those that are not newer.
func (b *Belief) announced(version uint64) time.Time {
	var at time.Time
	if i := slices.IndexFunc(b.heardOf, func(h heard) bool { return h.version >= version }); i >= 0 {
		at = b.heardOf[i].at
	}
	b.heardOf = slices.DeleteFunc(b.heardOf, func(h heard) bool { return h.version <= version })
	return at
}
