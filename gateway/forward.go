package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

// A box that is cut off from a service's endpoints forwards its requests to a box that isn't. That
// box serves them like those of its own callers, and its answers are passed on.

const (
	// maxForwards bounds the boxes that one request is forwarded to.
	maxForwards = 2
	// maxFailedConnects is the number of endpoints that a request may fail to connect to before
	// it is forwarded.
	maxFailedConnects = 2
	// forwardExclusion is how long a box that didn't answer a forwarded request gets no others,
	// and shortForwardExclusion how long one that answered that it can't serve the service.
	forwardExclusion      = time.Second
	shortForwardExclusion = 300 * time.Millisecond
	// forwardSlack is how long after a forwarded request's deadline its answer is awaited: only
	// the other box knows whether the request ran.
	forwardSlack = 150 * time.Millisecond
	// minForwardOverdue is the least time after which a forwarded request's answer is overdue.
	minForwardOverdue = 300 * time.Millisecond
	// refuseUnreachableAfter is how long a box must be cut off from a service before it refuses
	// requests that no other box takes, without another attempt to connect. Endpoints that are
	// only silent for a moment answer earlier.
	refuseUnreachableAfter = 2 * time.Second
)

// Headers between two boxes. The last is in each answer to a forwarded request, the others are in
// such requests.
const (
	headerForwardedBy       = "Dillsaddle-Forwarded-By"
	headerForwardedVersion  = "Dillsaddle-Forwarded-Version"  // configuration version of the forwarding box
	headerForwardedCopy     = "Dillsaddle-Forwarded-Copy"     // name of the copy from which a stream continues
	headerForwardedEndpoint = "Dillsaddle-Forwarded-Endpoint" // ID of the endpoint with the copy
	headerForwardOutcome    = "Dillsaddle-Forward-Outcome"
)

// forwardOutcome says where an answer to a forwarded request comes from.
type forwardOutcome string

// The outcomes. All but the first are answers of the box itself. After forwardUnserved and
// forwardBusy another box may serve the request.
const (
	forwardAnswered forwardOutcome = "answered" // by an endpoint
	forwardUnserved forwardOutcome = "unserved" // not run, since the box serves no requests for the service now
	forwardBusy     forwardOutcome = "busy"     // not run, since no endpoint takes this request from the box now
	forwardNotRun   forwardOutcome = "not-run"
	forwardUnknown  forwardOutcome = "unknown"
)

// Forwarding is what a gateway needs of the other boxes to forward requests to them.
type Forwarding interface {
	// ForwardingBox returns a box that can serve a service's requests and for which exclude
	// returns false, and whether there is any.
	ForwardingBox(service string, exclude func(box string) bool) (core.Peer, bool)
	// SetCutOff sets the services whose endpoints this box can't reach.
	SetCutOff(services []string)
}

// WithForwarding sets the other boxes, which serve requests for services that this box is cut off
// from. Without it, such requests are refused.
func WithForwarding(f Forwarding) Option {
	return func(g *Gateway) { g.forwarder.boxes = f }
}

// forwarder holds the connections to other boxes and remembers which could not serve.
type forwarder struct {
	boxes    Forwarding
	pool     *Pool
	mu       sync.Mutex
	excluded map[string]time.Time // until when a box gets no forwarded requests, by name and service
	served   map[string]time.Time // when another box last served a forwarded request, by service
}

func newForwarder() *forwarder {
	return &forwarder{
		boxes:    noForwarding{},
		pool:     NewPool(engine.Dial, func() {}),
		excluded: make(map[string]time.Time),
		served:   make(map[string]time.Time),
	}
}

// noForwarding is the Forwarding of a gateway without other boxes.
type noForwarding struct{}

func (noForwarding) ForwardingBox(string, func(string) bool) (core.Peer, bool) {
	return core.Peer{}, false
}

func (noForwarding) SetCutOff([]string) {}

// exclude keeps a service's requests from a box for a time.
func (f *forwarder) exclude(now time.Time, box, service string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excluded[box+"/"+service] = now.Add(jitter(d))
}

func (f *forwarder) isExcluded(now time.Time, box, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.excluded[box+"/"+service])
}

