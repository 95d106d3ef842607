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

// heldAnswer is the most of an answer that is held until it is whole; a
// longer one is passed on as it comes.
const heldAnswer = 256 << 10

// answer is an endpoint's answer: its head, and a body that is either held
// whole or still to be read.
type answer struct {
	head *http.Response
	says Answer
	body []byte
	rest io.Reader // what follows the held body, or nil
	link *link
	sent chan error // the end of a body written beside, or nil
	stop func() bool
}

// fault tells why an answer can't be passed on: it promises what nobody knows,
// or it isn't the endpoint's own.
func (a *answer) fault() string {
	switch a.head.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "a refusal that doesn't say that the request has not run"
	}
	if a.head.StatusCode < http.StatusMultipleChoices && !a.says.Signed {
		return "a success without a signature"
	}
	if a.head.Header.Get("Content-Encoding") != "" {
		return "an encoding that nobody asked for"
	}
	return ""
}

func isEvents(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

// readAnswer holds the answer until it is whole, or until it is too long.
func (p *passage) readAnswer(a *answer) core.Event {
	body, err := io.ReadAll(io.LimitReader(a.head.Body, heldAnswer))
	if err != nil {
		a.close()
		p.lookAtEndpoint()
		return p.failed("the answer broke off", err, core.CallBroken{})
	}
	a.body = body
	if len(body) == heldAnswer {
		a.rest = a.head.Body
		return core.CallAnswered{}
	}
	a.release(p, true)
	failed := a.head.StatusCode >= http.StatusInternalServerError
	if failed {
		p.gateway.spread.Failed(time.Now(), p.endpoint.ID, false)
	} else {
		p.survived()
		p.gateway.spread.Succeeded(time.Now(), p.endpoint.ID, time.Since(p.placedAt))
		p.gateway.usual.learn(p.route.Name, time.Since(p.placedAt))
	}
	return core.CallAnswered{Failed: failed}
}

// release gives the connection back if the exchange was whole, and closes it
// otherwise.
func (a *answer) release(p *passage, whole bool) {
	stopped := a.stop()
	bodySent := true
	if a.sent != nil {
		select {
		case err := <-a.sent:
			bodySent = err == nil
		default:
			bodySent = false
		}
	}
	if !whole || !stopped || !bodySent || a.head.Close || a.link.reader.Buffered() > 0 {
		_ = a.link.Close()
		return
	}
	p.gateway.pool.put(time.Now(), p.endpoint.ID, a.link, keepAlive(a.head.Header))
}

func (a *answer) close() {
	a.stop()
	_ = a.link.Close()
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

// pass gives the endpoint's answer to the caller, unchanged.
func (p *passage) pass() {
	a := p.answer
	p.copyHead(a.head)
	if a.rest == nil && p.request.Method != http.MethodHead && bodyAllowed(a.head.StatusCode) {
		p.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	p.ended("answered", a.head.StatusCode)
	p.writer.WriteHeader(a.head.StatusCode)
	_, err := p.writer.Write(a.body)
	if a.rest == nil {
		if err != nil {
			p.decided("caller left before its answer", zap.Error(err))
		}
		return
	}
	if err == nil {
		_, err = io.Copy(p.writer, a.rest)
	}
	a.release(p, err == nil)
	if err != nil {
		p.decided("long answer broke off", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHead gives the caller the endpoint's headers, and none of the server's own.
func (p *passage) copyHead(head *http.Response) {
	to := p.writer.Header()
	for name, values := range passedOn(head.Header) {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}
