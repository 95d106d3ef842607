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

const (
	// configurationWait is how long a forwarded request waits until this box has the configuration of
	// the forwarding one. A box that was frozen usually has it a few milliseconds after it wakes.
	configurationWait = 300 * time.Millisecond
	// configurationPoll is the time between two looks at the configuration meanwhile.
	configurationPoll = 10 * time.Millisecond
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

// unservedReason returns why this box can't serve any forwarded request that another one may serve,
// or "". By an older configuration it could undo a change for the forwarding box's callers, so the
// configurations are compared before the request's key and route are looked up.
func (p *proxiedRequest) unservedReason() string {
	g := p.gateway
	switch {
	case !p.isForwarded():
	case g.stopAt.Load() != nil:
		return "this box stops"
	case g.activeForwarded.Load() > g.rules.MemoryBytes/forwardedMemoryDivisor/forwardedMemory:
		return "this box serves as many forwarded requests as it has memory for"
	case !p.awaitConfiguration():
		return "this box has an older configuration than the forwarding one"
	}
	return ""
}

// awaitConfiguration waits until this box has the configuration of the forwarding one or a newer one,
// and reports whether it has.
func (p *proxiedRequest) awaitConfiguration() bool {
	until := time.Now().Add(configurationWait)
	for p.view.ConfigVersion() < p.forwarded.version {
		if time.Now().After(until) || p.ctx.Err() != nil {
			return false
		}
		time.Sleep(configurationPoll)
		p.view = p.gateway.view()
	}
	return true
}

// isCutOffToo reports whether a forwarded request can't be served since this box reaches no endpoint
// of its service either.
func (p *proxiedRequest) isCutOffToo() bool {
	return p.isForwarded() && p.gateway.reachability.cutOffFor(time.Now(), p.service.Name) > 0
}

// markOutcome marks an answer to a forwarded request that comes from this box and not from an
// endpoint, with the version of the configuration that decided on it.
func (p *proxiedRequest) markOutcome(outcome forwardOutcome) {
	if p.isForwarded() {
		h := p.writer.Header()
		h.Set(headerForwardOutcome, string(outcome))
		h.Set(headerDecidedByVersion, strconv.FormatUint(p.resolvedVersion, 10))
	}
}

// isDecidedByOlder reports whether another box decided on an answer by an older configuration than
// this box has by now. A box that doesn't say which may have refused, with a 4xx, what is allowed.
func (p *proxiedRequest) isDecidedByOlder(status int, decidedBy string) bool {
	version, err := strconv.ParseUint(decidedBy, 10, 64)
	if err != nil {
		return status != http.StatusServiceUnavailable
	}
	return version < p.gateway.view().ConfigVersion()
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