func (f *forwarder) recordServed(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served[service] = now
}

// servedSince reports whether another box has served a service's request since a time.
func (f *forwarder) servedSince(at time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.served[service].After(at)
}

func (f *forwarder) sweep(now time.Time) {
	f.pool.Sweep(now, func(string) bool { return true })
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, until := range f.excluded {
		if !now.Before(until) {
			delete(f.excluded, key)
		}
	}
}

// chooseBox chooses a box to forward the request to if this box can't send it to an endpoint, and
// reports whether there is one.
func (p *proxiedRequest) chooseBox(now time.Time) bool {
	p.forwardTo = core.Peer{}
	p.copyName = ""
	cutOff := p.gateway.reachability.cutOffFor(now, p.service.Name)
	listed := len(p.view.Serving(p.service.Name))
	if listed == 0 || (cutOff == 0 && p.failedConnects < min(maxFailedConnects, listed)) {
		return false
	}
	box, ok := p.forwardingBox(now)
	if !ok {
		return false
	}
	p.forwardTo = box
	p.forwardedTo = append(p.forwardedTo, box.Box)
	p.placedAt = now
	p.mu.Lock()
	p.endpoint = routing.Endpoint{}
	p.backup = routing.Endpoint{}
	p.mu.Unlock()
	p.logForward(cutOff)
	return true
}

// chooseBoxForCopy chooses a box to continue the stream at the request's endpoint, which has a copy
// of the run that this box can't reach, and reports whether there is one.
func (p *proxiedRequest) chooseBoxForCopy(now time.Time, name string) bool {
	box, ok := p.forwardingBox(now)
	if !ok {
		return false
	}
	p.forwardTo = box
	p.forwardedTo = append(p.forwardedTo, box.Box)
	p.copyName = name
	p.logForward(p.gateway.reachability.cutOffFor(now, p.service.Name), zap.String("endpoint", p.endpoint.ID), zap.String("copy", name))
	return true
}

func (p *proxiedRequest) logForward(cutOff time.Duration, fields ...zap.Field) {
	p.logDecision("forwarded to another box", append(fields,
		zap.String("box", p.forwardTo.Box),
		zap.String("box_zone", p.forwardTo.Zone),
		zap.Duration("box_silence", p.forwardTo.Silence),
		zap.Duration("unreachable_for", cutOff),
		zap.Int("failed_connects", p.failedConnects),
		zap.Stringer("content", p.contentDigest),
	)...)
}

// forwardingBox returns a box to forward the request to, and whether there is one. In a small fleet
// all others may be excluded at the same time, and are better than none.
func (p *proxiedRequest) forwardingBox(now time.Time) (core.Peer, bool) {
	if p.isForwarded() || len(p.forwardedTo) >= maxForwards {
		return core.Peer{}, false
	}
	f := p.gateway.forwarder
	isUsed := func(box string) bool { return slices.Contains(p.forwardedTo, box) }
	box, ok := f.boxes.ForwardingBox(p.service.Name, func(box string) bool { return isUsed(box) || f.isExcluded(now, box, p.service.Name) })
	if ok {
		return box, true
	}
	return f.boxes.ForwardingBox(p.service.Name, isUsed)
}

// mayForward reports whether another box may serve the request if no endpoint is reached.
func (p *proxiedRequest) mayForward(now time.Time) bool {
	_, ok := p.forwardingBox(now)
	return ok
}

// isHopeless reports whether no attempt to serve the request is left: the box has long been cut off
// from its service, and no other box takes it.
func (p *proxiedRequest) isHopeless(now time.Time) bool {
	if p.isForwarded() {
		return p.failedConnects >= maxFailedConnects
	}
	return p.gateway.reachability.cutOffFor(now, p.service.Name) >= refuseUnreachableAfter
}

