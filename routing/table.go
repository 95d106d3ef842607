package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table indexes a document for look-ups. It is immutable.
type Table struct {
	document  *Document
	byHost    map[string][]*Route // longest prefix first
	services  map[string]*Service
	customers map[string]*Customer // by key

	streamTargets   map[string]streamTargets // by service
	waitingServices map[string]bool          // services whose requests wait for room
}

// NewTable returns the index of a document.
func NewTable(d *Document) *Table {
	t := &Table{
		document:  d,
		byHost:    make(map[string][]*Route),
		services:  make(map[string]*Service),
		customers: make(map[string]*Customer),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Customers {
		for _, key := range d.Customers[i].Keys {
			t.customers[key] = &d.Customers[i]
		}
	}
	t.streamTargets = newStreamTargets(d)
	t.waitingServices = newWaitingServices(t.services, t.streamTargets)
	return t
}

// Version returns the version of the table's document.
func (t *Table) Version() uint64 { return t.document.Version }

// Document returns the table's document, which must not be modified.
func (t *Table) Document() *Document { return t.document }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.document.Limits }

// Match returns the route with the longest prefix that matches a request's host and
// undecoded path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostWithoutPort(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostWithoutPort removes the port of a host and converts it to lower case.
func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Customer returns the customer that a key belongs to, or nil.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// RequiresKey reports whether requests need a customer's key.
func (t *Table) RequiresKey() bool { return t.document.RequiresKey }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService returns the service for one request of a route, chosen by weight. It depends
// only on the request's ID, so that repeated attempts use the same service.
func (r *Route) PickService(id string) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Split[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Split {
		point -= max(s.Weight, 0)
		if point < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
