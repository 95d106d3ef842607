package fleet

import (
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

// Names of the sources of changes.
const (
	fromStore  = "store"
	fromPeer   = "peer"
	fromEngine = "engine" // the endpoint itself
)

// ChangeKind names a change of belief, for logs.
type ChangeKind string

// The changes of belief.
const (
	ConfigurationInForce ChangeKind = "configuration in force"
	EndpointJoined       ChangeKind = "endpoint joined"
	EndpointLeaving      ChangeKind = "endpoint leaving"
	EndpointGone         ChangeKind = "endpoint gone"
	EndpointMissing      ChangeKind = "endpoint missing after an outage"
	ListKnown            ChangeKind = "list known" // the first one
)

// Change is one change of belief, for logs and for whoever acts on it.
type Change struct {
	Kind     ChangeKind
	Endpoint routing.Endpoint
	Version  uint64 // of the configuration
	Routes   int    // in it
	Count    int    // of endpoints in the first list
	Revision uint64
	From     string // the store or a peer
}

// Belief holds the newest view and makes the next ones.
type Belief struct {
	mu       sync.Mutex
	view     atomic.Pointer[View]
	onChange func(Change)
	untold   []Change // told once the view holds them
	entries  map[string]*entry
	touched  map[string]bool      // entries that changed since the last view
	left     map[string]time.Time // leaving incarnations, with when that was learned
	table    *routing.Table
	changed  uint64
	listed   bool
	confirm  time.Time
	backAt   time.Time // when the store came back after an outage
	away     bool

	removed   []Removal // the last ones, for partial lists
	since     uint64    // the list's last change when this box first had one
	forgotten uint64    // removals up to this revision are not known any more
}

type entry struct {
	routing.Endpoint
	missing bool // it lapsed during an outage and may still come back
}

// BeliefOption changes how a belief is built.
type BeliefOption func(*Belief)

// WithOnChange is called for each change, in order and under the belief's lock,
// when the view holds it and those that came with it.
func WithOnChange(onChange func(Change)) BeliefOption {
	return func(b *Belief) { b.onChange = onChange }
}

// NewBelief builds an empty belief.
func NewBelief(options ...BeliefOption) *Belief {
	b := &Belief{
		onChange: func(Change) {},
		entries:  make(map[string]*entry),
		touched:  make(map[string]bool),
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

// ApplySnapshot takes all that the store published. A list that is older than
// what is believed changes nothing.
func (b *Belief) ApplySnapshot(now time.Time, s *Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takeDocument(fromStore, s.Document)
	if !b.listed || s.Revision >= b.changed {
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
	switch {
	case v.Changed == 0 || (b.listed && v.Changed <= b.changed):
	case v.Partial && b.listed:
		b.takeChanges(now, from, News{
			Updated: v.Endpoints,
			Removed: v.Removed,
		})
		b.changed = v.Changed
	case !v.Partial:
		b.takeList(now, from, v.Changed, v.Endpoints)
		b.changed = v.Changed
	}
	b.confirmBy(now, v.Changed, v.Age)
	b.publish()
}

// takeList replaces the list. The revision of the last change is known only
// from the entries that are there; a removal may be as new as the list itself.
func (b *Belief) takeList(now time.Time, from string, revision uint64, all []routing.Endpoint) {
	seen := make(map[string]bool, len(all))
	for _, e := range all {
		seen[e.ID] = true
		b.update(now, from, e)
		b.changed = max(b.changed, e.Revision)
	}
	for id, e := range b.entries {
		if !seen[id] {
			b.remove(now, from, id, e, revision)
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
	if n.After <= b.changed {
		b.changed = max(b.changed, n.Changed)
		b.confirmBy(now, n.Changed, n.Age)
	}
	b.publish()
	return true
}

func (b *Belief) takeChanges(now time.Time, from string, n News) {
	for _, e := range n.Updated {
		b.update(now, from, e)
	}
	for _, r := range n.Removed {
		if e := b.entries[r.ID]; e != nil && e.Revision < r.Revision {
			b.remove(now, from, r.ID, e, r.Revision)
		}
	}
}

// Confirm takes a peer's word that it knew of no later change than a revision,
// some time ago.
func (b *Belief) Confirm(now time.Time, changed uint64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmBy(now, changed, age)
	v := *b.view.Load()
	v.Confirmed = b.confirm
	b.view.Store(&v)
}

// confirmBy moves the time at which the list was last known to be whole, if this
// box believes no less than who says so.
func (b *Belief) confirmBy(now time.Time, changed uint64, age time.Duration) {
	at := now.Add(-age)
	if age >= 0 && b.listed && b.changed >= changed && at.After(b.confirm) {
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

// Tick drops entries whose time to come back is over.
func (b *Belief) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for id, e := range b.entries {
		if e.missing && !b.away && now.Sub(b.backAt) >= returnGrace {
			b.drop("outage", id, e, b.changed)
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
	b.untold = append(b.untold, Change{
		Kind:    ConfigurationInForce,
		Version: d.Version,
		Routes:  len(d.Routes),
		From:    from,
	})
}

// publish makes the next view from the last one and the entries that changed, and
// tells of the changes.
func (b *Belief) publish() {
	v := b.view.Load().next(b.touched, func(id string) (routing.Endpoint, bool) {
		e := b.entries[id]
		if e == nil {
			return routing.Endpoint{}, false
		}
		return e.Endpoint, true
	})
	clear(b.touched)
	v.Table = b.table
	v.Listed = b.listed
	v.Changed = b.changed
	v.Confirmed = b.confirm
	b.view.Store(v)
	for _, c := range b.untold {
		b.onChange(c)
	}
	b.untold = b.untold[:0]
}
