package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// connectTimeout bounds a new connection; endpoints accept within
	// milliseconds, and an opening packet that was dropped comes again after a
	// second. connectElsewhere does so while another endpoint can take the request:
	// one that went without a word would hold each request placed there for a second.
	connectTimeout            = 1300 * time.Millisecond
	alternativeConnectTimeout = 250 * time.Millisecond
	// maxIdleTime is how long a connection rests at most; endpoints that say
	// nothing of their own limit close after some seconds.
	maxIdleTime = 4 * time.Second
	// closeMargin is kept to the time at which an endpoint closes a connection.
	closeMargin = 700 * time.Millisecond
	// maxIdlePerEndpoint bounds the resting connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// Pool keeps the connections to endpoints by incarnation; one that had any
// trouble never comes back into it.
type Pool struct {
	mu     sync.Mutex
	conns  map[string][]*endpointConn // resting, the last used last
	onOpen func()
}

// NewPool builds an empty pool; opened is called for each new connection.
func NewPool(onOpen func()) *Pool {
	return &Pool{
		conns:  make(map[string][]*endpointConn),
		onOpen: onOpen,
	}
}

// get gives a resting connection to an endpoint or opens one. A request that
// may run only once gets a connection that rested for a short time only, since
// the endpoint may be closing the others. Within bounds a new connection.
func (p *Pool) get(ctx context.Context, now time.Time, e routing.Endpoint, idle, timeout time.Duration) (*endpointConn, error) {
	for {
		l := p.popIdle(e.ID)
		if l == nil {
			break
		}
		if now.After(l.expiresAt) || now.Sub(l.idle) > idle || !l.isUsable() {
			_ = l.Close()
			continue
		}
		l.writtenBytes = 0
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", e.Address.String())
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
	l := all[len(all)-1]
	p.conns[id] = all[:len(all)-1]
	return l
}

// put takes a connection back after a whole exchange. Life is how long the
// endpoint keeps it open, or 0 when it didn't say.
func (p *Pool) put(now time.Time, id string, l *endpointConn, lifetime time.Duration) {
	if lifetime <= 0 || lifetime > maxIdleTime {
		lifetime = maxIdleTime
	}
	l.idle = now
	l.expiresAt = now.Add(lifetime - min(closeMargin, lifetime/2))
	l.isNew = false
	_ = l.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns[id]) >= maxIdlePerEndpoint {
		_ = l.Close()
		return
	}
	p.conns[id] = append(p.conns[id], l)
}

// Sweep closes connections that rested too long, and all those to endpoints
// that are not kept.
func (p *Pool) Sweep(now time.Time, keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, all := range p.conns {
		kept := all[:0]
		for _, l := range all {
			if now.After(l.expiresAt) || !keep(id) {
				_ = l.Close()
				continue
			}
			kept = append(kept, l)
		}
		p.conns[id] = kept
		if len(kept) == 0 {
			delete(p.conns, id)
		}
	}
}

// IdleConnections counts the connections in the pool.
func (p *Pool) IdleConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, all := range p.conns {
		n += len(all)
	}
	return n
}
