package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

// crashWindow is how long after its first event a run still counts as a possible cause of
// its endpoint's crash. Requests that crash an engine do so while their prompt is read or
// with their first tokens.
const crashWindow = 5 * time.Second

// maxBeginning is how long after its first event a run counts as beginning. Parts of prompts that
// crash an engine do so when it begins to write; a run that outlasts this shows that the prompt's
// parts are sound.
const maxBeginning = time.Second

// computeDigest returns the digest of the request's customer, method, URI and body, which
// its repeats share at all boxes, although each has an ID of its own.
func (p *proxiedRequest) computeDigest() core.Digest {
	return core.NewDigest(
		[]byte(p.customerName()),
		[]byte(p.request.Method),
		[]byte(p.request.Host),
		[]byte(p.request.RequestURI),
		p.body,
	)
}

// run is one send of a request, with what is needed to attribute a crash to it.
type run struct {
	prompt       core.Prompt
	endpoint     routing.Endpoint
	sentAt       time.Time
	events       int
	firstEventAt time.Time // zero before the first event
	brokenAt     time.Time
}

// wasBeginning reports whether the run had not written, or only for a short time.
func (r run) wasBeginning() bool {
	return r.firstEventAt.IsZero() || r.brokenAt.Sub(r.firstEventAt) < maxBeginning
}

// currentRun returns the request's send that just broke off.
func (p *proxiedRequest) currentRun() run {
	return run{
		prompt:       p.prompt(),
		endpoint:     p.endpoint,
		sentAt:       p.placedAt,
		events:       p.events,
		firstEventAt: p.runFirstEventAt,
		brokenAt:     time.Now(),
	}
}

// awaitEndpointCheck checks whether the endpoint crashed and waits for the result, up to
// engine.CrashProbeWait.
func (p *proxiedRequest) awaitEndpointCheck() {
	select {
	case <-p.startEndpointCheck():
	case <-time.After(engine.CrashProbeWait):
	}
}

// startEndpointCheck checks in the background whether the endpoint crashed, and closes done
// when the result is recorded.
func (p *proxiedRequest) startEndpointCheck() (done <-chan struct{}) {
	checked := make(chan struct{})
	if p.ctx.Err() != nil {
		close(checked) // the caller left, or the box ends
		return checked
	}
	r := p.currentRun()
	go func() {
		defer close(checked)
		p.checkEndpoint(r)
	}()
	return checked
}

// checkEndpoint checks whether the endpoint of a run still listens, and records a crash if not.
func (p *proxiedRequest) checkEndpoint(r run) {
	if !r.firstEventAt.IsZero() && time.Since(r.firstEventAt) > crashWindow {
		return
	}
	portState, crashed := p.probeEndpoint(r.endpoint)
	if crashed && !p.gateway.isPathLost(r.endpoint.Service) {
		p.recordCrash(r, portState)
	}
}

// probeEndpoint returns the state of an endpoint's port, and whether that shows that the endpoint
// crashed. An endpoint that is known to leave has ended as planned, and isn't probed.
func (p *proxiedRequest) probeEndpoint(e routing.Endpoint) (engine.PortState, bool) {
	if listed, ok := p.gateway.view().Endpoint(e.ID); !ok || listed.Leaving {
		return engine.PortOpen, false
	}
	portState, ended := p.gateway.probePort(e)
	if ended {
		p.gateway.recordUnreachable(e, portState.Err())
	}
	return portState, ended
}

// probePort returns the state of an endpoint's port, and whether that shows that the endpoint has
// ended, as planned or by a crash.
func (g *Gateway) probePort(e routing.Endpoint) (engine.PortState, bool) {
	return g.crashProber.Crashed(e.ID, e.Address, func(at time.Time) bool { return g.balancer.ActiveSince(at, e.ID) })
}

