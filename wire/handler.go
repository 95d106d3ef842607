package wire

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

type handler func(ctx context.Context, c *Conn, body cbor.RawMessage) (Message, error)

// Handlers holds the handler of each kind of message and the options of its connections.
type Handlers struct {
	byKind       map[string]handler
	onVersions   func(c *Conn, v Versions)
	versions     func() Versions
	traffic      *Traffic
	onAnswerSent func(SentAnswer)
	network      Network
	client       *http.Client // dials WebSocket connections over network
	http         http.Handler // serves requests that open no WebSocket connection; nil for none
}

// SentAnswer describes an answer that was written to its connection, or failed to be.
type SentAnswer struct {
	Conn      *Conn
	Kind      string
	Bytes     int
	WriteTime time.Duration // how long the write to the connection took
	Err       error
}

// HandlersOption configures Handlers.
type HandlersOption func(*Handlers)

// WithVersions sets the function that returns the versions to send with each message.
func WithVersions(current func() Versions) HandlersOption {
	return func(h *Handlers) { h.versions = current }
}

// WithOnVersions sets a callback for the versions in each received message.
func WithOnVersions(callback func(c *Conn, v Versions)) HandlersOption {
	return func(h *Handlers) { h.onVersions = callback }
}

// WithOnAnswerSent sets a callback that runs after each answer has been written or has failed.
func WithOnAnswerSent(callback func(SentAnswer)) HandlersOption {
	return func(h *Handlers) { h.onAnswerSent = callback }
}

// WithNetwork sets the network for connections. The default is TCPNetwork.
func WithNetwork(n Network) HandlersOption {
	return func(h *Handlers) { h.network = n }
}

// WithHTTPHandler sets a handler for the HTTP requests that don't open a connection for messages.
func WithHTTPHandler(handler http.Handler) HandlersOption {
	return func(h *Handlers) { h.http = handler }
}

// NewHandlers returns Handlers without any registered handler.
func NewHandlers(options ...HandlersOption) *Handlers {
	h := &Handlers{
		byKind:       make(map[string]handler),
		onVersions:   func(*Conn, Versions) {},
		versions:     func() Versions { return Versions{} },
		traffic:      &Traffic{},
		onAnswerSent: func(SentAnswer) {},
		network:      TCPNetwork{},
	}
	for _, o := range options {
		o(h)
	}
	h.client = newHTTPClient(h.network)
	return h
}

// Traffic returns the traffic counters of all connections that use these handlers.
func (h *Handlers) Traffic() *Traffic { return h.traffic }

// HandleRequest registers the handler for requests of type Q, which returns their answer.
func HandleRequest[Q, A Message](h *Handlers, handle func(ctx context.Context, c *Conn, q Q) (A, error)) {
	var zero Q
	h.byKind[zero.Kind()] = func(ctx context.Context, c *Conn, body cbor.RawMessage) (Message, error) {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, errors.Wrap(err, "decode "+zero.Kind())
		}
		return handle(ctx, c, q)
	}
}

// HandlePush registers the handler for pushes of type M, which get no answer.
func HandlePush[M Message](h *Handlers, handle func(ctx context.Context, c *Conn, m M)) {
	var zero M
	h.byKind[zero.Kind()] = func(ctx context.Context, c *Conn, body cbor.RawMessage) (Message, error) {
		var m M
		if err := cbor.Unmarshal(body, &m); err != nil {
			return nil, errors.Wrap(err, "decode "+zero.Kind())
		}
		handle(ctx, c, m)
		return nil, nil
	}
}
