package engine

import (
	"context"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Message is one thing that a worker tells of an attempt.
type Message interface{ isMessage() }

type message struct{}

func (message) isMessage() {}

// Opened tells that the endpoint took the request and names its life.
type Opened struct {
	message
	Incarnation core.Incarnation
}

// Token is one token of a generation; Data is the endpoint's event, unchanged.
type Token struct {
	message
	Origin core.Origin
	Offset uint64
	Data   []byte
}

// Finished is the end of a whole generation.
type Finished struct {
	message
	Origin core.Origin
	Offset uint64
	Data   []byte
	Usage  Usage
}

// Usage is the endpoint's count of a whole generation.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	Preempted        int
}

// Refused tells that the endpoint refused before it started anything.
type Refused struct {
	message
	Status int
	Text   string
}

// Unsent tells that no byte of the request left.
type Unsent struct {
	message
	Cause error
}

// Lost tells that the link ended before the generation did.
type Lost struct {
	message
	Cause error
}

// Gone tells that the endpoint doesn't know the generation any more.
type Gone struct{ message }

// Call is one request as it is sent to an endpoint.
type Call struct {
	Address    netip.AddrPort
	Endpoint   string
	Generation string
	Chat       bool
	Model      string
	Priority   int
	MaxTokens  int
	Body       []byte // the caller's JSON
	LeaseEnd   time.Time
}

// ResumeCall continues a generation from an offset.
type ResumeCall struct {
	Address  netip.AddrPort
	Origin   core.Origin
	Chat     bool
	From     uint64
	Response time.Duration
}

// Load is an endpoint's own report of its load; it lags.
type Load struct {
	Incarnation  core.Incarnation
	Running      int
	Waiting      int
	UsedTokens   int
	MemoryTokens int
	Step         time.Duration
	Preempted    int
}

// CacheEvent tells that an endpoint kept or dropped a prompt prefix.
type CacheEvent struct {
	Sequence int
	Prefix   uint64
	Dropped  bool
}

// Order is a fenced order to an endpoint.
type Order struct {
	Fence   core.Fence
	Action  string
	Subject string
}

// Worker speaks one engine protocol. Start and Resume tell what happens and
// return when the attempt ends or the context does; Guard closes the sink then.
// Cancel with onlyIdle leaves a generation that somebody reads.
type Worker interface {
	Start(ctx context.Context, c Call, sink chan<- Message)
	Resume(ctx context.Context, c ResumeCall, sink chan<- Message)
	Cancel(ctx context.Context, address netip.AddrPort, generation string, onlyIdle bool) error
	Load(ctx context.Context, address netip.AddrPort) (Load, error)
	CacheEvents(ctx context.Context, address netip.AddrPort, after int) ([]CacheEvent, error)
	Order(ctx context.Context, address netip.AddrPort, o Order) error
}
