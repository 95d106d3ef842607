package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// returnGrace is how long entries that lapsed while the store was away have to
// come back after its return; the platform gives about two seconds.
const returnGrace = 2 * time.Second

// leftMemory is how long the box remembers that an incarnation was leaving, so
// that an old view can't bring it back; far above what any view lags.
const leftMemory = 10 * time.Minute

// fromStore names the store as the source of a change.
const fromStore = "store"

// View is what the box believes at one moment; it doesn't change.
type View struct {
	Table     *routing.Table // nil before a configuration is known
	Listed    bool           // whether the endpoints were ever read
	Revision  uint64         // of the store, for the endpoints
	Confirmed time.Time      // when the endpoints were last confirmed
	byService map[string][]routing.Endpoint
	byID      map[string]routing.Endpoint
}

// Serving gives the endpoints of a service that may get new requests, by id.
func (v *View) Serving(service string) []routing.Endpoint { return v.byService[service] }

// Endpoint gives an endpoint by the id of its incarnation, while it is known.
func (v *View) Endpoint(id string) (routing.Endpoint, bool) {
	e, ok := v.byID[id]
	return e, ok
}

// Configuration gives the version in force, or 0.
func (v *View) Configuration() uint64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// ChangeKind names a change of belief, for logs.
type ChangeKind string

// The changes of belief.
const (
	ConfigurationInForce ChangeKind = "configuration in force"
	EndpointJoined       ChangeKind = "endpoint joined"
	EndpointLeaving      ChangeKind = "endpoint leaving"
	EndpointGone         ChangeKind = "endpoint gone"
	EndpointMissing      ChangeKind = "endpoint missing after an outage"
)

// Change is one change of belief, for logs and for whoever acts on it.
type Change struct {
	Kind     ChangeKind
	Endpoint routing.Endpoint
	Version  uint64 // of the configuration
	Revision uint64
	From     string // the store or a peer
}

// Belief holds the newest view and makes the next ones.
type Belief struct {
	mu       sync.Mutex
	view     atomic.Pointer[View]
	onChange func(Change)
	entries  map[string]*entry
	left     map[string]time.Time // leaving incarnations, with when that was learned
	table    *routing.Table
	revision uint64
	listed   bool
	confirm  time.Time
	backAt   time.Time // when the store came back after an outage
	away     bool
}

type entry struct {
	routing.Endpoint
	missing bool // it lapsed during an outage and may still come back
}

// BeliefOption changes how a belief is built.
type BeliefOption func(*Belief)

// WithOnChange is called for each change, in order and under the belief's lock.
func WithOnChange(onChange func(Change)) BeliefOption {
	return func(b *Belief) { b.onChange = onChange }
}

// NewBelief builds an empty belief.
func NewBelief(options ...BeliefOption) *Belief {
	b := &Belief{
		onChange: func(Change) {},
		entries:  make(map[string]*entry),
		left:     make(map[string]time.Time),
	}
	for _, o := range options {
		o(b)
	}
	b.view.Store(&View{})
	return b
}

// View gives the newest view.
func (b *Belief) View() *View { return b.view.Load() }

// StoreAway notes that the store can't be reached.
func (b *Belief) StoreAway() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.away = true
}

// Away tells whether the store can't be reached at present.
func (b *Belief) Away() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.away
}

// StoreBack notes that the store answered.
func (b *Belief) StoreBack(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away {
		b.away = false
		b.backAt = now
	}
}

// ApplySnapshot takes all that the store published. An older one than what is
// believed changes nothing.
func (b *Belief) ApplySnapshot(now time.Time, s *Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(now, fromStore, s)
}

// ApplyPeer takes the list that a peer believes. What it dropped is gone: the
// peer has given it its time to come back.
func (b *Belief) ApplyPeer(now time.Time, from string, s *Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(now, from, s)
}

