package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dillsaddle.example/dillsaddle/routing"
)

// View is what the box believes at one moment; it doesn't change.
type View struct {
	Table           *routing.Table                // nil before a configuration is known
	HasEndpointList bool                          // whether the endpoints were ever read
	ListRevision    routing.Revision              // the store's revision at the last change of the list
	ConfirmedAt     time.Time                     // when the store last said that this is all
	Zones           []routing.ZoneDrain           // what is known of zones, by name
	byService       map[string][]routing.Endpoint // sorted by id
	byID            [viewParts]map[string]routing.Endpoint
}

// viewParts is into how many parts a view's endpoints fall: the next view shares
// all parts in which nothing changed. Of thousands of endpoints a part holds
// some tens, so that a change of one copies no more; a whole view of 3,000 took
// some milliseconds.
const viewParts = 64

func partOf(id string) uint64 { return xxhash.Sum64String(id) % viewParts }

// Drained tells whether the operator wants a zone's endpoints to get no new requests.
func (v *View) Drained(zone string) bool {
	return slices.ContainsFunc(v.Zones, func(z routing.ZoneDrain) bool { return z.Zone == zone && z.Drained })
}

// Serving gives the endpoints of a service that may get new requests, by id.
func (v *View) Serving(service string) []routing.Endpoint { return v.byService[service] }

// Endpoint gives an endpoint by the id of its incarnation, while it is known.
func (v *View) Endpoint(id string) (routing.Endpoint, bool) {
	e, ok := v.byID[partOf(id)][id]
	return e, ok
}

// IsAvailable tells whether an endpoint may get a new request.
func (v *View) IsAvailable(id string) bool {
	e, ok := v.Endpoint(id)
	return ok && !e.Leaving && !v.Drained(e.Zone)
}

// EngineCount counts the model engines that may get new requests.
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

// ConfigVersion gives the version in force, or 0.
func (v *View) ConfigVersion() uint64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// all gives every endpoint that is known, in no order.
func (v *View) all() []routing.Endpoint {
	var out []routing.Endpoint
	for _, part := range v.byID {
		out = slices.AppendSeq(out, maps.Values(part))
	}
	return out
}

// next gives a view with some entries as they are now; it shares the rest with
// this one.
func (v *View) next(zones []routing.ZoneDrain, touched map[string]string, now func(id string) (routing.Endpoint, bool)) *View {
	n := &viewEdit{
		View:     *v,
		services: make(map[string]bool),
		parts:    make(map[uint64]bool),
	}
	n.Zones = zones
	n.byService = maps.Clone(v.byService)
	if n.byService == nil {
		n.byService = make(map[string][]routing.Endpoint)
	}
	for id := range touched {
		if e, had := v.Endpoint(id); had {
			delete(n.part(id), id)
			n.own(e.Service)
		}
	}
	for service := range n.services {
		n.byService[service] = slices.DeleteFunc(n.byService[service], func(e routing.Endpoint) bool {
			_, changed := touched[e.ID]
			return changed
		})
	}
	for id := range touched {
		if e, has := now(id); has {
			n.part(id)[id] = e
			n.add(e)
		}
	}
	for service := range n.services {
		slices.SortFunc(n.byService[service], compareIDs)
	}
	return &n.View
}

func compareIDs(a, b routing.Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// viewEdit is a view in the making, with what it doesn't share any more.
type viewEdit struct {
	View
	services map[string]bool
	parts    map[uint64]bool
}

// part gives the part of an id, to be changed.
func (n *viewEdit) part(id string) map[string]routing.Endpoint {
	at := partOf(id)
	if !n.parts[at] {
		n.parts[at] = true
		n.byID[at] = maps.Clone(n.byID[at])
		if n.byID[at] == nil {
			n.byID[at] = make(map[string]routing.Endpoint)
		}
	}
	return n.byID[at]
}

// own makes a service's endpoints this view's own.
func (n *viewEdit) own(service string) {
	if !n.services[service] {
		n.services[service] = true
		n.byService[service] = slices.Clone(n.byService[service])
	}
}

func (n *viewEdit) add(e routing.Endpoint) {
	if e.Leaving || !e.Usable() || n.Drained(e.Zone) {
		return
	}
	n.own(e.Service)
	n.byService[e.Service] = append(n.byService[e.Service], e)
}
