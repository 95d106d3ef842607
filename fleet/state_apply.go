package fleet

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// ApplySnapshot replaces the state by a full read of the store. A list that is older than the
// current one is ignored.
func (s *State) ApplySnapshot(now time.Time, snapshot *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setDocument(sourceStore, snapshot.Document)
	// A full read is at least as new as every version announced so far.
	s.announcements = nil
	if !s.hasList || snapshot.Revision >= s.changed {
		s.enterEra(now, sourceStore, snapshot.Revision)
		s.replaceDrainedZones(now, snapshot.Revision, snapshot.DrainedZones)
		s.replaceList(now, sourceStore, snapshot.Revision, snapshot.Endpoints)
		s.completeAt = max(s.completeAt, s.changed, snapshot.Revision)
		s.confirmedAt = now
	}
	s.publish()
}

// ApplyPeerState merges newer state fetched from a peer. Endpoints missing from a complete list
// of the same store era are dropped at once, since the peer lists those that lapsed while the store
// was down until their grace period is over.
func (s *State) ApplyPeerState(now time.Time, from string, newer PeerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setDocument(from, newer.Document)
	isNewer := newer.ListRevision != 0 && (!s.hasList || newer.ListRevision > s.changed)
	isComplete := isNewer && !newer.Partial
	isFirst := !s.hasList
	if isComplete {
		s.enterEra(now, from, newer.ListRevision)
	}
	s.updateZones(now, from, newer.Zones)
	switch {
	case !isNewer:
	case newer.Partial && s.hasList && newer.ListRevision.Era() == s.changed.Era():
		s.updateEntries(now, from, Update{
			Updated: newer.Endpoints,
			Removed: newer.Removed,
			Grace:   newer.Grace,
		})
		s.changed = newer.ListRevision
		s.completeAt = max(s.completeAt, newer.ListRevision, newer.CompleteAt)
	case isComplete:
		s.replaceList(now, from, newer.ListRevision, newer.Endpoints)
		s.applyRemovals(now, from, newer.Removed, newer.Grace)
		if isFirst {
			s.firstRevision = newer.ListRevision
			s.knownFrom = max(newer.ListRevision, newer.CompleteAt)
		}
		s.changed = newer.ListRevision
		s.completeAt = max(s.completeAt, newer.ListRevision, newer.CompleteAt)
	}
	if isComplete {
		s.markOlderErasMissing(now, from, newer.ListRevision)
	}
	s.advanceConfirmed(now, newer.ListRevision, newer.Age)
	s.publish()
}

// replaceList replaces the endpoint list. The list's own revision may be newer than its last
// change, so changed is advanced to it only if an entry was removed.
func (s *State) replaceList(now time.Time, from string, revision routing.Revision, all []routing.Endpoint) {
	seen := make(map[string]bool, len(all))
	for _, e := range all {
		seen[e.Name()] = true
		s.updateEndpoint(now, from, e)
		s.changed = max(s.changed, e.Revision)
	}
	for name, e := range s.entries {
		if seen[name] {
			continue
		}
		if grace := s.storeGrace(now); grace > 0 && e.Revision.Era() < revision.Era() {
			s.markMissing(now, from, e, revision, grace)
			continue
		}
		s.removeEndpoint(now, from, e, revision, s.graceOf(now, from))
		s.changed = max(s.changed, revision)
	}
	if !s.hasList {
		s.firstRevision = s.changed
		s.knownFrom = max(s.changed, revision)
		s.pendingChanges = append(s.pendingChanges, Change{
			Kind:          EndpointListLoaded,
			EndpointCount: len(s.entries),
			Revision:      s.changed,
			Source:        from,
		})
	}
	s.hasList = true
}

// graceOf returns how long entries that are absent from a source's list may still reappear there.
func (s *State) graceOf(now time.Time, from string) time.Duration {
	if from != sourceStore {
		return 0
	}
	return s.storeGrace(now)
}

// ApplyChanges merges changes from the store. It returns the update to send to peers, and false
// if there is nothing to send.
func (s *State) ApplyChanges(now time.Time, c *Changes) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := Update{
		BaseRevision: s.changed,
		Updated:      c.Updated,
		Removed:      slices.Clone(c.Removed),
		Zones:        c.Zones,
		Grace:        s.storeGrace(now),
		KnownFrom:    s.knownFrom,
	}
	for i := range update.Removed {
		update.Removed[i].Lapsed = update.Grace > 0
	}
	if c.Document != nil {
		update.Version = c.Document.Version
	}
	s.setDocument(sourceStore, c.Document)
	s.updateEntries(now, sourceStore, update)
	s.changed = max(s.changed, update.newestRevision())
	s.completeAt = max(s.completeAt, s.changed, c.Revision)
	s.confirmedAt = now
	update.ListRevision = s.changed
	s.publish()
	return update, !update.isEmpty()
}

