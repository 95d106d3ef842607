package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is a document with indexes for look-ups; it doesn't change once built.
type Table struct {
	document  *Document
	byHost    map[string][]*Route // longest prefix first
	services  map[string]*Service
	customers map[string]*Customer // by key
}

// NewTable indexes a document.
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
	return t
}

// Version gives the version of the table's document.
func (t *Table) Version() uint64 { return t.document.Version }

// Document gives what the table was built from; it must not be changed.
func (t *Table) Document() *Document { return t.document }

// Limits gives the bounds on what callers send.
func (t *Table) Limits() Limits { return t.document.Limits }

// Match gives the route of a request by its host and the path as it was sent,
// or nil. Of several it is the one with the longest prefix.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[bareHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// bareHost drops a port and case.
func bareHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Customer gives the owner of a key, or nil.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// RequiresKey tells whether requests need a customer's key.
func (t *Table) RequiresKey() bool { return t.document.RequiresKey }

// Service gives a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick gives the service for one request of a route. The same id always gets
// the same service, so that a repeat inside one attempt doesn't change sides.
func (r *Route) Pick(id string) string {
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
