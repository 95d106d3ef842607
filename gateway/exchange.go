package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// heldAnswer is the most of an answer that is held until it is whole; a
	// longer one is passed on as it comes.
	heldAnswer = 256 << 10
	// inlineBody is the largest body that is written before the answer is
	// read; it fits into the socket's buffer. A longer one is written beside,
	// since the answer may come first.
	inlineBody = 16 << 10
	// freshRest is how long a connection may have rested to carry a request
	// that runs at most once.
	freshRest = 1500 * time.Millisecond
	// strayMost bounds the answers to other requests that are skipped.
	strayMost = 4
)

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

// errStrays reports a connection with answers to other requests only.
var errStrays = errors.New("only answers to other requests came")

// send sends the request to the chosen endpoint and reads the answer, whole or,
// for a stream, up to its first event.
func (p *passage) send(copyName string) core.Event {
	now := time.Now()
	rested := restTime
	if p.route.Kind != routing.Repeatable {
		rested = freshRest
	}
	ctx, cancel := context.WithDeadline(p.request.Context(), p.limit)
	defer cancel()
	l, err := p.gateway.pool.get(ctx, now, p.endpoint, rested)
	if err != nil {
		p.gateway.spread.Failed(now, p.endpoint.ID, true)
		p.decided("endpoint unreachable", zap.String("endpoint", p.endpoint.ID), zap.Error(err))
		if ev := p.over(); ev != nil {
			return ev
		}
		return core.CallUnsent{}
	}
	p.gateway.spread.Begin(now, p.endpoint.ID, p.want(nil).Tokens)
	if p.service.Engine != nil && copyName == "" {
		p.queued = p.gateway.spread.Placed(now, p.endpoint.ID, p.in.PromptTokens)
		p.gateway.onPlaced(fleet.Placement{
			Endpoint: p.endpoint.ID,
			Tokens:   p.in.PromptTokens,
		})
	}
	ev := p.exchange(l, copyName)
	if _, streams := ev.(streamBegun); streams {
		return p.stream(now)
	}
	p.gateway.spread.End(time.Now(), p.endpoint.ID, now, p.want(nil).Tokens)
	return ev
}

// streamBegun says that the answer is a stream whose head is there.
type streamBegun struct{ core.EventBase }

func (p *passage) exchange(l *link, copyName string) core.Event {
	a := &answer{link: l}
	p.answer = a
	_ = l.SetDeadline(p.limit)
	a.stop = context.AfterFunc(p.request.Context(), func() { _ = l.Close() })
	wrote := p.write(a, copyName)
	if wrote != nil && l.written == 0 {
		a.close()
		return p.failed("no byte was sent", wrote, core.CallUnsent{})
	}
	if err := p.readHead(a); err != nil {
		a.close()
		return p.failed("no answer came", err, core.CallBroken{})
	}
	if a.says.NotRun {
		return p.turnedAway(a)
	}
	if a.says.Load != nil {
		p.gateway.spread.Answered(time.Now(), p.endpoint.ID, a.says.Load.Running+a.says.Load.Waiting)
	}
	if fault := a.fault(); fault != "" {
		a.close()
		return p.failed(fault, nil, core.CallBroken{})
	}
	if isEvents(a.head) {
		return streamBegun{}
	}
	return p.readAnswer(a)
}

// failed logs what went wrong with a send and turns it into an event. That the
// time is over or the caller left goes first, but for a send that never began.
func (p *passage) failed(what string, err error, ev core.Event) core.Event {
	over := p.over()
	silent := isTimeout(err)
	if _, left := over.(core.CallAbandoned); !left {
		p.gateway.spread.Failed(time.Now(), p.endpoint.ID, silent)
	}
	p.decided("send failed",
		zap.String("endpoint", p.endpoint.ID),
		zap.String("what", what),
		zap.Bool("kept_connection", !p.answer.link.fresh),
		zap.Duration("after", time.Since(p.placedAt)),
		zap.Error(err),
	)
	if over != nil {
		if _, unsent := ev.(core.CallUnsent); unsent {
			p.call.Step(time.Now(), ev)
		}
		return over
	}
	return ev
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}

// write sends the head and the body.
func (p *passage) write(a *answer, copyName string) error {
	var out bytes.Buffer
	r := p.request
	out.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	h := passedOn(r.Header)
	o := Outbound{
		Left:       time.Until(p.limit),
		Endpoint:   p.endpoint.ID,
		Rank:       p.rank(),
		ContinueAt: copyName,
		LastEvent:  p.last,
	}
	if p.customer != nil {
		o.Customer = p.customer.Name
	}
	if p.backup.ID != "" {
		o.BackupTo = p.backup.Address
	}
	p.gateway.protocol.Outbound(h, o)
	if len(p.body) > 0 || r.ContentLength != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(p.body)))
	}
	if err := h.Write(&out); err != nil {
		return err
	}
	out.WriteString("\r\n")
	if len(p.body) <= inlineBody {
		out.Write(p.body)
		_, err := a.link.Write(out.Bytes())
		return err
	}
	if _, err := a.link.Write(out.Bytes()); err != nil {
		return err
	}
	a.sent = make(chan error, 1)
	go func() {
		_, err := a.link.Conn.Write(p.body)
		a.sent <- err
	}()
	return nil
}

// readHead reads the head of the answer to this request, past answers to
// others that came too late for their own.
func (p *passage) readHead(a *answer) error {
	for strays := 0; strays < strayMost; {
		head, err := http.ReadResponse(a.link.reader, p.request)
		if err != nil {
			return err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		says := p.gateway.protocol.Answer(head.StatusCode, head.Header)
		mine := says.ID == p.in.ID || (says.ID == "" && a.link.fresh && strays == 0)
		if mine {
			a.head = head
			a.says = says
			if strays > 0 {
				head.Close = true
			}
			return nil
		}
		strays++
		p.gateway.counts.strays.Inc()
		p.decided("stray answer", zap.String("endpoint", p.endpoint.ID), zap.String("answers", says.ID))
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return err
		}
	}
	return errStrays
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

// turnedAway takes an answer that says the request was not run.
func (p *passage) turnedAway(a *answer) core.Event {
	status := a.head.StatusCode
	_, err := io.Copy(io.Discard, io.LimitReader(a.head.Body, heldAnswer))
	a.release(p, err == nil)
	if a.says.Load != nil {
		p.gateway.spread.Answered(time.Now(), p.endpoint.ID, a.says.Load.Running+a.says.Load.Waiting)
	}
	p.gateway.spread.Failed(time.Now(), p.endpoint.ID, status == http.StatusMisdirectedRequest)
	p.decided("endpoint refused", zap.String("endpoint", p.endpoint.ID), zap.Int("status", status))
	return core.CallRefused{}
}

// readAnswer holds the answer until it is whole, or until it is too long.
func (p *passage) readAnswer(a *answer) core.Event {
	body, err := io.ReadAll(io.LimitReader(a.head.Body, heldAnswer))
	if err != nil {
		a.close()
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
		p.gateway.spread.Succeeded(time.Now(), p.endpoint.ID, time.Since(p.placedAt))
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
