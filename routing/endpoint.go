package routing

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Endpoint is one incarnation of a server, as it is published.
type Endpoint struct {
	ID        string         `cbor:"1,keyasint,omitempty"` // of this incarnation, by Incarnation
	Service   string         `cbor:"2,keyasint,omitempty"` // empty for an entry that names no server to use
	Address   netip.AddrPort `cbor:"3,keyasint,omitempty"`
	Zone      string         `cbor:"4,keyasint,omitempty"`
	Slots     int            `cbor:"5,keyasint,omitempty"`
	Leaving   bool           `cbor:"6,keyasint,omitempty"` // it announced its end and gets no new requests
	ColdFor   time.Duration  `cbor:"7,keyasint,omitempty"` // it is slow for this much longer from when it was published
	Revision  Revision       `cbor:"8,keyasint,omitempty"` // of the store, at the last change
	ColdUntil time.Time      `cbor:"-"`                    // by this box's clock; zero for one that isn't cold
	Started   int64          `cbor:"9,keyasint,omitempty"` // by the server's own clock, Unix milliseconds; 0 where it doesn't tell
}

// List is what the store held about endpoints at one revision.
type List struct {
	Revision  Revision
	Endpoints []Endpoint
}

// startMark stands between a server's name and its start in the id of an incarnation.
const startMark = "@"

// IncarnationID gives the id of one start of a server. A server may start again under
// the name that it had, and knows nothing then of what it held: whatever is known of
// an endpoint is kept by this id, so that nothing of it passes to the next start.
func IncarnationID(name string, started int64) string {
	if started == 0 {
		return name
	}
	return name + startMark + strconv.FormatInt(started, 10)
}

// Name gives the name that the server is published under, whatever its start.
func (e Endpoint) Name() string {
	if e.Started == 0 {
		return e.ID
	}
	return strings.TrimSuffix(e.ID, startMark+strconv.FormatInt(e.Started, 10))
}

// ColdAt tells whether the endpoint is cold at a time: it bears less than it will.
func (e Endpoint) ColdAt(now time.Time) bool { return now.Before(e.ColdUntil) }

// Usable tells whether the entry names a server that can get requests.
func (e Endpoint) Usable() bool { return e.Service != "" }

// UnusableEndpoint gives what is known of an entry that names no server to use.
func UnusableEndpoint(name string, revision Revision) Endpoint {
	return Endpoint{
		ID:       name,
		Revision: revision,
	}
}
