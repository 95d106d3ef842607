package routing

import (
	"net/netip"
	"time"
)

// Endpoint is one incarnation of a server, as it is published.
type Endpoint struct {
	ID       string         `cbor:"1,keyasint,omitempty"` // of this incarnation; a restarted server has another
	Service  string         `cbor:"2,keyasint,omitempty"`
	Address  netip.AddrPort `cbor:"3,keyasint,omitempty"`
	Zone     string         `cbor:"4,keyasint,omitempty"`
	Slots    int            `cbor:"5,keyasint,omitempty"`
	Leaving  bool           `cbor:"6,keyasint,omitempty"` // it announced its end and gets no new requests
	Cold     time.Duration  `cbor:"7,keyasint,omitempty"` // it is slow for this much longer from when it was published
	Revision uint64         `cbor:"8,keyasint,omitempty"` // of the store, at the last change
}

// List is what the store held about endpoints at one revision.
type List struct {
	Revision  uint64
	Endpoints []Endpoint
}