// forward sends the request to the chosen box and reads the answer; a stream is passed on up to its
// end.
func (p *proxiedRequest) forward() core.Event {
	now := time.Now()
	box := p.forwardTo
	maxIdle := maxIdleTime
	if !p.route.MayRepeat() {
		maxIdle = maxIdleNonRepeatable
	}
	ctx, cancel := context.WithDeadline(p.request.Context(), p.currentDeadline())
	defer cancel()
	to := routing.Endpoint{
		ID:      box.Box + "/" + strconv.FormatUint(box.InstanceID, 10),
		Address: box.Address,
	}
	conn, err := p.gateway.forwarder.pool.get(ctx, now, to, maxIdle, alternativeConnectTimeout)
	if err != nil {
		return p.forwardFailed("connecting to the box failed", err, core.CallUnsent{})
	}
	a := &answer{
		endpointConn: conn,
		pool:         p.gateway.forwarder.pool,
		pooledAs:     to.ID,
	}
	p.answer = a
	_ = conn.SetDeadline(p.currentDeadline().Add(forwardSlack))
	a.stopAfterFunc = context.AfterFunc(p.request.Context(), func() { _ = conn.Close() })
	timer := p.startForwardTimer(conn)
	defer timer.Stop()
	if err := p.writeForwarded(a); err != nil && conn.writtenBytes == 0 {
		a.close()
		return p.forwardFailed("writing the request failed before its first byte", err, core.CallUnsent{})
	}
	if err := a.readForwardedHead(p.request); err != nil {
		a.close()
		return p.forwardFailed("reading the answer's head failed", err, core.CallBroken{})
	}
	outcome := forwardOutcome(a.head.Header.Get(headerForwardOutcome))
	a.head.Header.Del(headerForwardOutcome)
	if outcome == forwardAnswered {
		p.gateway.forwarder.recordServed(time.Now(), p.service.Name)
	}
	if outcome == forwardAnswered && isEventStream(a.head) {
		return p.passForwardedStream(a, timer)
	}
	if err := a.readBody(); err != nil {
		a.close()
		return p.forwardFailed("reading the answer's body failed", err, core.CallBroken{})
	}
	if a.remainder == nil {
		a.release(p, true)
	}
	return p.forwardedEvent(a, outcome)
}

// forwardedEvent returns the event of a box's answer other than a stream.
func (p *proxiedRequest) forwardedEvent(a *answer, outcome forwardOutcome) core.Event {
	switch outcome {
	case forwardUnserved:
		p.gateway.forwarder.exclude(time.Now(), p.forwardTo.Box, p.service.Name, shortForwardExclusion)
		return p.forwardEnded("the box serves no requests for the service", nil, core.CallUnsent{})
	case forwardBusy:
		return p.forwardEnded("no endpoint takes the request from the box", nil, core.CallUnsent{})
	case forwardUnknown:
		return p.forwardEnded("the box doesn't know whether the request ran", nil, core.CallBroken{})
	case forwardNotRun:
		return core.CallAnswered{}
	case forwardAnswered:
	default:
		return p.forwardFailed("the box doesn't serve forwarded requests", nil, core.CallUnsent{})
	}
	a.headers = p.gateway.protocol.Answer(a.head.StatusCode, a.head.Header)
	if reason := a.invalidReason(); reason != "" {
		_ = a.endpointConn.Close()
		return p.forwardEnded(reason, nil, core.CallBroken{})
	}
	return core.CallAnswered{Failed: a.head.StatusCode >= http.StatusInternalServerError}
}

// startForwardTimer starts a timer that fires when the answer is overdue. The box then gets no
// further requests for a moment, and a repeatable request is sent elsewhere.
func (p *proxiedRequest) startForwardTimer(conn *endpointConn) *time.Timer {
	box := p.forwardTo
	mayRetryElsewhere := !p.headSent && p.call.MayRunAgain()
	return time.AfterFunc(max(p.overdueAfter(), minForwardOverdue), func() {
		p.gateway.forwarder.exclude(time.Now(), box.Box, p.service.Name, forwardExclusion)
		p.logAsync("answer of a forwarded request overdue", zap.String("box", box.Box), zap.Bool("leaves", mayRetryElsewhere))
		if mayRetryElsewhere && p.gateway.hasRetryBudget(p.service.Name) {
			_ = conn.Close()
		}
	})
}

