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
	// connectTime bounds a new connection; endpoints accept within
	// milliseconds, and an opening packet that was dropped comes again after a
	// second. connectElsewhere does so while another endpoint can take the request:
	// one that went without a word would hold each request placed there for a second.
	connectTime      = 1300 * time.Millisecond
	connectElsewhere = 250 * time.Millisecond
	// restTime is how long a connection rests at most; endpoints that say
	// nothing of their own limit close after some seconds.
	restTime = 4 * time.Second
	// closeMargin is kept to the time at which an endpoint closes a connection.
	closeMargin = 700 * time.Millisecond
	// mostResting bounds the resting connections to one endpoint.
	mostResting = 16
)

// Pool keeps the connections to endpoints by incarnation; one that had any
// trouble never comes back into it.
type Pool struct {
	mu     sync.Mutex
	links  map[string][]*link // resting, the last used last
	opened func()
}

// NewPool builds an empty pool; opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{
		links:  make(map[string][]*link),
		opened: opened,
	}
}

// get gives a resting connection to an endpoint or opens one. A request that
// may run only once gets a connection that rested for a short time only, since
// the endpoint may be closing the others. Within bounds a new connection.
func (p *Pool) get(ctx context.Context, now time.Time, e routing.Endpoint, rested, within time.Duration) (*link, error) {
	for {
		l := p.take(e.ID)
		if l == nil {
			break
		}
		if now.After(l.expires) || now.Sub(l.rested) > rested || !l.quiet() {
			_ = l.Close()
			continue
		}
		l.written = 0
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", e.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to endpoint "+e.ID)
	}
	p.opened()
	return newLink(c), nil
}

func (p *Pool) take(id string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.links[id]
	if len(all) == 0 {
		return nil
	}
	l := all[len(all)-1]
	p.links[id] = all[:len(all)-1]
	return l
}

// put takes a connection back after a whole exchange. Life is how long the
// endpoint keeps it open, or 0 when it didn't say.
func (p *Pool) put(now time.Time, id string, l *link, life time.Duration) {
	if life <= 0 || life > restTime {
		life = restTime
	}
	l.rested = now
	l.expires = now.Add(life - min(closeMargin, life/2))
	l.fresh = false
	_ = l.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links[id]) >= mostResting {
		_ = l.Close()
		return
	}
	p.links[id] = append(p.links[id], l)
}

// Sweep closes connections that rested too long, and all those to endpoints
// that are not kept.
func (p *Pool) Sweep(now time.Time, keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, all := range p.links {
		kept := all[:0]
		for _, l := range all {
			if now.After(l.expires) || !keep(id) {
				_ = l.Close()
				continue
			}
			kept = append(kept, l)
		}
		p.links[id] = kept
		if len(kept) == 0 {
			delete(p.links, id)
		}
	}
}

// Resting counts the connections in the pool.
func (p *Pool) Resting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, all := range p.links {
		n += len(all)
	}
	return n
}
