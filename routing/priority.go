package routing

import "cmp"

// Priority is the order in which requests are served; lower values come first.
type Priority struct {
	Customer int `cbor:"1,keyasint,omitempty"` // the customer's rank, or the route's if the customer has none
	Route    int `cbor:"2,keyasint,omitempty"` // the route's rank
}

// NewPriority returns the priority of a customer's request to a route. The customer is nil on
// routes that need no key.
func NewPriority(r *Route, c *Customer) Priority {
	p := Priority{
		Customer: r.Rank,
		Route:    r.Rank,
	}
	if c != nil && c.Rank != nil {
		p.Customer = *c.Rank
	}
	return p
}

// Compare returns a negative number if p is served before o, a positive one if after it, and 0
// if they are equal. Customers' ranks are sold, so the route's rank only orders requests of
// customers of equal rank.
func (p Priority) Compare(o Priority) int {
	return cmp.Or(cmp.Compare(p.Customer, o.Customer), cmp.Compare(p.Route, o.Route))
}
