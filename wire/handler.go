package wire

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

type handler func(ctx context.Context, c *Conn, body cbor.RawMessage) (Message, error)

// Handlers says what to do with each kind of message.
type Handlers struct {
	byKind   map[string]handler
	onVers   func(c *Conn, v Versions)
	versions func() Versions
	traffic  *Traffic
	answered func(SentAnswer)
	network  Network
	client   *http.Client // opens connections over the network
}

// SentAnswer is an answer that was handed to its connection, or couldn't be.
type SentAnswer struct {
	Conn      *Conn
	Kind      string
	Bytes     int
	WriteTime time.Duration // until the connection had taken all of it
	Err       error
}

// HandlersOption changes how handlers are built.
type HandlersOption func(*Handlers)

// WithVersions gives the versions to put on each message.
func WithVersions(current func() Versions) HandlersOption {
	return func(h *Handlers) { h.versions = current }
}

// WithOnVersions is called with the versions on each received message.
func WithOnVersions(seen func(c *Conn, v Versions)) HandlersOption {
	return func(h *Handlers) { h.onVers = seen }
}

// WithOnAnswerSent is called after each answer.
func WithOnAnswerSent(onAnswered func(SentAnswer)) HandlersOption {
	return func(h *Handlers) { h.answered = onAnswered }
}

// WithNetwork gives what connections run over; without it, the operating system's.
func WithNetwork(n Network) HandlersOption {
	return func(h *Handlers) { h.network = n }
}

// NewHandlers builds an empty table.
func NewHandlers(options ...HandlersOption) *Handlers {
	h := &Handlers{
		byKind:   make(map[string]handler),
		onVers:   func(*Conn, Versions) {},
		versions: func() Versions { return Versions{} },
		traffic:  &Traffic{},
		answered: func(SentAnswer) {},
		network:  TCPNetwork{},
	}
	for _, o := range options {
		o(h)
	}
	h.client = clientOf(h.network)
	return h
}

// Traffic gives the counters of all connections with these handlers.
func (h *Handlers) Traffic() *Traffic { return h.traffic }

// HandleRequest registers what answers requests of the kind Q.
func HandleRequest[Q, A Message](h *Handlers, answer func(ctx context.Context, c *Conn, q Q) (A, error)) {
	var zero Q
	h.byKind[zero.Kind()] = func(ctx context.Context, c *Conn, body cbor.RawMessage) (Message, error) {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, errors.Wrap(err, "decode "+zero.Kind())
		}
		return answer(ctx, c, q)
	}
}

// HandlePush registers what takes pushes of the kind M, which get no answer.
func HandlePush[M Message](h *Handlers, take func(ctx context.Context, c *Conn, m M)) {
	var zero M
	h.byKind[zero.Kind()] = func(ctx context.Context, c *Conn, body cbor.RawMessage) (Message, error) {
		var m M
		if err := cbor.Unmarshal(body, &m); err != nil {
			return nil, errors.Wrap(err, "decode "+zero.Kind())
		}
		take(ctx, c, m)
		return nil, nil
	}
}
