package routing

import "time"

// Kind says how often a request of a route may run and what its answer is.
type Kind string

// The kinds of request.
const (
	Repeatable Kind = "repeatable" // may run more than once
	AtMostOnce Kind = "at-most-once"
	Streaming  Kind = "streaming" // answered by a stream of events; at most once, unless it may be resumed
)

// Document is one published configuration, as the boxes also hand it to each
// other.
type Document struct {
	Version     uint64     `cbor:"1,keyasint,omitempty"`
	Routes      []Route    `cbor:"2,keyasint,omitempty"`
	Services    []Service  `cbor:"3,keyasint,omitempty"`
	Customers   []Customer `cbor:"4,keyasint,omitempty"`
	RequiresKey bool       `cbor:"5,keyasint,omitempty"` // whether requests need a customer's key at all
	Limits      Limits     `cbor:"6,keyasint,omitempty"`
}

// Route says which requests go to which service, and how long they may take.
type Route struct {
	Name           string        `cbor:"1,keyasint,omitempty"`
	Host           string        `cbor:"2,keyasint,omitempty"`
	PathPrefix     string        `cbor:"3,keyasint,omitempty"`
	Kind           Kind          `cbor:"4,keyasint,omitempty"`
	Timeout        time.Duration `cbor:"5,keyasint,omitempty"` // the longest that a request may be held
	LatencyTarget  time.Duration `cbor:"6,keyasint,omitempty"` // an answer within it is worth the most
	PauseTarget    time.Duration `cbor:"7,keyasint,omitempty"` // the longest pause between a stream's events that is still in time
	Rank           int           `cbor:"8,keyasint,omitempty"` // 0 is the most urgent
	Split          []Share       `cbor:"9,keyasint,omitempty"`
	MaxEndpoints   int           `cbor:"10,keyasint,omitempty"` // the most endpoints that may run one request
	Anonymous      bool          `cbor:"11,keyasint,omitempty"`
	Sticky         bool          `cbor:"12,keyasint,omitempty"` // prompts of this route share parts that endpoints keep
	Resumable      bool          `cbor:"13,keyasint,omitempty"` // its streams may run more than once, each from the last event before
	AllowedRegions []string      `cbor:"14,keyasint,omitempty"` // the regions whose endpoints may get its requests; none for all
}

// MayRepeat tells whether requests of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Streaming && r.Resumable)
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Weight  int    `cbor:"2,keyasint,omitempty"`
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string  `cbor:"1,keyasint,omitempty"`
	HealthPath     string  `cbor:"2,keyasint,omitempty"`
	MaxConnections int     `cbor:"3,keyasint,omitempty"` // an endpoint accepts these from all boxes together
	Engine         *Engine `cbor:"4,keyasint,omitempty"`
	ColdPerSecond  float64 `cbor:"5,keyasint,omitempty"` // requests that a cold endpoint bears, from all boxes together; 0 where any
}

// Engine tells of a service whose endpoints are model engines.
type Engine struct {
	Slots           int           `cbor:"1,keyasint,omitempty"`
	MemoryTokens    int           `cbor:"2,keyasint,omitempty"`
	BytesPerToken   float64       `cbor:"3,keyasint,omitempty"`
	LinkMbps        float64       `cbor:"4,keyasint,omitempty"`
	SupportsMoves   bool          `cbor:"5,keyasint,omitempty"` // a run's memory can be copied to another endpoint
	SupportsBackups bool          `cbor:"6,keyasint,omitempty"` // a run's memory can be sent along as it grows
	EventTokens     int           `cbor:"7,keyasint,omitempty"`
	CopyLifetime    time.Duration `cbor:"8,keyasint,omitempty"` // a copy is kept this long after its last part
}

// Customer is an owner of keys.
type Customer struct {
	Name           string   `cbor:"1,keyasint,omitempty"`
	Rank           *int     `cbor:"2,keyasint,omitempty"` // goes before the route's
	Keys           []string `cbor:"3,keyasint,omitempty"`
	AllowedRegions []string `cbor:"4,keyasint,omitempty"` // as a route's; where both have some, both bind
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int           `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}