// mayBeCut reports whether an answer that ended may not be whole. The connection of an answer
// without a length or chunks ends in the same way when its endpoint ends, also as planned, or when its
// run is stopped for a move, and may do so when it is reset.
func (p *proxiedRequest) mayBeCut(a *answer) bool {
	if !a.endsWithConnection(p.request.Method) {
		return false
	}
	if isEventStream(a.head) && p.events == 0 {
		return true
	}
	if p.wasStopped() || !p.hasOrderlyEnd(a) {
		return true
	}
	ended := make(chan bool, 1)
	endpoint := p.endpoint
	go func() {
		_, hasEnded := p.gateway.probePort(endpoint)
		ended <- hasEnded
	}()
	select {
	case hasEnded := <-ended:
		return hasEnded
	case <-p.ctx.Done():
		return true
	}
}

func (p *proxiedRequest) recordCrash(r run, portState engine.PortState) {
	p.gateway.counters.crashes.Inc()
	p.logAsync("endpoint crashed during a request",
		zap.String("endpoint", r.endpoint.ID),
		zap.String("port", string(portState)),
		zap.Stringer("content", r.prompt.Content),
		zap.Strings("shared_parts", p.loggedParts()),
		zap.Int("prompt_tokens", p.inbound.PromptTokens),
		zap.String("customer", p.customerName()),
		zap.Duration("after", time.Since(r.sentAt)),
		zap.Int("events", r.events),
	)
	now := time.Now()
	p.gateway.quarantine.Crashed(now, r.prompt.Content, r.endpoint.ID)
	// Silent endpoints may be many behind one lost path, and are noticed at different times.
	if r.wasBeginning() && portState != engine.PortSilent {
		p.gateway.partQuarantine.Crashed(now, r.prompt, r.endpoint.ID, r.brokenAt.Sub(r.sentAt))
	}
}

// prompt returns what the quarantine of prompt parts takes into account of the request.
func (p *proxiedRequest) prompt() core.Prompt {
	return core.Prompt{
		Service: p.service.Name,
		Parts:   p.inbound.SharedParts,
		Content: p.contentDigest,
	}
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the prompt's shared parts for a log line.
func (p *proxiedRequest) loggedParts() []string {
	parts := p.inbound.SharedParts[:min(len(p.inbound.SharedParts), maxLoggedParts)]
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.String())
	}
	return ids
}

// quarantine is why a request must not be sent to any endpoint.
type quarantine struct {
	until time.Time
	part  core.PartID // the part of the prompt at which endpoints crash
	whole bool        // they crash at the request itself, and part isn't set
}

// findQuarantine returns the quarantine that the request is in, and whether there is one. Callers
// that repeat such a request, or send others with the same part in their prompts, would crash one
// endpoint after the other, and cut the streams of others there.
func (p *proxiedRequest) findQuarantine() (quarantine, bool) {
	now := time.Now()
	if until, held := p.gateway.quarantine.QuarantinedUntil(now, p.contentDigest); held {
		return quarantine{
			until: until,
			whole: true,
		}, true
	}
	hold, held := p.gateway.partQuarantine.Check(now, p.prompt())
	return quarantine{
		until: hold.Until,
		part:  hold.Part.ID,
	}, held
}

// isQuarantined reports whether the request must not be sent to any endpoint.
func (p *proxiedRequest) isQuarantined() bool {
	_, held := p.findQuarantine()
	return held
}

// reason returns the reason of a refusal.
func (q quarantine) reason() core.Reason {
	if q.whole {
		return core.ReasonQuarantined
	}
	return core.ReasonPartQuarantined
}

// retryAfter returns the time until the request may be sent again, at least 1 s.
func (q quarantine) retryAfter() time.Duration {
	return max(time.Until(q.until), time.Second).Round(time.Second)
}

// logFields returns the fields of a log line on a request in quarantine.
func (q quarantine) logFields(p *proxiedRequest) []zap.Field {
	fields := []zap.Field{
		zap.Stringer("content", p.contentDigest),
		zap.Duration("for", time.Until(q.until).Round(time.Millisecond)),
	}
	if q.whole {
		return fields
	}
	return append(fields, zap.Stringer("prompt_part", q.part))
}

// recordSuccess records that an endpoint ran the request, or runs it since the given time, and did
// not crash.
func (p *proxiedRequest) recordSuccess(since time.Time) {
	now := time.Now()
	p.gateway.quarantine.RecordSuccess(now, p.contentDigest)
	p.gateway.partQuarantine.RecordSound(now, p.prompt(), since)
}
