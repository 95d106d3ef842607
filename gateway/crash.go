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
	// staysOpen is how long an endpoint that is there leaves a new connection open at least;
	// what forwards to one that ended takes a connection and closes it at once.
	staysOpen = 30 * time.Millisecond
	// crashKnown is how long an answer holds for all requests that broke off at one
	// endpoint; they notice it within some milliseconds of each other.
	crashKnown = time.Second
	// soundAfter is how long after its first event a run isn't why its endpoint ends: what
	// ends an engine does so as it is read or with its first tokens, and most of the
	// streams that an engine's end cuts are older.
	soundAfter = 5 * time.Second
	// crashWait bounds how long a request that broke off waits for it, before it is
	// answered or sent again.
	crashWait = 60 * time.Millisecond
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
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(staysOpen))
	_, err = c.Read(make([]byte, 1))
	o.ended = err != nil && !isTimeout(err)
}

// run is one send of a request, as far as its endpoint's end is to be told from it.
type run struct {
	endpoint routing.Endpoint
	sent     time.Time
	events   int
	began    time.Time // when its first event came; zero before
}

// currentRun gives the request's send that is under way.
func (p *passage) currentRun() run {
	return run{
		endpoint: p.endpoint,
		sent:     p.placedAt,
		events:   p.events,
		began:    p.ranFrom,
	}
}

// lookAtEndpoint finds out whether the endpoint ended under the request: its connection
// broke off, and nobody planned that.
func (p *passage) lookAtEndpoint() {
	if p.request.Context().Err() != nil {
		return // the caller left
	}
	looked := make(chan struct{})
	r := p.currentRun()
	go func() {
		defer close(looked)
		p.look(r)
	}()
	select {
	case <-looked:
	case <-time.After(crashWait):
	}
}

// look asks the endpoint of a run whether it is there.
func (p *passage) look(r run) {
	if p.couldEnd(r) && p.gateway.endings.of(time.Now(), r.endpoint) {
		p.endpointEnded(r)
	}
}

// couldEnd tells whether a run that broke off could be why its endpoint ended, if it
// did. An endpoint that is known to leave ends as planned.
func (p *passage) couldEnd(r run) bool {
	if !r.began.IsZero() && time.Since(r.began) > soundAfter {
		return false
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
	p.gateway.quarantine.Ended(time.Now(), p.content, r.endpoint.ID)
}

// quarantined tells whether no endpoint may get the request. Callers that repeat what
// ends engines cost all others there their streams: a summary that was repeated about
// once a second ended eleven of nine engines and their replacements in twelve seconds,
// and cut nine streams of others; with this, three engines (as the fleet's test plays it).
func (p *passage) quarantined() bool {
	_, held := p.gateway.quarantine.Held(time.Now(), p.content)
	return held
}

// survived says that an endpoint ran the request and is still there.
func (p *passage) survived() {
	p.gateway.quarantine.Survived(time.Now(), p.content)
}

// releasedIn gives when the request may be sent again.
func (p *passage) releasedIn() time.Duration {
	now := time.Now()
	until, _ := p.gateway.quarantine.Held(now, p.content)
	return max(until.Sub(now), time.Second).Round(time.Second)
}
