package wire

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxMessageBytes limits the size of one message. A configuration document may reach one megabyte.
const maxMessageBytes = 4 << 20

// writeTimeout limits one write, so that a stalled connection is closed.
const writeTimeout = 5 * time.Second

// RemoteError is an error that the remote process returned as its answer.
type RemoteError struct {
	Fault string
}

// Error implements the error interface.
func (e *RemoteError) Error() string { return "remote process returned an error: " + e.Fault }

// Conn is a connection between two processes. Both sides can send requests over it.
type Conn struct {
	socket        *websocket.Conn
	remote        netip.AddrPort
	handlers      *Handlers
	mu            sync.Mutex
	lastID        uint64
	pending       map[uint64]chan envelope
	closed        chan struct{}
	closeOnce     sync.Once
	openedAt      time.Time
	lastReadNanos atomic.Int64 // time of the last read, in nanoseconds since openedAt
}

func newConn(socket *websocket.Conn, remote netip.AddrPort, handlers *Handlers) *Conn {
	socket.SetReadLimit(maxMessageBytes)
	return &Conn{
		socket:   socket,
		remote:   remote,
		openedAt: time.Now(),
		handlers: handlers,
		pending:  make(map[uint64]chan envelope),
		closed:   make(chan struct{}),
	}
}

// Dial connects to another process and serves its requests in the background.
func Dial(ctx context.Context, address netip.AddrPort, handlers *Handlers) (*Conn, error) {
	socket, _, err := websocket.Dial(ctx, "ws://"+address.String()+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
		HTTPClient:      handlers.client,
	})
	if err != nil {
		return nil, errors.Wrap(err, "connect to "+address.String())
	}
	c := newConn(socket, address, handlers)
	go c.serve(context.WithoutCancel(ctx))
	return c, nil
}

// Remote returns the address of the remote process. Its port is the remote listening port
// only if this side dialed.
func (c *Conn) Remote() netip.AddrPort { return c.remote }

// Closed returns a channel that is closed when the connection ends.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// IsClosed reports whether the connection has ended.
func (c *Conn) IsClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.socket.CloseNow()
	})
}

func (c *Conn) serve(ctx context.Context) {
	defer c.Close()
	for {
		data, err := c.read(ctx)
		if err != nil {
			return
		}
		c.handlers.traffic.countReceived(len(data))
		e, err := decodeEnvelope(data)
		if err != nil {
			return
		}
		c.handlers.onVersions(c, e.Versions)
		c.dispatch(ctx, e)
	}
}

func (c *Conn) read(ctx context.Context) ([]byte, error) {
	_, message, err := c.socket.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(progressReader{
		source: message,
		conn:   c,
	})
}

func (c *Conn) dispatch(ctx context.Context, e envelope) {
	if e.Answer {
		c.deliver(e)
		return
	}
	if e.ID == 0 {
		c.handle(ctx, e)
		return
	}
	go c.handle(ctx, e)
}

func (c *Conn) deliver(e envelope) {
	c.mu.Lock()
	answers := c.pending[e.ID]
	delete(c.pending, e.ID)
	c.mu.Unlock()
	if answers == nil {
		c.handlers.traffic.LateAnswers.Add(1)
		return
	}
	answers <- e
}

func (c *Conn) handle(ctx context.Context, e envelope) {
	handle := c.handlers.byKind[e.Kind]
	if handle == nil {
		c.sendFault(ctx, e.ID, "no handler for "+e.Kind+"; use one release on all boxes")
		return
	}
	answer, err := handle(ctx, c, e.Body)
	if e.ID == 0 {
		return
	}
	if err != nil {
		c.sendFault(ctx, e.ID, err.Error())
		return
	}
	began := time.Now()
	size, err := c.write(ctx, envelope{
		ID:     e.ID,
		Answer: true,
	}, answer)
	if answer == nil {
		return // a request whose kind is registered as a push has no answer body
	}
	c.handlers.onAnswerSent(SentAnswer{
		Conn:      c,
		Kind:      answer.Kind(),
		Bytes:     size,
		WriteTime: time.Since(began),
		Err:       err,
	})
}

func (c *Conn) sendFault(ctx context.Context, id uint64, text string) {
	if id == 0 {
		return
	}
	_, _ = c.write(ctx, envelope{
		ID:     id,
		Answer: true,
		Fault:  text,
	}, nil)
}

// write sends a message and returns its encoded size in bytes.
func (c *Conn) write(ctx context.Context, e envelope, body Message) (int, error) {
	e.Versions = c.handlers.versions()
	data, err := encodeEnvelope(e, body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.handlers.traffic.countSent(len(data))
	if err := c.socket.Write(ctx, websocket.MessageBinary, data); err != nil {
		c.Close()
		return len(data), errors.Wrap(err, "write to remote process")
	}
	return len(data), nil
}

// Push sends a message that needs no answer.
func (c *Conn) Push(ctx context.Context, m Message) error {
	_, err := c.write(ctx, envelope{}, m)
	return err
}

func (c *Conn) register() (uint64, chan envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	answers := make(chan envelope, 1)
	c.pending[c.lastID] = answers
	return c.lastID, answers
}

func (c *Conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Call sends a request and waits for its answer.
func Call[A Message](ctx context.Context, c *Conn, request Message) (A, error) {
	var answer A
	id, answers := c.register()
	if _, err := c.write(ctx, envelope{ID: id}, request); err != nil {
		c.removePending(id)
		return answer, err
	}
	select {
	case e := <-answers:
		if e.Fault != "" {
			return answer, &RemoteError{Fault: e.Fault}
		}
		return answer, errors.Wrap(cbor.Unmarshal(e.Body, &answer), "decode answer to "+request.Kind())
	case <-ctx.Done():
		c.removePending(id)
		return answer, errors.Wrap(ctx.Err(), "no answer to "+request.Kind())
	case <-c.closed:
		c.removePending(id)
		return answer, errors.New("connection closed before the answer to " + request.Kind())
	}
}
