package routing

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Endpoint is one incarnation of a server, as published in the store.
type Endpoint struct {
	ID        string         `cbor:"1,keyasint,omitempty"` // as returned by IncarnationID
	Service   string         `cbor:"2,keyasint,omitempty"` // empty if the entry is unusable
	Address   netip.AddrPort `cbor:"3,keyasint,omitempty"`
	Zone      string         `cbor:"4,keyasint,omitempty"`
	Slots     int            `cbor:"5,keyasint,omitempty"`
	Leaving   bool           `cbor:"6,keyasint,omitempty"` // it announced that it terminates; it gets no new requests
	ColdFor   time.Duration  `cbor:"7,keyasint,omitempty"` // remaining warm-up time at the time of publication
	Revision  Revision       `cbor:"8,keyasint,omitempty"` // store revision of the last change
	ColdUntil time.Time      `cbor:"-"`                    // end of the warm-up by this box's clock; zero if it is warm
	Started   int64          `cbor:"9,keyasint,omitempty"` // start time by the server's clock in Unix milliseconds; 0 if unknown
}

// List is the endpoints in the store at one revision.
type List struct {
	Revision  Revision
	Endpoints []Endpoint
}

// startSeparator separates the server's name from its start time in an incarnation's ID.
const startSeparator = "@"

// IncarnationID returns the ID of one start of a server. A server that restarts under the
// same name has lost its state, so boxes keep their state about an endpoint by this ID.
func IncarnationID(name string, started int64) string {
	if started == 0 {
		return name
	}
	return name + startSeparator + strconv.FormatInt(started, 10)
}

// Name returns the server's name, which is the same after a restart.
func (e Endpoint) Name() string {
	if e.Started == 0 {
		return e.ID
	}
	return strings.TrimSuffix(e.ID, startSeparator+strconv.FormatInt(e.Started, 10))
}

// ColdAt reports whether the endpoint is still warming up and has a reduced capacity.
func (e Endpoint) ColdAt(now time.Time) bool { return now.Before(e.ColdUntil) }

// Usable reports whether the entry describes a server that can get requests.
func (e Endpoint) Usable() bool { return e.Service != "" }

// UnusableEndpoint returns the endpoint for a store entry that describes no usable server.
func UnusableEndpoint(name string, revision Revision) Endpoint {
	return Endpoint{
		ID:       name,
		Revision: revision,
	}
}