// forwardFailed keeps requests from a box that did not answer a forwarded one, and ends that.
func (p *proxiedRequest) forwardFailed(what string, err error, ev core.Event) core.Event {
	if p.terminalEvent() == nil {
		p.gateway.forwarder.exclude(time.Now(), p.forwardTo.Box, p.service.Name, forwardExclusion)
	}
	return p.forwardEnded(what, err, ev)
}

// forwardEnded logs that a box did not serve the forwarded request, and returns the event for it:
// the caller's departure or the deadline if that was the cause, otherwise ev.
func (p *proxiedRequest) forwardEnded(what string, err error, ev core.Event) core.Event {
	p.logDecision("forwarding failed",
		zap.String("box", p.forwardTo.Box),
		zap.String("what", what),
		zap.Duration("after", time.Since(p.placedAt)),
		zap.Error(err),
	)
	return p.endOr(p.terminalEvent(), ev)
}

// endOr returns the event that ends the request if there is one, otherwise ev. A send of which
// nothing was sent is recorded as unsent in any case, or the caller would not be told that the
// request has not run.
func (p *proxiedRequest) endOr(terminalEvent, ev core.Event) core.Event {
	if terminalEvent == nil {
		return ev
	}
	if _, unsent := ev.(core.CallUnsent); unsent {
		p.call.Step(time.Now(), ev)
	}
	return terminalEvent
}

// writeForwarded writes the request with the caller's headers.
func (p *proxiedRequest) writeForwarded(a *answer) error {
	h := endToEndHeaders(p.request.Header)
	p.gateway.protocol.Forwarded(h, time.Until(p.currentDeadline()), p.lastEventID)
	h.Set(headerForwardedBy, p.gateway.box)
	h.Set(headerForwardedVersion, strconv.FormatUint(p.view.ConfigVersion(), 10))
	if p.copyName != "" {
		h.Set(headerForwardedCopy, p.copyName)
		h.Set(headerForwardedEndpoint, p.endpoint.ID)
	}
	return p.writeMessage(a, h)
}

// readForwardedHead reads the head of another box's answer.
func (a *answer) readForwardedHead(r *http.Request) error {
	for {
		head, err := http.ReadResponse(a.endpointConn.reader, r)
		if err != nil {
			return err
		}
		if head.StatusCode >= http.StatusOK {
			a.head = head
			return nil
		}
	}
}

// passForwardedStream passes the events of another box's answer to the caller until the stream
// ends or breaks off.
func (p *proxiedRequest) passForwardedStream(a *answer, timer *time.Timer) core.Event {
	events := bufio.NewReaderSize(a.head.Body, eventBufferBytes)
	for {
		e, err := readEvent(events)
		switch {
		case errors.Is(err, io.EOF):
			p.sendHead(a)
			a.release(p, true)
			p.recordEnd("streamed by another box", a.head.StatusCode, zap.String("box", p.forwardTo.Box), zap.Int("events", p.events))
			return core.CallCompleted{}
		case err != nil:
			a.close()
			return p.forwardEnded("the stream broke off", err, core.CallBroken{})
		}
		timer.Stop()
		switch p.eventOrder.classify(e.id) {
		case duplicate:
			continue
		case gap:
			a.close()
			return p.forwardEnded("events are missing after the continuation", nil, core.CallBroken{})
		}
		if err := p.writeEvent(a, e); err != nil {
			a.close()
			p.logDecision("caller disconnected during its stream", zap.String("last_event", p.lastEventID), zap.Error(err))
			return core.CallAbandoned{}
		}
	}
}

// writeEvent passes an event of a forwarded stream to the caller.
func (p *proxiedRequest) writeEvent(a *answer, e event) error {
	p.sendHead(a)
	p.call.Step(time.Now(), core.CallProgressed{})
	if _, err := p.writer.Write(e.raw); err != nil {
		return err
	}
	if p.events == 0 {
		p.firstEventDelay = time.Since(p.start)
	}
	p.lastEventID = e.id
	p.events++
	return http.NewResponseController(p.writer).Flush()
}

// sendHead passes the head of a stream to the caller once.
func (p *proxiedRequest) sendHead(a *answer) {
	if p.headSent {
		return
	}
	p.headSent = true
	p.copyHeaders(a.head)
	p.writer.WriteHeader(a.head.StatusCode)
}
