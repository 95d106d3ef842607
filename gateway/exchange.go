package gateway

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
)

const (
	// maxInlineBody is the size of the largest body that is written before the answer is
	// read; it fits into the socket's buffer. A larger one is written concurrently,
	// since the endpoint may answer before it has read it.
	maxInlineBody = 16 << 10
	// maxIdleNonRepeatable is how long a connection may have been idle to carry a request
	// that must run at most once.
	maxIdleNonRepeatable = 1500 * time.Millisecond
	// refusalBodyTime bounds the time to read a refusal's body, for which a retry waits.
	refusalBodyTime = 100 * time.Millisecond
	// maxStrayAnswers bounds the skipped answers to other requests.
	maxStrayAnswers = 4
)

// errOnlyStrayAnswers reports that a connection returned no answer to the current request.
var errOnlyStrayAnswers = errors.New("too many answers to other requests on the connection")

// send sends the request to the chosen endpoint and reads the answer; a stream is passed on up
// to its end. A non-empty copyName continues the run from that copy.
func (p *proxiedRequest) send(copyName string) core.Event {
	if p.forwardTo.Box != "" {
		return p.forward()
	}
	now := time.Now()
	defer p.endPlacing()
	p.runFirstEventAt = time.Time{}
	p.isBeyondBeginning = false
	maxIdle := maxIdleTime
	if !p.route.MayRepeat() {
		maxIdle = maxIdleNonRepeatable
	}
	ctx, cancel := context.WithDeadline(p.ctx, p.currentDeadline())
	defer cancel()
	conn, err := p.gateway.pool.get(ctx, now, p.endpoint, maxIdle, p.chooseConnectTimeout(copyName))
	if err != nil {
		p.recordConnectFailure(err)
		p.gateway.sendGate.release(p.endpoint)
		p.gateway.balancer.Failed(time.Now(), p.endpoint.ID, true)
		p.gateway.announceOverdue(p.endpoint)
		p.logDecision("endpoint unreachable", zap.String("endpoint", p.endpoint.ID), zap.Error(err))
		if terminalEvent := p.terminalEvent(); terminalEvent != nil || copyName == "" || !p.chooseBoxForCopy(time.Now(), copyName) {
			return endOr(terminalEvent, core.CallUnsent{})
		}
		return p.forward()
	}
	if !p.gateway.sendGate.send(time.Now(), p.service, p.endpoint, copyName != "") {
		_ = conn.Close()
		p.logDecision("send limit of the endpoint reached; request not sent", zap.String("endpoint", p.endpoint.ID))
		return core.CallUnsent{}
	}
	p.announceRun(now, copyName != "")
	p.gateway.balancer.BeginSend(now, p.endpoint.ID, p.requirements(nil).Tokens, p.announcedTokens)
	p.endPlacing()
	p.overdueTimer = p.startOverdueTimer(conn)
	defer p.overdueTimer.stop()
	endpoint := p.endpoint
	ev := p.exchange(conn, copyName)
	p.gateway.sendGate.answered(time.Now(), endpoint, p.isRejection(ev))
	if _, isStream := ev.(streamStarted); isStream {
		return p.stream(now)
	}
	p.overdueTimer.stop()
	p.gateway.balancer.EndSend(time.Now(), p.endpoint.ID, now, p.requirements(nil).Tokens)
	p.announceRunEnd(p.endpoint.ID)
	return ev
}

// isRejection reports whether an event is that the endpoint had no room for the request.
func (p *proxiedRequest) isRejection(ev core.Event) bool {
	_, refused := ev.(core.CallRefused)
	return refused && p.answer.head.StatusCode != http.StatusMisdirectedRequest
}

// chooseConnectTimeout returns the timeout of a new connection, which is short if another
// endpoint or box can take the request instead. A continuation needs the endpoint with the copy.
func (p *proxiedRequest) chooseConnectTimeout(copyName string) time.Duration {
	if p.isForwarded() || p.mayForward(time.Now()) {
		return alternativeConnectTimeout
	}
	if copyName != "" {
		return connectTimeout
	}
	for _, e := range p.candidates(time.Now()) {
		if !p.tried[e.ID] {
			return alternativeConnectTimeout
		}
	}
	return connectTimeout
}

// streamStarted is the event that the answer's head was read and begins a stream.
type streamStarted struct{ core.EventBase }

// exchange writes the request to a connection and reads the answer, of a stream its head.
func (p *proxiedRequest) exchange(conn *endpointConn, copyName string) core.Event {
	a := &answer{
		endpointConn: conn,
		pool:         p.gateway.pool,
		pooledAs:     p.endpoint.ID,
	}
	p.answer = a
	_ = conn.SetDeadline(p.currentDeadline())
	a.stopAfterFunc = context.AfterFunc(p.ctx, func() { _ = conn.Close() })
	writeErr := p.writeRequest(a, copyName)
	if writeErr != nil && conn.writtenBytes == 0 {
		a.close()
		if conn.isNew {
			p.recordConnectFailure(writeErr)
		}
		return p.failed("writing the request failed before its first byte", writeErr, core.CallUnsent{})
	}
	if err := p.readResponseHead(a); err != nil {
		a.close()
		p.recordHeadFailure(conn, err)
		if conn.hasReadHead() {
			p.countFaultyAnswer(faultyHead, err)
		}
		p.awaitEndpointCheck()
		return p.failed("reading the answer's head failed", err, core.CallBroken{})
	}
	p.overdueTimer.hasHead.Store(true)
	if a.headers.NotRun {
		return p.handleNotRun(a)
	}
	p.observeLoad(a.headers.Load)
	if invalidReason := a.invalidReason(); invalidReason != "" {
		a.close()
		p.countFaultyAnswer(faultyContent, nil)
		return p.failed(invalidReason, nil, core.CallBroken{})
	}
	if isEventStream(a.head) {
		return streamStarted{}
	}
	return p.readAnswer(a)
}

