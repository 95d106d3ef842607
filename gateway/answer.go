package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

// maxBufferedAnswer is the most of an answer that is held until it is whole; a
// longer one is passed on as it comes.
const maxBufferedAnswer = 256 << 10

// answer is an endpoint's answer: its head, and a body that is either held
// whole or still to be read.
type answer struct {
	head          *http.Response
	headers       Answer
	body          []byte
	remainder     io.Reader // what follows the held body, or nil
	endpointConn  *endpointConn
	writeResult   chan error // the end of a body written beside, or nil
	stopAfterFunc func() bool
}

// invalidReason tells why an answer can't be passed on: it promises what nobody knows,
// or it isn't the endpoint's own.
func (a *answer) invalidReason() string {
	switch a.head.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "a refusal that doesn't say that the request has not run"
	}
	if a.head.StatusCode < http.StatusMultipleChoices && !a.headers.Signed {
		return "a success without a signature"
	}
	if a.head.Header.Get("Content-Encoding") != "" {
		return "an encoding that nobody asked for"
	}
	return ""
}

func isEventStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

// readAnswer holds the answer until it is whole, or until it is too long.
func (p *proxiedRequest) readAnswer(a *answer) core.Event {
	body, err := io.ReadAll(io.LimitReader(a.head.Body, maxBufferedAnswer))
	if err != nil {
		a.close()
		p.awaitEndpointCheck()
		return p.failed("the answer broke off", err, core.CallBroken{})
	}
	a.body = body
	if len(body) == maxBufferedAnswer {
		a.remainder = a.head.Body
		return core.CallAnswered{}
	}
	a.release(p, true)
	failed := a.head.StatusCode >= http.StatusInternalServerError
	if failed {
		p.gateway.spread.Failed(time.Now(), p.endpoint.ID, false)
	} else {
		p.recordSuccess()
		p.gateway.spread.Succeeded(time.Now(), p.endpoint.ID, time.Since(p.placedAt))
		p.gateway.usualAnswer.learn(p.route.Name, time.Since(p.placedAt))
	}
	return core.CallAnswered{Failed: failed}
}

// release gives the connection back if the exchange was whole, and closes it
// otherwise.
func (a *answer) release(p *proxiedRequest, whole bool) {
	stopped := a.stopAfterFunc()
	bodySent := true
	if a.writeResult != nil {
		select {
		case err := <-a.writeResult:
			bodySent = err == nil
		default:
			bodySent = false
		}
	}
	if !whole || !stopped || !bodySent || a.head.Close || a.endpointConn.reader.Buffered() > 0 {
		_ = a.endpointConn.Close()
		return
	}
	p.gateway.pool.put(time.Now(), p.endpoint.ID, a.endpointConn, keepAlive(a.head.Header))
}

func (a *answer) close() {
	a.stopAfterFunc()
	_ = a.endpointConn.Close()
}

// keepAlive gives how long the endpoint keeps the connection open, or 0.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// passAnswer gives the endpoint's answer to the caller, unchanged.
func (p *proxiedRequest) passAnswer() {
	a := p.answer
	p.copyHeaders(a.head)
	if a.remainder == nil && p.request.Method != http.MethodHead && bodyAllowed(a.head.StatusCode) {
		p.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	p.recordEnd("answered", a.head.StatusCode)
	p.writer.WriteHeader(a.head.StatusCode)
	_, err := p.writer.Write(a.body)
	if a.remainder == nil {
		if err != nil {
			p.logDecision("caller left before its answer", zap.Error(err))
		}
		return
	}
	if err == nil {
		_, err = io.Copy(p.writer, a.remainder)
	}
	a.release(p, err == nil)
	if err != nil {
		p.logDecision("long answer broke off", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHeaders gives the caller the endpoint's headers, and none of the server's own.
func (p *proxiedRequest) copyHeaders(head *http.Response) {
	to := p.writer.Header()
	for name, values := range endToEndHeaders(head.Header) {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}
