package routing

import "time"

// Kind says how often a request of a route may run and what its answer is.
type Kind string

// The kinds of request.
const (
	Repeatable Kind = "repeatable" // may run more than once
	AtMostOnce Kind = "at-most-once"
	Streaming  Kind = "streaming" // at most once, answered by a stream of events
)

// Document is one published configuration, as the boxes also hand it to each
// other.
type Document struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Keyed     bool // whether requests need a customer's key at all
	Limits    Limits
}

// Route says which requests go to which service, and how long they may take.
type Route struct {
	Name         string
	Host         string
	PathPrefix   string
	Kind         Kind
	Timeout      time.Duration // the longest that a request may be held
	Target       time.Duration // an answer within it is worth the most
	PauseTarget  time.Duration // the longest pause between a stream's events that is still in time
	Rank         int           // 0 is the most urgent
	Split        []Share
	MaxEndpoints int // the most endpoints that may run one request
	Anonymous    bool
	Sticky       bool // prompts of this route share parts that endpoints keep
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // an endpoint accepts these from all boxes together
	Engine         *Engine
}

// Engine tells of a service whose endpoints are model engines.
type Engine struct {
	Slots         int
	MemoryTokens  int
	BytesPerToken float64
	LinkMbps      float64
	Moves         bool // a run's memory can be copied to another endpoint
	Backups       bool // a run's memory can be sent along as it grows
	EventTokens   int
	HandleLife    time.Duration // a copy is kept this long after its last part
}

// Customer is an owner of keys.
type Customer struct {
	Name string
	Rank *int // goes before the route's
	Keys []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
