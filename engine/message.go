package engine

import (
	"context"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Message is an event of an attempt, as a worker reports it.
type Message interface{ isMessage() }

// message is embedded in each type of Message.
type message struct{}

func (message) isMessage() {}

// Opened reports that the endpoint accepted the request, and the endpoint's incarnation.
type Opened struct {
	message
	Incarnation core.Incarnation
}

// Token is one token of a generation.
type Token struct {
	message
	Origin core.Origin
	Offset uint64 // position in the generation, from 0
	Data   []byte // the endpoint's event, unchanged
}

// Finished is the end of a complete generation.
type Finished struct {
	message
	Origin core.Origin
	Offset uint64 // position after the last token
	Data   []byte // the endpoint's last event, unchanged
	Usage  Usage
}

// Usage holds the endpoint's counts for a complete generation.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	Preempted        int // number of preemptions
}

// Refused reports that the endpoint refused the request before starting it.
type Refused struct {
	message
	Status int
	Text   string
}

// Unsent reports that no byte of the request was sent.
type Unsent struct {
	message
	Cause error
}

// Lost reports that the connection ended before the generation did.
type Lost struct {
	message
	Cause error
}

// Gone reports that the endpoint no longer has the generation.
type Gone struct{ message }

// Call is a request to an endpoint.
type Call struct {
	Address    netip.AddrPort
	Endpoint   string
	Generation string
	Chat       bool
	Model      string
	Priority   int
	MaxTokens  int
	Body       []byte    // the caller's JSON
	LeaseEnd   time.Time // the request must not be sent later; zero for no limit
}

// ResumeCall continues a generation from an offset.
type ResumeCall struct {
	Address  netip.AddrPort
	Origin   core.Origin
	Chat     bool
	From     uint64
	Response time.Duration
}

// Load is an endpoint's load report. It lags behind the actual load.
type Load struct {
	Incarnation  core.Incarnation
	Running      int           // generations in the batch
	Waiting      int           // generations in the endpoint's queue
	UsedTokens   int           // memory in use
	MemoryTokens int           // size of the memory
	Step         time.Duration // duration of the last decoding step
	Preempted    int           // number of preemptions so far
}

// CacheEvent reports that an endpoint cached or dropped a prompt prefix.
type CacheEvent struct {
	Sequence int
	Prefix   uint64
	Dropped  bool
}

// Order is an order to an endpoint, with a fence that rejects orders of former owners.
type Order struct {
	Fence   core.Fence
	Action  string
	Subject string
}

// Worker speaks an engine protocol. Start and Resume send messages to the sink and return
// when the attempt ends or the context is done; WithPanicRecovery then closes the sink.
// Cancel with onlyIdle leaves a generation running if it has a reader.
type Worker interface {
	Start(ctx context.Context, c Call, sink chan<- Message)
	Resume(ctx context.Context, c ResumeCall, sink chan<- Message)
	Cancel(ctx context.Context, address netip.AddrPort, generation string, onlyIdle bool) error
	Load(ctx context.Context, address netip.AddrPort) (Load, error)
	CacheEvents(ctx context.Context, address netip.AddrPort, after int) ([]CacheEvent, error)
	Order(ctx context.Context, address netip.AddrPort, o Order) error
}
