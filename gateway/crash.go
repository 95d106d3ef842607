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
	// lookAgain is after how long an endpoint whose port isn't closed is asked again: one
	// that is crowded gives other answers meanwhile. Without it, six to nineteen requests a
	// day counted ends that were none, on days with twelve times the callers.
	lookAgain = 400 * time.Millisecond
	// askTogether is how long one question stands for all requests that broke off at an
	// endpoint; they notice it within some milliseconds of each other.
	askTogether = 20 * time.Millisecond
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

// presence is what an endpoint's port says of whether it is there.
type presence string

// The presences. A closed port is that of a process that ended. Connections that are closed
// or not answered may also be those of an endpoint that is crowded or cut off, or of what
// forwards to one.
const (
	present presence = "present"
	refuses presence = "refuses connections"
	closes  presence = "closes connections"
	silent  presence = "silent"
)

// presences finds out whether endpoints are there, by asking each once for all requests
// that broke off there together.
type presences struct {
	mu    sync.Mutex
	asked map[string]*question
}

type question struct {
	at     time.Time
	done   chan struct{}
	answer presence // set before done is closed
}

func newPresences() *presences { return &presences{asked: make(map[string]*question)} }

// of asks for a connection. One that broke off says little: resets, faulty answers and
// links do it too.
func (p *presences) of(now time.Time, endpoint routing.Endpoint) presence {
	q := p.question(now, endpoint)
	<-q.done
	return q.answer
}

func (p *presences) question(now time.Time, endpoint routing.Endpoint) *question {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, q := range p.asked {
		if now.Sub(q.at) > askTogether {
			delete(p.asked, id)
		}
	}
	if q := p.asked[endpoint.ID]; q != nil {
		return q
	}
	q := &question{
		at:   now,
		done: make(chan struct{}),
	}
	p.asked[endpoint.ID] = q
	go q.ask(endpoint)
	return q
}

func (q *question) ask(e routing.Endpoint) {
	defer close(q.done)
	c, err := net.DialTimeout("tcp", e.Address.String(), crashCheck)
	if err != nil {
		q.answer = refuses
		if isTimeout(err) {
			q.answer = silent
		}
		return
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(staysOpen))
	_, err = c.Read(make([]byte, 1))
	q.answer = present
	if err != nil && !isTimeout(err) {
		q.answer = closes
	}
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
	if !p.couldEnd(r) {
		return
	}
	asked := time.Now()
	answer := p.gateway.presences.of(asked, r.endpoint)
	if answer != refuses && answer != present {
		time.Sleep(lookAgain)
		if p.gateway.spread.HeardSince(asked, r.endpoint.ID) {
			return
		}
		answer = p.gateway.presences.of(time.Now(), r.endpoint)
	}
	if answer != present {
		p.endpointEnded(r, answer)
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

func (p *passage) endpointEnded(r run, answer presence) {
	p.gateway.counts.ends.Inc()
	p.note("endpoint ended under a request",
		zap.String("endpoint", r.endpoint.ID),
		zap.String("port", string(answer)),
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
