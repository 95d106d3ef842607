package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// A box that is cut off from a service's endpoints, or whose shares of them are used up, forwards
// requests to a box that isn't. That box serves them like those of its own callers, and its answers are passed on.

const (
	// forwardSlack is how long after a forwarded request's deadline its answer is awaited: only
	// the other box knows whether the request ran.
	forwardSlack = 150 * time.Millisecond
	// minForwardOverdue is the least time after which a forwarded request's answer is overdue.
	minForwardOverdue = 300 * time.Millisecond
)

// Headers between two boxes. The last two are in answers to forwarded requests, the others are in such
// requests.
const (
	headerForwardedBy       = "Dillsaddle-Forwarded-By"
	headerForwardedVersion  = "Dillsaddle-Forwarded-Version"  // configuration version of the forwarding box
	headerForwardedCopy     = "Dillsaddle-Forwarded-Copy"     // name of the copy from which a stream continues
	headerForwardedEndpoint = "Dillsaddle-Forwarded-Endpoint" // ID of the endpoint with the copy
	headerForwardOutcome    = "Dillsaddle-Forward-Outcome"
	headerDecidedByVersion  = "Dillsaddle-Decided-By-Version" // configuration by which a box itself decided on its answer
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

// forward sends the request to the chosen box and reads the answer; a stream is passed on up to its
// end.
func (p *proxiedRequest) forward() core.Event {
	now := time.Now()
	box := p.forwardTo
	maxIdle := maxIdleTime
	if !p.route.MayRepeat() {
		maxIdle = maxIdleNonRepeatable
	}
	ctx, cancel := context.WithDeadline(p.ctx, p.currentDeadline())
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
	a.stopAfterFunc = context.AfterFunc(p.ctx, func() { _ = conn.Close() })
	timer := p.startForwardTimer(conn)
	defer timer.Stop()
	if err := p.writeForwarded(a); err != nil && conn.writtenBytes == 0 {
		a.close()
		return p.forwardFailed("writing the request failed before its first byte", err, core.CallUnsent{})
	}
	if a.head, err = conn.readHead(p.request, p.reserveAnswerMemory); err != nil {
		a.close()
		return p.forwardFailed("reading the answer's head failed", err, core.CallBroken{})
	}
	if a.endsWithConnection(p.request.Method) {
		a.close()
		return p.forwardFailed("the answer has neither a length nor chunks, unlike those of boxes", nil, core.CallBroken{})
	}
	outcome := forwardOutcome(a.head.Header.Get(headerForwardOutcome))
	a.head.Header.Del(headerForwardOutcome)
	decidedBy := a.head.Header.Get(headerDecidedByVersion)
	a.head.Header.Del(headerDecidedByVersion)
	if outcome == forwardAnswered {
		p.gateway.forwarder.recordServed(time.Now(), p.service.Name)
		p.gateway.reachability.recordServedElsewhere(time.Now(), p.service.Name, p.placedAt)
	}
	if outcome == forwardAnswered && isEventStream(a.head) {
		return p.passForwardedStream(a, timer)
	}
	if err := p.bufferAnswer(a); err != nil {
		a.close()
		return p.forwardFailed("reading the answer's body failed", err, core.CallBroken{})
	}
	if a.remainder == nil {
		a.release(p, true)
	}
	return p.forwardedEvent(a, outcome, decidedBy)
}

// forwardedEvent returns the event of a box's answer other than a stream; decidedBy is the version of
// the configuration that decided on it if the answer is the box's own.
func (p *proxiedRequest) forwardedEvent(a *answer, outcome forwardOutcome, decidedBy string) core.Event {
	switch outcome {
	case forwardUnserved:
		p.gateway.forwarder.exclude(time.Now(), p.forwardTo.Box, p.service.Name, shortForwardExclusion)
		return p.forwardEnded("the box serves no requests for the service", nil, core.CallUnsent{})
	case forwardBusy:
		if p.lacksShare {
			p.gateway.forwarder.exclude(time.Now(), p.forwardTo.Box, p.service.Name, shortForwardExclusion)
		}
		return p.forwardEnded("no endpoint takes the request from the box", nil, core.CallUnsent{})
	case forwardUnknown:
		return p.forwardEnded("the box doesn't know whether the request ran", nil, core.CallBroken{})
	case forwardNotRun:
		if p.isDecidedByOlder(a.head.StatusCode, decidedBy) {
			p.gateway.forwarder.exclude(time.Now(), p.forwardTo.Box, p.service.Name, shortForwardExclusion)
			return p.forwardEnded("the box refused it by an older configuration", nil, core.CallUnsent{})
		}
		return core.CallDeclined{}
	case forwardAnswered:
	default:
		return p.forwardFailed("the box doesn't serve forwarded requests", nil, core.CallUnsent{})
	}
	a.headers = p.gateway.protocol.Answer(a.head.StatusCode, endToEndHeaders(a.head.Header))
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
	return endOr(p.terminalEvent(), ev)
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

// passForwardedStream passes the events of another box's answer to the caller until the stream
// ends or breaks off.
func (p *proxiedRequest) passForwardedStream(a *answer, timer *time.Timer) core.Event {
	events := bufio.NewReaderSize(a.head.Body, eventBufferBytes)
	for {
		e, err := p.readEvent(events)
		switch {
		case errors.Is(err, io.EOF):
			p.sendHead(a)
			a.release(p, true)
			p.recordEnd("streamed by another box", a.head.StatusCode, zap.String("box", p.forwardTo.Box), zap.Duration("first_event", p.firstEventDelay), zap.Int("events", p.events))
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
	p.call.RecordProgress()
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
	p.isAnswering.Store(true)
	p.copyHeaders(a.head)
	p.writer.WriteHeader(a.head.StatusCode)
}
