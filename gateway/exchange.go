package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/fleet"
)

const (
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

// errStrays reports a connection with answers to other requests only.
var errStrays = errors.New("only answers to other requests came")

// send sends the request to the chosen endpoint and reads the answer, whole or,
// for a stream, up to its first event.
func (p *passage) send(copyName string) core.Event {
	now := time.Now()
	p.ranFrom = time.Time{}
	rested := restTime
	if !p.route.MayRepeat() {
		rested = freshRest
	}
	ctx, cancel := context.WithDeadline(p.request.Context(), p.until())
	defer cancel()
	l, err := p.gateway.pool.get(ctx, now, p.endpoint, rested, p.connectWithin(copyName))
	if err != nil {
		p.gateway.gate.drop(p.endpoint)
		p.gateway.spread.Failed(time.Now(), p.endpoint.ID, true)
		p.gateway.onPlaced(fleet.Placement{
			Endpoint:      p.endpoint.ID,
			AnswerOverdue: true,
		})
		p.decided("endpoint unreachable", zap.String("endpoint", p.endpoint.ID), zap.Error(err))
		if ev := p.over(); ev != nil {
			return ev
		}
		return core.CallUnsent{}
	}
	if !p.gateway.gate.send(time.Now(), p.service, p.endpoint) {
		_ = l.Close()
		p.decided("endpoint takes no more now", zap.String("endpoint", p.endpoint.ID))
		return core.CallUnsent{}
	}
	p.tellBegin(now, copyName != "")
	p.gateway.spread.BeginSend(now, p.endpoint.ID, p.want(nil).Tokens, p.told)
	p.overdue = p.awaitAnswer(l)
	defer p.overdue.stop()
	ev := p.exchange(l, copyName)
	if _, streams := ev.(streamBegun); streams {
		return p.stream(now)
	}
	p.overdue.stop()
	p.gateway.spread.EndSend(time.Now(), p.endpoint.ID, now, p.want(nil).Tokens)
	p.tellOver(p.endpoint.ID)
	return ev
}

// connectWithin bounds a new connection: short where another endpoint can take the
// request, which a copy can't go on at.
func (p *passage) connectWithin(copyName string) time.Duration {
	if copyName != "" {
		return connectTime
	}
	for _, e := range p.candidates(time.Now()) {
		if !p.tried[e.ID] {
			return connectElsewhere
		}
	}
	return connectTime
}

// streamBegun says that the answer is a stream whose head is there.
type streamBegun struct{ core.EventBase }

func (p *passage) exchange(l *link, copyName string) core.Event {
	a := &answer{link: l}
	p.answer = a
	_ = l.SetDeadline(p.until())
	a.stop = context.AfterFunc(p.request.Context(), func() { _ = l.Close() })
	wrote := p.write(a, copyName)
	if wrote != nil && l.written == 0 {
		a.close()
		return p.failed("no byte was sent", wrote, core.CallUnsent{})
	}
	if err := p.readHead(a); err != nil {
		a.close()
		p.lookAtEndpoint()
		return p.failed("no answer came", err, core.CallBroken{})
	}
	if a.says.NotRun {
		return p.turnedAway(a)
	}
	if a.says.Load != nil {
		p.gateway.spread.ObserveLoad(time.Now(), p.endpoint.ID, a.says.Load.Running+a.says.Load.Waiting)
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
	silent := engine.TimedOut(err)
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

// write sends the head and the body.
func (p *passage) write(a *answer, copyName string) error {
	var out bytes.Buffer
	r := p.request
	out.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	h := passedOn(r.Header)
	o := Outbound{
		TimeLeft:   time.Until(p.until()),
		Endpoint:   p.endpoint.Name(),
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
		p.gateway.HandleNotice(time.Now(), p.endpoint, says.Notice)
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

// turnedAway takes an answer that says the request was not run.
func (p *passage) turnedAway(a *answer) core.Event {
	status := a.head.StatusCode
	_, err := io.Copy(io.Discard, io.LimitReader(a.head.Body, heldAnswer))
	a.release(p, err == nil)
	if a.says.Load != nil {
		p.gateway.spread.ObserveLoad(time.Now(), p.endpoint.ID, a.says.Load.Running+a.says.Load.Waiting)
	}
	p.gateway.spread.Failed(time.Now(), p.endpoint.ID, status == http.StatusMisdirectedRequest)
	p.decided("endpoint refused", zap.String("endpoint", p.endpoint.ID), zap.Int("status", status))
	return core.CallRefused{}
}
