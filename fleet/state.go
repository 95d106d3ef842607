package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// departureRetention is how long announcements of leaving and removals of entries are remembered,
// so that a stale list can't make the endpoint available again. It must far exceed the lag of any
// list.
const departureRetention = 10 * time.Minute

// Sources of changes, as logged.
const (
	sourceStore  = "store"
	sourcePeer   = "peer"
	sourceEngine = "engine" // the endpoint's own answer
	sourceOutage = "outage" // the end of the grace period after a store outage
)

// ChangeKind names a kind of change; it is also the text of the change's log line.
type ChangeKind string

// The kinds of changes.
const (
	ConfigurationActivated ChangeKind = "configuration in force"
	EndpointJoined         ChangeKind = "endpoint joined"
	EndpointLeaving        ChangeKind = "endpoint leaving"
	EndpointRemoved        ChangeKind = "endpoint gone"
	EndpointMissing        ChangeKind = "endpoint missing after a store outage"
	EndpointListedAgain    ChangeKind = "endpoint listed again after a store outage"
	EndpointRestarted      ChangeKind = "endpoint restarted" // reported for the previous incarnation
	StoreRestored          ChangeKind = "store restored from an older backup"
	EndpointUnusable       ChangeKind = "endpoint's store entry is no longer usable"
	EndpointListLoaded     ChangeKind = "endpoint list loaded" // first list since the start
	ZoneDrained            ChangeKind = "zone drained"
	ZoneDrainEnded         ChangeKind = "zone drain ended"
)

// Change describes one change of the state, for logs and callbacks.
type Change struct {
	Kind             ChangeKind
	Endpoint         routing.Endpoint
	Zone             string   // zone whose drain began or ended
	Version          uint64   // configuration version
	Routes           int      // number of routes in the configuration
	EndpointCount    int      // number of endpoints in the first list
	JoinedIDs        []string // for EndpointJoined: ids of all endpoints that joined together
	Revision         routing.Revision
	PreviousRevision routing.Revision // for StoreRestored: list revision before the restore
	Source           string           // "store", "engine", or the peer that sent the change

	// For a configuration: when this process first learned that this version or a
	// newer one exists; zero if it was not announced before it arrived.
	AnnouncedAt time.Time
}

// PropagationDelay returns the time between a configuration's announcement and its activation.
func (c Change) PropagationDelay(now time.Time) time.Duration {
	if c.AnnouncedAt.IsZero() {
		return 0
	}
	return now.Sub(c.AnnouncedAt)
}

// State is the box's cached copy of the configuration, the endpoint list and the zone drains.
// It merges changes from the store and from peers and publishes each result as a View.
type State struct {
	mu             sync.Mutex
	view           atomic.Pointer[View]
	onChange       func(Change)
	pendingChanges []Change                  // reported after the next view is published
	entries        map[string]*endpointEntry // by name in the store
	modified       map[string]string         // names by id, of incarnations changed since the last view
	announced      map[string]time.Time      // by id of the incarnation: when it announced that it leaves
	tombstones     map[string]tombstone      // by name in the store
	zones          map[string]routing.ZoneDrain
	missingZones   map[string]missingZone // drained zones that are not drained in a restored store
	table          *routing.Table
	changed        routing.Revision // revision of the list's last change
	hasList        bool
	confirmedAt    time.Time // when the list was last known to be complete
	storeUpAt      time.Time // when the store answered again after an outage or was restored
	storeDown      bool
	announcements  []versionAnnouncement // configuration versions newer than the active one, oldest first

	removals       []Removal        // most recent removals and lapses, for partial lists
	firstRevision  routing.Revision // list revision of the first list in this process or era
	knownFrom      routing.Revision // store revision of that list, at least firstRevision; removals before it are unknown
	completeAt     routing.Revision // store revision up to which the list contains all changes, at least changed
	prunedRevision routing.Revision // removals up to this revision are no longer in removals
}

// versionAnnouncement records when a configuration version was first announced to this box.
type versionAnnouncement struct {
	version uint64
	at      time.Time
}

// StateOption configures a State.
type StateOption func(*State)

// WithOnChange sets a function that is called for each change, in order, after the view that
// contains the change is published. It is called with the state locked. Endpoints that join
// together are reported as one change.
func WithOnChange(onChange func(Change)) StateOption {
	return func(s *State) { s.onChange = onChange }
}

// NewState returns an empty state.
func NewState(options ...StateOption) *State {
	s := &State{
		onChange:     func(Change) {},
		entries:      make(map[string]*endpointEntry),
		modified:     make(map[string]string),
		announced:    make(map[string]time.Time),
		tombstones:   make(map[string]tombstone),
		zones:        make(map[string]routing.ZoneDrain),
		missingZones: make(map[string]missingZone),
	}
	for _, o := range options {
		o(s)
	}
	s.view.Store(&View{})
	return s
}

// View returns the current view.
func (s *State) View() *View { return s.view.Load() }

// MarkStoreDown records that the store can't be reached.
func (s *State) MarkStoreDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = true
}

// IsStoreDown reports whether the last call to the store failed.
func (s *State) IsStoreDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown
}

// MarkStoreUp records that the store answered.
func (s *State) MarkStoreUp(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		s.storeDown = false
		s.beginGracePeriod(now)
	}
}

// HandleSuspension moves all recorded times back by the length of a machine suspension, which
// the monotonic clock doesn't count, so that the list's age is neither used nor gossiped as
// lower than it is.
func (s *State) HandleSuspension(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = s.confirmedAt.Add(-d)
	s.storeUpAt = s.storeUpAt.Add(-d)
	s.shortenGracePeriods(d)
	for i := range s.announcements {
		s.announcements[i].at = s.announcements[i].at.Add(-d)
	}
	s.publish()
}

// publish stores a new view that contains the modified entries, then reports the pending
// changes.
func (s *State) publish() {
	v := s.view.Load().next(s.zoneStates(), s.modified, func(id string) (routing.Endpoint, bool) {
		e := s.entries[s.modified[id]]
		if e == nil || e.ID != id {
			return routing.Endpoint{}, false
		}
		return e.Endpoint, true
	})
	clear(s.modified)
	v.Table = s.table
	v.HasEndpointList = s.hasList
	v.ListRevision = s.changed
	v.CompleteAt = s.completeAt
	v.ConfirmedAt = s.confirmedAt
	s.view.Store(v)
	for _, c := range mergeJoined(s.pendingChanges) {
		s.onChange(c)
	}
	s.pendingChanges = s.pendingChanges[:0]
}

// mergeJoined combines the EndpointJoined changes of each source into one. With a log line for
// each endpoint, the start of 295 boxes and 141 endpoints would log 42,000 lines.
func mergeJoined(all []Change) []Change {
	var out []Change
	first := make(map[string]int) // by source
	for _, c := range all {
		if c.Kind != EndpointJoined {
			out = append(out, c)
			continue
		}
		i, known := first[c.Source]
		if !known {
			i = len(out)
			first[c.Source] = i
			out = append(out, c)
		}
		out[i].JoinedIDs = append(out[i].JoinedIDs, c.Endpoint.ID)
		out[i].Revision = max(out[i].Revision, c.Revision)
	}
	return out
}
