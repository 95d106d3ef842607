package gateway

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// crashCheck bounds the question whether an endpoint has ended: a process that
	// ended leaves a closed port, which answers within a round trip.
	crashCheck = 300 * time.Millisecond
	// crashKnown is how long an answer holds for all requests that broke off at one
	// endpoint; they notice it within some milliseconds of each other.
	crashKnown = time.Second
	// crashWait bounds how long a request that broke off waits for it, before it is
	// answered or sent again.
	crashWait = 50 * time.Millisecond
)

// digest gives the digest of what the request asks for: repeats of it have it too,
// at any box, although each has an id of its own.
func (p *passage) digest() core.Digest {
	return core.DigestOf(
		[]byte(p.customerName()),
		[]byte(p.request.Method),
		[]byte(p.request.Host),
		[]byte(p.request.RequestURI),
		p.body,
	)
}

// endings finds out which endpoints have ended, by asking each once for all requests
// that broke off there.
type endings struct {
	mu    sync.Mutex
	asked map[string]*ending
}

type ending struct {
	at    time.Time
	done  chan struct{}
	ended bool // set before done is closed
}

func newEndings() *endings { return &endings{asked: make(map[string]*ending)} }

// of tells whether an endpoint takes no connections any more. A connection that broke
// off says little: resets, faulty answers and links do it too.
func (e *endings) of(now time.Time, endpoint routing.Endpoint) bool {
	e.mu.Lock()
	one := e.asked[endpoint.ID]
	if one == nil || now.Sub(one.at) > crashKnown {
		one = &ending{
			at:   now,
			done: make(chan struct{}),
		}
		e.forget(now)
		e.asked[endpoint.ID] = one
		go one.ask(endpoint)
	}
	e.mu.Unlock()
	<-one.done
	return one.ended
}

func (e *endings) forget(now time.Time) {
	for id, one := range e.asked {
		if now.Sub(one.at) > crashKnown {
			delete(e.asked, id)
		}
	}
}

func (o *ending) ask(e routing.Endpoint) {
	defer close(o.done)
	c, err := net.DialTimeout("tcp", e.Address.String(), crashCheck)
	if err != nil {
		o.ended = true
		return
	}
	_ = c.Close()
}

// run is one send of a request, as far as its endpoint's end is to be told from it.
type run struct {
	endpoint routing.Endpoint
	sent     time.Time
	events   int
}

// lookAtEndpoint finds out whether the endpoint ended under the request: its connection
// broke off, and nobody planned that.
func (p *passage) lookAtEndpoint() {
	r := run{
		endpoint: p.endpoint,
		sent:     p.placedAt,
		events:   p.events,
	}
	if !p.couldEnd(r) {
		return
	}
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		if p.gateway.endings.of(time.Now(), r.endpoint) {
			p.endpointEnded(r)
		}
	}()
	select {
	case <-looked:
	case <-time.After(crashWait):
	}
}

// couldEnd tells whether a run that broke off could be why its endpoint ended, if it
// did. An endpoint that is known to leave ends as planned.
func (p *passage) couldEnd(r run) bool {
	if p.request.Context().Err() != nil {
		return false // the caller left
	}
	e, listed := p.gateway.view().Endpoint(r.endpoint.ID)
	return listed && !e.Leaving
}

func (p *passage) endpointEnded(r run) {
	p.gateway.counts.ends.Inc()
	p.note("endpoint ended under a request",
		zap.String("endpoint", r.endpoint.ID),
		zap.Stringer("content", p.content),
		zap.String("customer", p.customerName()),
		zap.Duration("after", time.Since(r.sent)),
		zap.Int("events", r.events),
	)
}