// ApplyUpdate merges an update from a peer and reports whether it was newer than the list. If
// updates before it were missed, the list's revision and age stay as they are, and the missing
// changes are fetched after the next gossip exchange.
func (s *State) ApplyUpdate(now time.Time, from string, u Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNewer := u.ListRevision > s.changed
	if !isNewer {
		s.dropConfirmedRemovals(now, from, u.Removed)
	}
	if !isNewer || !s.hasList {
		return isNewer
	}
	s.updateEntries(now, from, u)
	if u.BaseRevision <= s.changed && u.KnownFrom <= s.completeAt && u.ListRevision.Era() == s.changed.Era() {
		s.changed = max(s.changed, u.ListRevision)
		s.completeAt = max(s.completeAt, s.changed)
		s.advanceConfirmed(now, u.ListRevision, u.Age)
	}
	s.publish()
	return true
}

// updateEntries applies the changes in an update from a source of changes.
func (s *State) updateEntries(now time.Time, from string, u Update) {
	s.updateZones(now, from, u.Zones)
	for _, e := range u.Updated {
		s.updateEndpoint(now, from, e)
	}
	s.applyRemovals(now, from, u.Removed, u.Grace)
}

// dropConfirmedRemovals drops missing entries whose removal another box has read from a store that it
// had reached all along, so that the server has left.
func (s *State) dropConfirmedRemovals(now time.Time, from string, removed []Removal) {
	dropped := false
	for _, r := range removed {
		if e := s.entries[r.Name]; e != nil && e.isMissing() && !r.Lapsed && e.missingSince <= r.Revision {
			s.dropEndpoint(now, from, e, r.Revision)
			dropped = true
		}
	}
	if dropped {
		s.publish()
	}
}

// applyRemovals applies removals, of which those that lapsed have the given grace period.
func (s *State) applyRemovals(now time.Time, from string, removed []Removal, grace time.Duration) {
	for _, r := range removed {
		e := s.entries[r.Name]
		switch {
		case e == nil:
			s.recordUnknownRemoval(now, r)
		case e.Revision >= r.Revision || e.missingSince > r.Revision:
		case !r.Lapsed:
			s.dropEndpoint(now, from, e, r.Revision)
		default:
			s.removeEndpoint(now, from, e, r.Revision, grace)
		}
	}
}

// Confirm records that a peer knew of no list change after the given revision, age ago.
func (s *State) Confirm(now time.Time, changed routing.Revision, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceConfirmed(now, changed, age)
	v := *s.view.Load()
	v.ConfirmedAt = s.confirmedAt
	s.view.Store(&v)
}

// advanceConfirmed updates the confirmation time if the peer that confirmed the list was not
// ahead of this box. A peer in an older store era can't confirm the list.
func (s *State) advanceConfirmed(now time.Time, changed routing.Revision, age time.Duration) {
	at := now.Add(-age)
	if age >= 0 && s.hasList && s.changed >= changed && s.changed.Era() == changed.Era() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// ApplyStoreDocument activates the configuration in the store if it is newer than the active one. It
// is at least as new as every version announced so far.
func (s *State) ApplyStoreDocument(d *routing.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setDocument(sourceStore, d)
	s.announcements = nil
	s.publish()
}

// NoteConfigVersion records that a configuration version exists, to measure how long it takes to
// become active here.
func (s *State) NoteConfigVersion(now time.Time, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 || (s.table != nil && version <= s.table.Version()) {
		return
	}
	if n := len(s.announcements); n > 0 && version <= s.announcements[n-1].version {
		return
	}
	s.announcements = append(s.announcements, versionAnnouncement{
		version: version,
		at:      now,
	})
}

// ConfigLag returns how long a newer configuration than the active one has been known to exist,
// or zero.
func (s *State) ConfigLag(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.announcements) == 0 {
		return 0
	}
	return now.Sub(s.announcements[0].at)
}

// setDocument activates a configuration if it is newer than the active one.
func (s *State) setDocument(from string, d *routing.Document) {
	if d == nil || (s.table != nil && d.Version <= s.table.Version()) {
		return
	}
	s.table = routing.NewTable(d)
	s.pendingChanges = append(s.pendingChanges, Change{
		Kind:        ConfigurationActivated,
		Version:     d.Version,
		Routes:      len(d.Routes),
		Source:      from,
		AnnouncedAt: s.takeAnnouncement(d.Version),
	})
}

// takeAnnouncement returns when this version or a newer one was first announced, and removes the
// announcements up to this version.
func (s *State) takeAnnouncement(version uint64) time.Time {
	var at time.Time
	if i := slices.IndexFunc(s.announcements, func(a versionAnnouncement) bool { return a.version >= version }); i >= 0 {
		at = s.announcements[i].at
	}
	s.announcements = slices.DeleteFunc(s.announcements, func(a versionAnnouncement) bool { return a.version <= version })
	return at
}