func (b *Belief) apply(now time.Time, from string, s *Snapshot) {
	b.takeDocument(from, s.Document)
	if b.listed && s.Revision < b.revision {
		b.publish()
		return
	}
	seen := make(map[string]bool, len(s.Endpoints))
	for _, e := range s.Endpoints {
		seen[e.ID] = true
		b.update(now, from, e)
	}
	for id, e := range b.entries {
		if !seen[id] {
			b.remove(now, from, id, e)
		}
	}
	b.listed = true
	b.revision = s.Revision
	b.confirm = now
	b.publish()
}

// ApplyChanges takes what changed since the last view.
func (b *Belief) ApplyChanges(now time.Time, c *Changes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := fromStore
	b.takeDocument(from, c.Document)
	for _, e := range c.Updated {
		b.update(now, from, e)
	}
	for _, r := range c.Removed {
		if e := b.entries[r.ID]; e != nil && e.Revision < r.Revision {
			b.remove(now, from, r.ID, e)
		}
	}
	b.revision = max(b.revision, c.Revision)
	b.confirm = now
	b.publish()
}

// ApplyDocument takes a configuration that a peer has in force.
func (b *Belief) ApplyDocument(from string, d *routing.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(from, d)
	b.publish()
}

// Tick drops entries whose time to come back is over.
func (b *Belief) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for id, e := range b.entries {
		if e.missing && !b.away && now.Sub(b.backAt) >= returnGrace {
			b.drop("outage", id, e)
			changed = true
		}
	}
	for id, at := range b.left {
		if now.Sub(at) > leftMemory {
			delete(b.left, id)
		}
	}
	if changed {
		b.publish()
	}
}

func (b *Belief) takeDocument(from string, d *routing.Document) {
	if d == nil || (b.table != nil && d.Version <= b.table.Version()) {
		return
	}
	b.table = routing.NewTable(d)
	b.onChange(Change{
		Kind:    ConfigurationInForce,
		Version: d.Version,
		From:    from,
	})
}

func (b *Belief) update(now time.Time, from string, e routing.Endpoint) {
	old := b.entries[e.ID]
	if old != nil && old.Revision > e.Revision {
		return
	}
	if _, left := b.left[e.ID]; left {
		e.Leaving = true
	}
	if e.Leaving {
		b.left[e.ID] = now
	}
	b.entries[e.ID] = &entry{Endpoint: e}
	switch {
	case old == nil:
		b.tell(EndpointJoined, from, e)
	case e.Leaving && !old.Leaving:
		b.tell(EndpointLeaving, from, e)
	}
}

// remove takes an entry that went. One that went with the store away has its
// time to come back; any other is leaving for good.
func (b *Belief) remove(now time.Time, from, id string, e *entry) {
	if e.missing {
		return
	}
	outage := from == fromStore && (b.away || (!b.backAt.IsZero() && now.Sub(b.backAt) < returnGrace))
	if outage && !e.Leaving {
		e.missing = true
		b.tell(EndpointMissing, from, e.Endpoint)
		return
	}
	b.left[id] = now
	b.drop(from, id, e)
}

func (b *Belief) drop(from, id string, e *entry) {
	delete(b.entries, id)
	b.tell(EndpointGone, from, e.Endpoint)
}

func (b *Belief) tell(kind ChangeKind, from string, e routing.Endpoint) {
	b.onChange(Change{
		Kind:     kind,
		Endpoint: e,
		Revision: e.Revision,
		From:     from,
	})
}

func (b *Belief) publish() {
	v := &View{
		Table:     b.table,
		Listed:    b.listed,
		Revision:  b.revision,
		Confirmed: b.confirm,
		byService: make(map[string][]routing.Endpoint),
		byID:      make(map[string]routing.Endpoint, len(b.entries)),
	}
	for id, e := range b.entries {
		v.byID[id] = e.Endpoint
		if !e.Leaving {
			v.byService[e.Service] = append(v.byService[e.Service], e.Endpoint)
		}
	}
	for _, all := range v.byService {
		slices.SortFunc(all, func(a, b routing.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	b.view.Store(v)
}
