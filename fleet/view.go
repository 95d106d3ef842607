package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dillsaddle.example/dillsaddle/routing"
)

// View is an immutable snapshot of the box's state.
type View struct {
	Table           *routing.Table                // active configuration; nil before one is known
	HasEndpointList bool                          // false until the first list arrived
	ListRevision    routing.Revision              // store revision of the list's last change
	CompleteAt      routing.Revision              // store revision up to which the list contains all changes
	ConfirmedAt     time.Time                     // when the list was last known to be complete
	Zones           []routing.ZoneDrain           // known zone states, sorted by zone
	byService       map[string][]routing.Endpoint // sorted by id
	byID            [shardCount]map[string]routing.Endpoint
}

// shardCount is the number of shards of a view's endpoint map. A new view shares all unmodified
// shards with the one before, so that a change copies only a few dozen of thousands of entries.
const shardCount = 64

func shardOf(id string) uint64 { return xxhash.Sum64String(id) % shardCount }

// Drained reports whether the operator has drained a zone, so that its endpoints get no new requests.
func (v *View) Drained(zone string) bool {
	return slices.ContainsFunc(v.Zones, func(z routing.ZoneDrain) bool { return z.Zone == zone && z.Drained })
}

// Serving returns the endpoints of a service that may get new requests, sorted by id.
func (v *View) Serving(service string) []routing.Endpoint { return v.byService[service] }

// Endpoint returns a known endpoint by the id of its incarnation.
func (v *View) Endpoint(id string) (routing.Endpoint, bool) {
	e, ok := v.byID[shardOf(id)][id]
	return e, ok
}

// IsAvailable reports whether an endpoint may get new requests.
func (v *View) IsAvailable(id string) bool {
	e, ok := v.Endpoint(id)
	return ok && !e.Leaving && !v.Drained(e.Zone)
}

// EngineCount returns the number of model engines that may get new requests.
func (v *View) EngineCount() int {
	if v.Table == nil {
		return 0
	}
	n := 0
	for _, s := range v.Table.Document().Services {
		if s.Engine != nil {
			n += len(v.Serving(s.Name))
		}
	}
	return n
}

// ConfigVersion returns the active configuration's version, or 0.
func (v *View) ConfigVersion() uint64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// next returns a new view with the modified entries replaced; it shares all else with this one.
func (v *View) next(zones []routing.ZoneDrain, modified map[string]string, lookup func(id string) (routing.Endpoint, bool)) *View {
	b := &viewBuilder{
		View:        *v,
		ownServices: make(map[string]bool),
		ownShards:   make(map[uint64]bool),
	}
	b.Zones = zones
	b.byService = maps.Clone(v.byService)
	if b.byService == nil {
		b.byService = make(map[string][]routing.Endpoint)
	}
	for id := range modified {
		if e, had := v.Endpoint(id); had {
			delete(b.shard(id), id)
			b.ownService(e.Service)
		}
	}
	for service := range b.ownServices {
		b.byService[service] = slices.DeleteFunc(b.byService[service], func(e routing.Endpoint) bool {
			_, changed := modified[e.ID]
			return changed
		})
	}
	for id := range modified {
		if e, has := lookup(id); has {
			b.shard(id)[id] = e
			b.add(e)
		}
	}
	for service := range b.ownServices {
		slices.SortFunc(b.byService[service], compareIDs)
	}
	return &b.View
}

func compareIDs(a, b routing.Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// viewBuilder is a view under construction. It records which parts are already copied.
type viewBuilder struct {
	View
	ownServices map[string]bool
	ownShards   map[uint64]bool
}

// shard returns the shard of an id as a copy that may be modified.
func (b *viewBuilder) shard(id string) map[string]routing.Endpoint {
	at := shardOf(id)
	if !b.ownShards[at] {
		b.ownShards[at] = true
		b.byID[at] = maps.Clone(b.byID[at])
		if b.byID[at] == nil {
			b.byID[at] = make(map[string]routing.Endpoint)
		}
	}
	return b.byID[at]
}

// ownService copies a service's endpoints so that they may be modified.
func (b *viewBuilder) ownService(service string) {
	if !b.ownServices[service] {
		b.ownServices[service] = true
		b.byService[service] = slices.Clone(b.byService[service])
	}
}

// add adds an endpoint to its service's list if it may get new requests.
func (b *viewBuilder) add(e routing.Endpoint) {
	if e.Leaving || !e.Usable() || b.Drained(e.Zone) {
		return
	}
	b.ownService(e.Service)
	b.byService[e.Service] = append(b.byService[e.Service], e)
}
