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

// maxMessage bounds one message; a configuration document may be a megabyte.
const maxMessage = 4 << 20

// writeTimeout bounds one write, so that a link that stalls without breaking
// is given up.
const writeTimeout = 5 * time.Second

// RemoteError is a fault that the other side answered with.
type RemoteError struct {
	Fault string
}

// Error gives the other side's words.
func (e *RemoteError) Error() string { return "the other process answered: " + e.Fault }

// Conn is one connection between two processes.
type Conn struct {
	socket   *websocket.Conn
	remote   netip.AddrPort
	handlers *Handlers
	mu       sync.Mutex
	next     uint64
	pending  map[uint64]chan envelope
	closed   chan struct{}
	once     sync.Once
	began    time.Time
	progress atomic.Int64 // from then until bytes came last, in nanoseconds
}

func newConn(socket *websocket.Conn, remote netip.AddrPort, handlers *Handlers) *Conn {
	socket.SetReadLimit(maxMessage)
	return &Conn{
		socket:   socket,
		remote:   remote,
		began:    time.Now(),
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

// Remote gives the other side's address; the port is the one it listens on only
// where this side connected.
func (c *Conn) Remote() netip.AddrPort { return c.remote }

// Closed is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// IsClosed tells whether the connection has ended.
func (c *Conn) IsClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close ends the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
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
		c.handlers.traffic.received(len(data))
		e, err := open(data)
		if err != nil {
			return
		}
		c.handlers.onVers(c, e.Versions)
		c.dispatch(ctx, e)
	}
}

func (c *Conn) read(ctx context.Context) ([]byte, error) {
	_, message, err := c.socket.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(progressing{
		from: message,
		conn: c,
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
	waiting := c.pending[e.ID]
	delete(c.pending, e.ID)
	c.mu.Unlock()
	if waiting == nil {
		c.handlers.traffic.LateAnswers.Add(1)
		return
	}
	waiting <- e
}

func (c *Conn) handle(ctx context.Context, e envelope) {
	handle := c.handlers.byKind[e.Kind]
	if handle == nil {
		c.fault(ctx, e.ID, "no handler for "+e.Kind+"; use one release on all boxes")
		return
	}
	answer, err := handle(ctx, c, e.Body)
	if e.ID == 0 {
		return
	}
	if err != nil {
		c.fault(ctx, e.ID, err.Error())
		return
	}
	began := time.Now()
	size, err := c.write(ctx, envelope{
		ID:     e.ID,
		Answer: true,
	}, answer)
	if answer == nil {
		return // a pushed kind that came as a question
	}
	c.handlers.answered(SentAnswer{
		Conn:      c,
		Kind:      answer.Kind(),
		Bytes:     size,
		WriteTime: time.Since(began),
		Err:       err,
	})
}

func (c *Conn) fault(ctx context.Context, id uint64, text string) {
	if id == 0 {
		return
	}
	_, _ = c.write(ctx, envelope{
		ID:     id,
		Answer: true,
		Fault:  text,
	}, nil)
}

// write sends a message and gives its size in bytes.
func (c *Conn) write(ctx context.Context, e envelope, body Message) (int, error) {
	e.Versions = c.handlers.versions()
	data, err := seal(e, body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.handlers.traffic.sent(len(data))
	if err := c.socket.Write(ctx, websocket.MessageBinary, data); err != nil {
		c.Close()
		return len(data), errors.Wrap(err, "write to the other process")
	}
	return len(data), nil
}

// Push sends a message that gets no answer.
func (c *Conn) Push(ctx context.Context, m Message) error {
	_, err := c.write(ctx, envelope{}, m)
	return err
}

func (c *Conn) register() (uint64, chan envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	waiting := make(chan envelope, 1)
	c.pending[c.next] = waiting
	return c.next, waiting
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Call sends a request and waits for its answer.
func Call[A Message](ctx context.Context, c *Conn, q Message) (A, error) {
	var answer A
	id, waiting := c.register()
	if _, err := c.write(ctx, envelope{ID: id}, q); err != nil {
		c.forget(id)
		return answer, err
	}
	select {
	case e := <-waiting:
		if e.Fault != "" {
			return answer, &RemoteError{Fault: e.Fault}
		}
		return answer, errors.Wrap(cbor.Unmarshal(e.Body, &answer), "decode the answer to "+q.Kind())
	case <-ctx.Done():
		c.forget(id)
		return answer, errors.Wrap(ctx.Err(), "no answer to "+q.Kind())
	case <-c.closed:
		c.forget(id)
		return answer, errors.New("connection ended before the answer to " + q.Kind())
	}
}
