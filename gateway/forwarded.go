package gateway

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

// forwardedMemory is the memory in bytes that a request of another box takes, without its body; a
// sixth of the box's memory is for them.
const (
	forwardedMemory        = 128 << 10
	forwardedMemoryDivisor = 6
)

// ServeForwarded serves a request that another box received and forwarded, since it is cut off
// from the service's endpoints.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	by := r.Header.Get(headerForwardedBy)
	version, err := strconv.ParseUint(r.Header.Get(headerForwardedVersion), 10, 64)
	if by == "" || err != nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(headerForwardOutcome, string(forwardAnswered))
	forwarded := &forwardedRequest{
		by:       by,
		version:  version,
		copy:     r.Header.Get(headerForwardedCopy),
		endpoint: r.Header.Get(headerForwardedEndpoint),
	}
	for _, name := range []string{headerForwardedBy, headerForwardedVersion, headerForwardedCopy, headerForwardedEndpoint} {
		r.Header.Del(name)
	}
	g.activeForwarded.Add(1)
	defer g.activeForwarded.Add(-1)
	g.serve(w, r, forwarded)
}

// forwardedRequest is what a box says of a request that it forwards.
type forwardedRequest struct {
	by       string
	version  uint64 // of its active configuration
	copy     string // name of the copy from which a stream continues, or empty
	endpoint string // ID of the endpoint with the copy
}

// copyToContinue returns the name of the copy from which the stream continues, or "".
func (f *forwardedRequest) copyToContinue() string {
	if f == nil {
		return ""
	}
	return f.copy
}

// logFields returns the fields that name the forwarding box in the log.
func (f *forwardedRequest) logFields() []zap.Field {
	if f == nil {
		return nil
	}
	return []zap.Field{zap.String("forwarded_by", f.by)}
}

// placeAtCopy places a forwarded stream at the endpoint with the copy of its run, once.
func (p *proxiedRequest) placeAtCopy() core.Event {
	e, known := p.view.Endpoint(p.forwarded.endpoint)
	if !known || p.tried[e.ID] || p.view.Drained(e.Zone) {
		return core.CallUnplaced{}
	}
	p.tried[e.ID] = true
	p.mu.Lock()
	p.endpoint = e
	p.mu.Unlock()
	p.placedAt = time.Now()
	p.chooseBackup(p.placedAt)
	p.logDecision("placed", append(p.forwarded.logFields(), zap.String("endpoint", e.ID), zap.String("copy", p.forwarded.copy))...)
	return core.CallPlaced{}
}

// isForwarded reports whether another box forwarded the request to this one.
func (p *proxiedRequest) isForwarded() bool { return p.forwarded != nil }

// unservedReason returns why this box can't serve a forwarded request that another one may serve,
// or "". A box with an older configuration could undo a change for the forwarding box's callers.
func (p *proxiedRequest) unservedReason() string {
	g := p.gateway
	switch {
	case !p.isForwarded():
		return ""
	case p.view.ConfigVersion() < p.forwarded.version:
		return "this box has an older configuration than the forwarding one"
	case g.stopAt.Load() != nil:
		return "this box stops"
	case g.activeForwarded.Load() > g.rules.MemoryBytes/forwardedMemoryDivisor/forwardedMemory:
		return "this box serves as many forwarded requests as it has memory for"
	case g.reachability.cutOffFor(time.Now(), p.service.Name) > 0:
		return "this box reaches no endpoint of the service either"
	}
	return ""
}

// markOutcome marks an answer to a forwarded request that comes from this box and not from an
// endpoint.
func (p *proxiedRequest) markOutcome(outcome forwardOutcome) {
	if p.isForwarded() {
		p.writer.Header().Set(headerForwardOutcome, string(outcome))
	}
}

// outcomeOf returns the outcome that a refused call is marked with.
func outcomeOf(c core.RefuseCall) forwardOutcome {
	switch {
	case c.Outcome != core.NotRun:
		return forwardUnknown
	case c.Reason == core.ReasonUnreachable, c.Reason == core.ReasonStopping:
		return forwardUnserved
	case c.Reason == core.ReasonNoEndpoint:
		return forwardBusy
	}
	return forwardNotRun
}
