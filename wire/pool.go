package wire

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout limits one dial attempt.
const dialTimeout = time.Second

// redialDelay is how long after a failed dial the address is not dialed again.
const redialDelay = 300 * time.Millisecond

// Pool keeps at most one connection per remote address.
type Pool struct {
	handlers *Handlers
	mu       sync.Mutex
	conns    map[netip.AddrPort]*pooledConn
}

// pooledConn holds the connection to one address. sem is held during a dial; it is a channel
// so that callers can stop waiting for it when their context ends.
type pooledConn struct {
	sem      chan struct{}
	conn     *Conn
	failedAt time.Time
	dialErr  error
}

// NewPool returns an empty pool.
func NewPool(handlers *Handlers) *Pool {
	return &Pool{
		handlers: handlers,
		conns:    make(map[netip.AddrPort]*pooledConn),
	}
}

func (p *Pool) pooledConn(address netip.AddrPort) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.conns[address]
	if s == nil {
		s = &pooledConn{sem: make(chan struct{}, 1)}
		p.conns[address] = s
	}
	return s
}

// Get returns the connection to an address and dials it if there is none.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	s := p.pooledConn(address)
	select {
	case s.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for another caller's dial")
	}
	defer func() { <-s.sem }()
	if s.isOpen() {
		return s.conn, nil
	}
	if s.dialErr != nil && time.Since(s.failedAt) < redialDelay {
		return nil, s.dialErr
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s.conn, s.dialErr = Dial(ctx, address, p.handlers)
	if s.dialErr != nil {
		s.failedAt = time.Now()
	}
	return s.conn, s.dialErr
}

func (s *pooledConn) isOpen() bool {
	return s.conn != nil && !s.conn.IsClosed()
}

// Drop closes the connection to an address, for example after it has stalled.
func (p *Pool) Drop(address netip.AddrPort) {
	s := p.pooledConn(address)
	s.sem <- struct{}{}
	defer func() { <-s.sem }()
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// Request sends a request to an address and waits for its answer. If the context ends first,
// the connection is closed, because a stalled connection reports no error.
func Request[A Message](ctx context.Context, p *Pool, address netip.AddrPort, request Message) (A, error) {
	c, err := p.Get(ctx, address)
	if err != nil {
		var zero A
		return zero, err
	}
	answer, err := Call[A](ctx, c, request)
	if err != nil && ctx.Err() != nil {
		p.Drop(address)
	}
	return answer, err
}
