package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// missingGracePeriod is how long entries that lapsed while the store was away have to
// come back after its return; the platform gives about two seconds.
const missingGracePeriod = 2 * time.Second

// leavingRetention is how long the box remembers that an incarnation was leaving, so
// that an old view can't bring it back; far above what any view lags.
const leavingRetention = 10 * time.Minute

// Names of the sources of changes.
const (
	sourceStore  = "store"
	sourcePeer   = "peer"
	sourceEngine = "engine" // the endpoint itself
)

// ChangeKind names a change of belief, for logs.
type ChangeKind string

// The changes of belief.
const (
	ConfigurationInForce ChangeKind = "configuration in force"
	EndpointJoined       ChangeKind = "endpoint joined"
	EndpointLeaving      ChangeKind = "endpoint leaving"
	EndpointRemoved      ChangeKind = "endpoint gone"
	EndpointMissing      ChangeKind = "endpoint missing after an outage"
	EndpointRestarted    ChangeKind = "endpoint restarted under its name" // its former incarnation is gone
	StoreRestored        ChangeKind = "the store came back from an older copy"
	EndpointUnusable     ChangeKind = "endpoint's entry names no server any more"
	EndpointListLoaded   ChangeKind = "list known" // the first one
	ZoneDrained          ChangeKind = "zone drained"
	ZoneDrainEnded       ChangeKind = "zone drain ended"
)

// Change is one change of belief, for logs and for whoever acts on it.
type Change struct {
	Kind             ChangeKind
	Endpoint         routing.Endpoint
	Zone             string   // that was drained or taken back
	Version          uint64   // of the configuration
	Routes           int      // in it
	Count            int      // of endpoints in the first list
	JoinedIDs        []string // for EndpointJoined: the ids of all that joined with this view, by the same source
	Revision         routing.Revision
	PreviousRevision routing.Revision // for StoreReplaced: the list's last change until then
	Source           string           // the store or a peer

	// For a configuration: when this process first heard of this version or a
	// newer one, from anyone; zero when it came unannounced.
	AnnouncedAt time.Time
}

// PropagationDelay gives how long a process that had heard of a version was without it.
func (c Change) PropagationDelay(now time.Time) time.Duration {
	if c.AnnouncedAt.IsZero() {
		return 0
	}
	return now.Sub(c.AnnouncedAt)
}

// State holds the newest view and makes the next ones.
type State struct {
	mu             sync.Mutex
	view           atomic.Pointer[View]
	onChange       func(Change)
	pendingChanges []Change                  // told once the view holds them
	entries        map[string]*endpointEntry // by the servers' published names
	modified       map[string]string         // incarnations that changed since the last view, with the servers' names
	leaving        map[string]time.Time      // leaving incarnations, with when that was learned
	zones          map[string]routing.ZoneDrain
	missingZones   map[string]routing.ZoneDrain // drained zones that a copy of the store doesn't have as such
	table          *routing.Table
	changed        routing.Revision
	hasList        bool
	confirmedAt    time.Time
	storeUpAt      time.Time // when the store came back after an outage
	storeDown      bool
	announcements  []versionAnnouncement // versions that are newer than the one in force, oldest first

	removals       []Removal        // the last ones, for partial lists
	firstRevision  routing.Revision // the list's last change when this box first had one
	prunedRevision routing.Revision // removals up to this revision are not known any more
}

// versionAnnouncement is when anyone first told of a version of the configuration.
type versionAnnouncement struct {
	version uint64
	at      time.Time
}

type endpointEntry struct {
	routing.Endpoint
	missing bool // it lapsed during an outage and may still come back
}

// StateOption changes how a belief is built.
type StateOption func(*State)

// WithOnChange is called for each change, in order and under the belief's lock,
// when the view holds it and those that came with it. Endpoints that joined together
// are one change: on a fleet of 295 boxes and 141 endpoints, their start took 42,000
// lines of the boxes' logs with a change each.
func WithOnChange(onChange func(Change)) StateOption {
	return func(s *State) { s.onChange = onChange }
}

// NewState builds an empty belief.
func NewState(options ...StateOption) *State {
	s := &State{
		onChange:     func(Change) {},
		entries:      make(map[string]*endpointEntry),
		modified:     make(map[string]string),
		leaving:      make(map[string]time.Time),
		zones:        make(map[string]routing.ZoneDrain),
		missingZones: make(map[string]routing.ZoneDrain),
	}
	for _, o := range options {
		o(s)
	}
	s.view.Store(&View{})
	return s
}

// View gives the newest view.
func (s *State) View() *View { return s.view.Load() }

// MarkStoreDown notes that the store can't be reached.
func (s *State) MarkStoreDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = true
}

// IsStoreDown tells whether the store can't be reached at present.
func (s *State) IsStoreDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown
}

// MarkStoreUp notes that the store answered.
func (s *State) MarkStoreUp(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		s.storeDown = false
		s.storeUpAt = now
	}
}

// HandleSuspension takes that the machine was suspended for a time, which the steady clock didn't
// count: what was confirmed before is so much older. Other boxes are told of its age, and
// would take an old list for a fresh one.
func (s *State) HandleSuspension(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = s.confirmedAt.Add(-d)
	s.storeUpAt = s.storeUpAt.Add(-d)
	for i := range s.announcements {
		s.announcements[i].at = s.announcements[i].at.Add(-d)
	}
	s.publish()
}

// gracePeriodOver tells whether what the store lacked after an outage, or after it came back from
// an older copy, had its time to come back.
func (s *State) gracePeriodOver(now time.Time) bool {
	return !s.storeDown && now.Sub(s.storeUpAt) >= missingGracePeriod
}

// Tick drops entries whose time to come back is over.
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, e := range s.entries {
		if e.missing && s.gracePeriodOver(now) {
			s.dropEndpoint("outage", e, s.changed)
			changed = true
		}
	}
	if s.gracePeriodOver(now) && len(s.missingZones) > 0 {
		s.endMissingDrains(now)
		changed = true
	}
	for id, at := range s.leaving {
		if now.Sub(at) > leavingRetention {
			delete(s.leaving, id)
		}
	}
	if changed {
		s.publish()
	}
}

// publish makes the next view from the last one and the entries that changed, and
// tells of the changes.
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
	v.ConfirmedAt = s.confirmedAt
	s.view.Store(v)
	for _, c := range mergeJoined(s.pendingChanges) {
		s.onChange(c)
	}
	s.pendingChanges = s.pendingChanges[:0]
}

// mergeJoined makes one change of the endpoints that joined by the same source.
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
