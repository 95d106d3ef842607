package gateway

import (
	"net/http"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// Protocol translates between HTTP headers and their meaning.
type Protocol interface {
	// Inbound decodes a caller's headers.
	Inbound(h http.Header) Inbound
	// Outbound changes a copy of the caller's headers into the headers for an endpoint.
	Outbound(h http.Header, o Outbound)
	// Forwarded changes a copy of the caller's headers into those for another box, which serves
	// the request within the time left. lastEvent is the ID of the last event that the caller of
	// a continued stream has, or empty.
	Forwarded(h http.Header, timeLeft time.Duration, lastEvent string)
	// Answer decodes the status and headers of an endpoint's answer.
	Answer(status int, h http.Header) Answer
	// StatusPath returns the path of a status check at a service's endpoints, or "" if they have none.
	StatusPath(s *routing.Service) string
}

// Inbound holds the contents of a caller's headers.
type Inbound struct {
	ID            string        // ID of this attempt of the caller
	CallerTimeout time.Duration // how long the caller waits; 0 if unknown
	Key           string
	PromptTokens  int
	MaxTokens     int // upper bound of the generated tokens
	LengthHint    int // the caller's estimate of the generated tokens; 0 if unknown
	// SharedParts are the parts of the prompt that other requests may have too, in order and
	// without duplicates.
	SharedParts []core.PartID
}

// Outbound holds what a box's headers say to an endpoint.
type Outbound struct {
	TimeLeft   time.Duration // until the request's deadline
	Endpoint   string        // the incarnation that must answer
	Customer   string        // empty on anonymous routes
	Rank       int
	BackupTo   netip.AddrPort // the engine that gets a backup copy of the run, or the zero value
	ContinueAt string         // the copy that the run continues from, or empty
	LastEvent  string         // ID of the last event that the caller of a continued stream has, or empty
}

// Answer holds what an endpoint's headers say about its answer.
type Answer struct {
	ID     string // ID of the request that it answers
	NotRun bool   // the endpoint did not run the request
	Load   *Load
	Signed bool // it has the platform's signature header
	Notice
}

// Notice is what an endpoint announces about itself in any answer, whether to a request, a
// move or a load query.
type Notice struct {
	Limited bool          // it has a rate limit
	Limit   float64       // the limit in requests per second, from all boxes together
	Leaving bool          // it is leaving
	Backoff time.Duration // for how long this box must not send to it; 0 if it may

	Brittle    bool // the endpoints of its service fail if they reject too many requests
	Rejections int  // the most per second that one of them bears, from all boxes together
}

// Load is the load of an endpoint when it answered.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // factor by which work takes longer than usual; 1 if the endpoint reports none

	HasSlowdown bool // whether the endpoint reports its slowdown
}
