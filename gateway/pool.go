package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// connectTimeout bounds a new connection; it leaves time for one retransmission of
	// the SYN, after 1 s.
	connectTimeout = 1300 * time.Millisecond
	// alternativeConnectTimeout is the same if another endpoint can take the request. With
	// connectTimeout, an endpoint that vanished would delay each request by over a second.
	alternativeConnectTimeout = 250 * time.Millisecond
	// maxIdleTime is how long a connection may be idle; endpoints that send no Keep-Alive
	// timeout close idle connections after a few seconds.
	maxIdleTime = 4 * time.Second
	// closeMargin is how long before the endpoint's Keep-Alive timeout a connection expires.
	closeMargin = 700 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// Pool holds idle connections to endpoints, by incarnation. A connection on which anything
// failed is closed and never returned to it.
type Pool struct {
	mu     sync.Mutex
	conns  map[string][]*endpointConn // idle ones, by endpoint ID, the last used last
	onOpen func()
	dial   engine.DialFunc
}

// NewPool returns an empty pool that connects by dial; onOpen is called for each new connection.
func NewPool(dial engine.DialFunc, onOpen func()) *Pool {
	return &Pool{
		conns:  make(map[string][]*endpointConn),
		onOpen: onOpen,
		dial:   dial,
	}
}

// get returns a connection to an endpoint that was idle for at most the given time, or opens
// one within timeout. Requests that must run only once should allow a short idle time: the
// endpoint may be closing a connection that was idle for longer.
func (p *Pool) get(ctx context.Context, now time.Time, e routing.Endpoint, idle, timeout time.Duration) (*endpointConn, error) {
	for {
		conn := p.popIdle(e.ID)
		if conn == nil {
			break
		}
		if now.After(conn.expiresAt) || now.Sub(conn.idle) > idle || !conn.isUsable() {
			_ = conn.Close()
			continue
		}
		conn.writtenBytes = 0
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.dial(ctx, e.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to endpoint "+e.ID)
	}
	p.onOpen()
	return newEndpointConn(c), nil
}

func (p *Pool) popIdle(id string) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.conns[id]
	if len(all) == 0 {
		return nil
	}
	conn := all[len(all)-1]
	p.conns[id] = all[:len(all)-1]
	return conn
}

// put returns a connection to the pool after a complete exchange. lifetime is the endpoint's
// Keep-Alive timeout, or 0 without one.
func (p *Pool) put(now time.Time, id string, conn *endpointConn, lifetime time.Duration) {
	if lifetime <= 0 || lifetime > maxIdleTime {
		lifetime = maxIdleTime
	}
	conn.idle = now
	conn.expiresAt = now.Add(lifetime - min(closeMargin, lifetime/2))
	conn.isNew = false
	_ = conn.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns[id]) >= maxIdlePerEndpoint {
		_ = conn.Close()
		return
	}
	p.conns[id] = append(p.conns[id], conn)
}

// Sweep closes expired connections and those to endpoints for which keep returns false.
func (p *Pool) Sweep(now time.Time, keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, all := range p.conns {
		kept := all[:0]
		for _, conn := range all {
			if now.After(conn.expiresAt) || !keep(id) {
				_ = conn.Close()
				continue
			}
			kept = append(kept, conn)
		}
		p.conns[id] = kept
		if len(kept) == 0 {
			delete(p.conns, id)
		}
	}
}

// IdleConnections returns the number of connections in the pool.
func (p *Pool) IdleConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, all := range p.conns {
		n += len(all)
	}
	return n
}
