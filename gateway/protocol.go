package gateway

import (
	"net/http"
	"net/netip"
	"time"
)

// Protocol translates between the headers on the wire and what they mean.
type Protocol interface {
	// Inbound decodes a caller's headers.
	Inbound(h http.Header) Inbound
	// Outbound changes a copy of the caller's headers into those for an endpoint.
	Outbound(h http.Header, o Outbound)
	// Answer decodes an endpoint's answer.
	Answer(status int, h http.Header) Answer
}

// Inbound is what a caller's headers say.
type Inbound struct {
	ID            string        // of this attempt of the caller
	CallerTimeout time.Duration // how long the caller waits; 0 when it didn't say
	Key           string
	PromptTokens  int
	MaxTokens     int // the most to be generated
	LengthHint    int // the caller's guess of the tokens to be generated; 0 without
}

// Outbound is what the system tells an endpoint.
type Outbound struct {
	TimeLeft   time.Duration // until nobody waits any more
	Endpoint   string        // the incarnation that is meant
	Customer   string        // empty on anonymous routes
	Rank       int
	BackupTo   netip.AddrPort // where a run's memory is sent as it grows, or none
	ContinueAt string         // the copy to go on from, or empty
	LastEvent  string         // the last event that the caller has, of a stream that goes on; or empty
}

// Answer is what an endpoint's answer says of itself.
type Answer struct {
	ID     string // of the request that it answers
	NotRun bool   // the endpoint didn't run the request
	Load   *Load
	Signed bool
	Notice
}

// Notice is what an endpoint says of itself in any answer, to a request, a move or a
// question for its load.
type Notice struct {
	Limited bool          // it takes so many requests only
	Limit   float64       // requests a second, from all boxes together
	Leaving bool          // it is on its way out
	Backoff time.Duration // it wants nothing from this box for so long; 0 when it didn't say
}

// Load is what an endpoint tells of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
