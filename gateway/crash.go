package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

// soundAfter is how long after its first event a run isn't why its endpoint ends: what
// ends an engine does so as it is read or with its first tokens, and most of the streams
// that an engine's end cuts are older.
const soundAfter = 5 * time.Second

// digest gives the digest of what the request asks for: repeats of it have it too,
// at any box, although each has an id of its own.
func (p *passage) digest() core.Digest {
	return core.NewDigest(
		[]byte(p.customerName()),
		[]byte(p.request.Method),
		[]byte(p.request.Host),
		[]byte(p.request.RequestURI),
		p.body,
	)
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

// lookAtEndpoint finds out whether the endpoint ended under the request, whose connection
// broke off, and waits a moment for the answer.
func (p *passage) lookAtEndpoint() {
	select {
	case <-p.lookAside():
	case <-time.After(engine.CrashProbeWait):
	}
}

// lookAside finds out the same beside the passage; done is closed when it is known.
func (p *passage) lookAside() (done <-chan struct{}) {
	looked := make(chan struct{})
	if p.request.Context().Err() != nil {
		close(looked) // the caller left
		return looked
	}
	r := p.currentRun()
	go func() {
		defer close(looked)
		p.look(r)
	}()
	return looked
}

// look asks the endpoint of a run whether it is there.
func (p *passage) look(r run) {
	if !p.couldEnd(r) {
		return
	}
	heardSince := func(at time.Time) bool { return p.gateway.spread.ActiveSince(at, r.endpoint.ID) }
	if sign, ended := p.gateway.presences.Crashed(r.endpoint.ID, r.endpoint.Address, heardSince); ended {
		p.endpointEnded(r, sign)
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

func (p *passage) endpointEnded(r run, sign engine.PortState) {
	p.gateway.counts.ends.Inc()
	p.note("endpoint crashed during a request",
		zap.String("endpoint", r.endpoint.ID),
		zap.String("port", string(sign)),
		zap.Stringer("content", p.content),
		zap.String("customer", p.customerName()),
		zap.Duration("after", time.Since(r.sent)),
		zap.Int("events", r.events),
	)
	p.gateway.quarantine.Crashed(time.Now(), p.content, r.endpoint.ID)
}

// quarantined tells whether no endpoint may get the request. Callers that repeat what
// ends engines cost all others there their streams: a summary that was repeated about
// once a second ended eleven of nine engines and their replacements in twelve seconds,
// and cut nine streams of others; with this, three engines (as the fleet's test plays it).
func (p *passage) quarantined() bool {
	_, held := p.gateway.quarantine.QuarantinedUntil(time.Now(), p.content)
	return held
}

// survived says that an endpoint ran the request and is still there.
func (p *passage) survived() {
	p.gateway.quarantine.RecordSuccess(time.Now(), p.content)
}

// releasedIn gives when the request may be sent again.
func (p *passage) releasedIn() time.Duration {
	now := time.Now()
	until, _ := p.gateway.quarantine.QuarantinedUntil(now, p.content)
	return max(until.Sub(now), time.Second).Round(time.Second)
}