// failed logs a failed send and returns the event for it: the caller's departure or the
// deadline if that was the cause, otherwise ev.
func (p *proxiedRequest) failed(what string, err error, ev core.Event) core.Event {
	terminalEvent := p.terminalEvent()
	silent := engine.TimedOut(err)
	if _, left := terminalEvent.(core.CallAbandoned); !left {
		p.gateway.balancer.Failed(time.Now(), p.endpoint.ID, silent)
	}
	p.logDecision("send failed",
		zap.String("endpoint", p.endpoint.ID),
		zap.String("what", what),
		zap.Bool("kept_connection", !p.answer.endpointConn.isNew),
		zap.Duration("after", time.Since(p.placedAt)),
		zap.Error(err),
	)
	return endOr(terminalEvent, ev)
}

// countFaultyAnswer counts an answer that is not passed on as whole, for an error or nil, unless this box
// stopped reading it.
func (p *proxiedRequest) countFaultyAnswer(fault answerFault, err error) {
	if p.terminalEvent() == nil && !errors.Is(err, net.ErrClosed) && !engine.TimedOut(err) {
		p.gateway.counters.countFaultyAnswer(p.service.Name, fault)
	}
}

// endOr returns the event that ends the request if there is one, otherwise ev. The events of the
// deadline and of the box's end say whether nothing was sent, or the caller would not be told that the
// request has not run.
func endOr(terminalEvent, ev core.Event) core.Event {
	if terminalEvent == nil {
		return ev
	}
	_, unsent := ev.(core.CallUnsent)
	switch e := terminalEvent.(type) {
	case core.CallExpired:
		e.Unsent = unsent
		return e
	case core.CallInterrupted:
		e.Unsent = unsent
		return e
	}
	return terminalEvent
}

// writeRequest writes the request to its endpoint.
func (p *proxiedRequest) writeRequest(a *answer, copyName string) error {
	h := endToEndHeaders(p.request.Header)
	o := Outbound{
		TimeLeft:   time.Until(p.currentDeadline()),
		Endpoint:   p.endpoint.Name(),
		Rank:       p.rank(),
		ContinueAt: copyName,
		LastEvent:  p.lastEventID,
	}
	if p.customer != nil {
		o.Customer = p.customer.Name
	}
	if p.backup.ID != "" {
		o.BackupTo = p.backup.Address
	}
	p.gateway.protocol.Outbound(h, o)
	return p.writeMessage(a, h)
}

// writeMessage writes the request with the given headers and its body; a large body is written
// concurrently.
func (p *proxiedRequest) writeMessage(a *answer, h http.Header) error {
	var out bytes.Buffer
	r := p.request
	out.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(p.body) > 0 || r.ContentLength != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(p.body)))
	}
	if err := h.Write(&out); err != nil {
		return err
	}
	out.WriteString("\r\n")
	isInline := len(p.body) <= maxInlineBody
	if isInline {
		out.Write(p.body)
	}
	w := &requestWrite{done: make(chan struct{})}
	a.requestWrite = w
	if _, err := a.endpointConn.Write(out.Bytes()); err != nil || isInline {
		w.finish(err)
		return err
	}
	go func() {
		_, err := a.endpointConn.Conn.Write(p.body)
		w.finish(err)
	}()
	return nil
}

// readResponseHead reads the head of the answer to this request, skipping late answers to
// earlier ones.
func (p *proxiedRequest) readResponseHead(a *answer) error {
	for strayAnswers := 0; strayAnswers < maxStrayAnswers; {
		head, err := a.endpointConn.readHead(p.request, p.reserveAnswerMemory)
		if err != nil {
			return err
		}
		headers := p.gateway.protocol.Answer(head.StatusCode, endToEndHeaders(head.Header))
		p.gateway.HandleNotice(time.Now(), p.endpoint, headers.Notice)
		isOwn := headers.ID == p.inbound.ID || (headers.ID == "" && a.endpointConn.isNew && strayAnswers == 0)
		if isOwn {
			a.head = head
			a.headers = headers
			if strayAnswers > 0 {
				head.Close = true
			}
			return nil
		}
		strayAnswers++
		p.gateway.counters.strayAnswers.Inc()
		p.logDecision("skipped an answer to another request", zap.String("endpoint", p.endpoint.ID), zap.String("answers", headers.ID))
		if n, err := io.CopyN(io.Discard, head.Body, maxBufferedAnswer); !errors.Is(err, io.EOF) {
			return errors.Wrapf(cmp.Or(err, errOnlyStrayAnswers), "read the answer to another request (%d bytes)", n)
		}
	}
	return errOnlyStrayAnswers
}

// handleNotRun handles an answer that says that the request was not run.
func (p *proxiedRequest) handleNotRun(a *answer) core.Event {
	status := a.head.StatusCode
	_ = a.endpointConn.SetReadDeadline(time.Now().Add(refusalBodyTime))
	n, err := io.Copy(io.Discard, io.LimitReader(a.head.Body, maxBufferedAnswer))
	a.release(p, err == nil && n < maxBufferedAnswer)
	p.observeLoad(a.headers.Load)
	p.gateway.balancer.Failed(time.Now(), p.endpoint.ID, status == http.StatusMisdirectedRequest)
	p.logDecision("endpoint refused", zap.String("endpoint", p.endpoint.ID), zap.Int("status", status))
	return core.CallRefused{}
}
