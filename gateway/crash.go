package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

// crashWindow is how long after its first event a run isn't why its endpoint ends: what
// ends an engine does so as it is read or with its first tokens, and most of the streams
// that an engine's end cuts are older.
const crashWindow = 5 * time.Second

// computeDigest gives the digest of what the request asks for: repeats of it have it too,
// at any box, although each has an id of its own.
func (p *proxiedRequest) computeDigest() core.Digest {
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
	endpoint     routing.Endpoint
	sentAt       time.Time
	events       int
	firstEventAt time.Time // when its first event came; zero before
}

// currentRun gives the request's send that is under way.
func (p *proxiedRequest) currentRun() run {
	return run{
		endpoint:     p.endpoint,
		sentAt:       p.placedAt,
		events:       p.events,
		firstEventAt: p.runFirstEventAt,
	}
}

// awaitEndpointCheck finds out whether the endpoint ended under the request, whose connection
// broke off, and waits a moment for the answer.
func (p *proxiedRequest) awaitEndpointCheck() {
	select {
	case <-p.startEndpointCheck():
	case <-time.After(engine.EndPatience):
	}
}

// startEndpointCheck finds out the same beside the passage; done is closed when it is known.
func (p *proxiedRequest) startEndpointCheck() (done <-chan struct{}) {
	checked := make(chan struct{})
	if p.request.Context().Err() != nil {
		close(checked) // the caller left
		return checked
	}
	r := p.currentRun()
	go func() {
		defer close(checked)
		p.checkEndpoint(r)
	}()
	return checked
}

// checkEndpoint asks the endpoint of a run whether it is there.
func (p *proxiedRequest) checkEndpoint(r run) {
	if !p.mayHaveCrashed(r) {
		return
	}
	heardSince := func(at time.Time) bool { return p.gateway.spread.ActiveSince(at, r.endpoint.ID) }
	if presence, crashed := p.gateway.presences.Ended(r.endpoint.ID, r.endpoint.Address, heardSince); crashed {
		p.recordCrash(r, presence)
	}
}

// mayHaveCrashed tells whether a run that broke off could be why its endpoint ended, if it
// did. An endpoint that is known to leave ends as planned.
func (p *proxiedRequest) mayHaveCrashed(r run) bool {
	if !r.firstEventAt.IsZero() && time.Since(r.firstEventAt) > crashWindow {
		return false
	}
	e, listed := p.gateway.view().Endpoint(r.endpoint.ID)
	return listed && !e.Leaving
}

func (p *proxiedRequest) recordCrash(r run, presence engine.Presence) {
	p.gateway.counters.crashes.Inc()
	p.logAsync("endpoint crashed during a request",
		zap.String("endpoint", r.endpoint.ID),
		zap.String("port", string(presence)),
		zap.Stringer("content", p.contentDigest),
		zap.String("customer", p.customerName()),
		zap.Duration("after", time.Since(r.sentAt)),
		zap.Int("events", r.events),
	)
	p.gateway.quarantine.Ended(time.Now(), p.contentDigest, r.endpoint.ID)
}

// isQuarantined tells whether no endpoint may get the request. Callers that repeat what
// ends engines cost all others there their streams: a summary that was repeated about
// once a second ended eleven of nine engines and their replacements in twelve seconds,
// and cut nine streams of others; with this, three engines (as the fleet's test plays it).
func (p *proxiedRequest) isQuarantined() bool {
	_, held := p.gateway.quarantine.Held(time.Now(), p.contentDigest)
	return held
}

// recordSuccess says that an endpoint ran the request and is still there.
func (p *proxiedRequest) recordSuccess() {
	p.gateway.quarantine.Survived(time.Now(), p.contentDigest)
}

// quarantineRemaining gives when the request may be sent again.
func (p *proxiedRequest) quarantineRemaining() time.Duration {
	now := time.Now()
	until, _ := p.gateway.quarantine.Held(now, p.contentDigest)
	return max(until.Sub(now), time.Second).Round(time.Second)
}
