package routing

import "time"

// Kind defines whether a request of a route may run more than once, and how it is answered.
type Kind string

// The kinds of request.
const (
	Repeatable Kind = "repeatable"   // may run more than once
	AtMostOnce Kind = "at-most-once" // must not be repeated once it may have run
	Streaming  Kind = "streaming"    // answered by a stream of events; at most once, unless the route is resumable
)

// Document is one published version of the configuration. Boxes also send it to each other.
type Document struct {
	Version     uint64     `cbor:"1,keyasint,omitempty"`
	Routes      []Route    `cbor:"2,keyasint,omitempty"`
	Services    []Service  `cbor:"3,keyasint,omitempty"`
	Customers   []Customer `cbor:"4,keyasint,omitempty"`
	RequiresKey bool       `cbor:"5,keyasint,omitempty"` // whether requests need a customer's key
	Limits      Limits     `cbor:"6,keyasint,omitempty"`
}

// Route maps requests to services by host and path prefix.
type Route struct {
	Name           string        `cbor:"1,keyasint,omitempty"`
	Host           string        `cbor:"2,keyasint,omitempty"`
	PathPrefix     string        `cbor:"3,keyasint,omitempty"`
	Kind           Kind          `cbor:"4,keyasint,omitempty"`
	Timeout        time.Duration `cbor:"5,keyasint,omitempty"`  // longest time that a request may take
	LatencyTarget  time.Duration `cbor:"6,keyasint,omitempty"`  // target for the time to the answer or, of a stream, to its first event
	PauseTarget    time.Duration `cbor:"7,keyasint,omitempty"`  // target for the time between two events of a stream
	Rank           int           `cbor:"8,keyasint,omitempty"`  // priority; 0 is the most urgent
	Split          []Share       `cbor:"9,keyasint,omitempty"`  // services that share the route's requests
	MaxEndpoints   int           `cbor:"10,keyasint,omitempty"` // most endpoints that one request may be sent to
	Anonymous      bool          `cbor:"11,keyasint,omitempty"` // no customer key is needed
	Sticky         bool          `cbor:"12,keyasint,omitempty"` // prompts share prefixes that endpoints cache
	Resumable      bool          `cbor:"13,keyasint,omitempty"` // a stream may be continued elsewhere from its last event
	AllowedRegions []string      `cbor:"14,keyasint,omitempty"` // regions whose endpoints may be used; empty for all
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Streaming && r.Resumable)
}

// Share is the weight of a service among the services of a route.
type Share struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Weight  int    `cbor:"2,keyasint,omitempty"`
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string  `cbor:"1,keyasint,omitempty"`
	HealthPath     string  `cbor:"2,keyasint,omitempty"`
	MaxConnections int     `cbor:"3,keyasint,omitempty"` // per endpoint, from all boxes together
	Engine         *Engine `cbor:"4,keyasint,omitempty"` // nil for services that are not model engines
	ColdPerSecond  float64 `cbor:"5,keyasint,omitempty"` // requests per second to a cold endpoint, from all boxes together; 0 for no limit
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots           int           `cbor:"1,keyasint,omitempty"` // batch slots of an endpoint
	MemoryTokens    int           `cbor:"2,keyasint,omitempty"` // memory of an endpoint
	BytesPerToken   float64       `cbor:"3,keyasint,omitempty"`
	LinkMbps        float64       `cbor:"4,keyasint,omitempty"` // bandwidth for copies between endpoints
	SupportsMoves   bool          `cbor:"5,keyasint,omitempty"` // a run's memory can be copied to another endpoint
	SupportsBackups bool          `cbor:"6,keyasint,omitempty"` // a run's memory can be replicated while it grows
	EventTokens     int           `cbor:"7,keyasint,omitempty"` // tokens per event
	CopyLifetime    time.Duration `cbor:"8,keyasint,omitempty"` // time for which a copy is kept after its last part
}

// Customer is an account that may send requests.
type Customer struct {
	Name           string   `cbor:"1,keyasint,omitempty"`
	Rank           *int     `cbor:"2,keyasint,omitempty"` // overrides the route's rank
	Keys           []string `cbor:"3,keyasint,omitempty"`
	AllowedRegions []string `cbor:"4,keyasint,omitempty"` // regions whose endpoints may be used, within the route's; empty for all
}

// Limits bound the requests that a caller may send.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int           `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}
