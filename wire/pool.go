package wire

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout bounds one try to connect.
const dialTimeout = time.Second

// redialPause is how long a failed address is left alone.
const redialPause = 300 * time.Millisecond

// Pool keeps one connection to each address that is in use.
type Pool struct {
	handlers *Handlers
	mu       sync.Mutex
	slots    map[netip.AddrPort]*slot
}

// slot is an address's connection. Its lock is a channel: it is held while a
// connection is opened, which whoever waits for it may give up.
type slot struct {
	lock     chan struct{}
	conn     *Conn
	failedAt time.Time
	fault    error
}

// NewPool builds an empty pool.
func NewPool(handlers *Handlers) *Pool {
	return &Pool{
		handlers: handlers,
		slots:    make(map[netip.AddrPort]*slot),
	}
}

func (p *Pool) slot(address netip.AddrPort) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slots[address]
	if s == nil {
		s = &slot{lock: make(chan struct{}, 1)}
		p.slots[address] = s
	}
	return s
}

// Get gives the connection to an address and dials it if there is none.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	s := p.slot(address)
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for a connection that others open")
	}
	defer func() { <-s.lock }()
	if s.live() {
		return s.conn, nil
	}
	if s.fault != nil && time.Since(s.failedAt) < redialPause {
		return nil, s.fault
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s.conn, s.fault = Dial(ctx, address, p.handlers)
	if s.fault != nil {
		s.failedAt = time.Now()
	}
	return s.conn, s.fault
}

func (s *slot) live() bool {
	return s.conn != nil && !s.conn.IsClosed()
}

// Drop closes the connection to an address, as one that has stalled.
func (p *Pool) Drop(address netip.AddrPort) {
	s := p.slot(address)
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// Request calls a process by address; a call without an answer in time drops
// the connection, since a stalled link doesn't break by itself.
func Request[A Message](ctx context.Context, p *Pool, address netip.AddrPort, q Message) (A, error) {
	c, err := p.Get(ctx, address)
	if err != nil {
		var zero A
		return zero, err
	}
	answer, err := Call[A](ctx, c, q)
	if err != nil && ctx.Err() != nil {
		p.Drop(address)
	}
	return answer, err
}
