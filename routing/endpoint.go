package routing

import (
	"net/netip"
	"time"
)

// Endpoint is one incarnation of a server, as it is published.
type Endpoint struct {
	ID       string // of this incarnation; a restarted server has another
	Service  string
	Address  netip.AddrPort
	Zone     string
	Slots    int
	Leaving  bool          // it announced its end and gets no new requests
	Cold     time.Duration // it is slow for this much longer from when it was published
	Revision uint64        // of the store, at the last change
}

// List is what the store held about endpoints at one revision.
type List struct {
	Revision  uint64
	Endpoints []Endpoint
}
