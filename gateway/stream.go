package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
)

const (
	// eventBuffer is for reading events; one is some hundred bytes.
	eventBuffer = 2 << 10
	// largestEvent bounds one event.
	largestEvent = 1 << 20
)

// event is one event of a stream, with the bytes as they came.
type event struct {
	id  string
	raw []byte
}

// errEventTooLarge reports an event over the bound.
var errEventTooLarge = errors.New("an event is over a megabyte")

// readEvent reads one whole event. At a clean end between events it gives
// io.EOF; an end within one gives io.ErrUnexpectedEOF.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.raw) > largestEvent {
				return e, errEventTooLarge
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return e, io.ErrUnexpectedEOF
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// stream passes events on until the stream's end or its break. Sent is when the
// request went out.
func (p *passage) stream(sent time.Time) core.Event {
	a := p.answer
	run, tokens, backup := p.endpoint.ID, p.want(nil).Tokens, p.backup.ID
	if backup != "" {
		p.gateway.spread.Copy(time.Now(), backup, tokens)
		defer p.gateway.spread.Copy(time.Now(), backup, -tokens)
		p.gateway.onPlaced(fleet.Placement{
			Endpoint: backup,
			Tokens:   tokens,
			Copy:     true,
		})
	}
	defer func() {
		p.gateway.spread.EndSend(time.Now(), run, sent, tokens)
		p.tellOver(run)
	}()
	p.gateway.enrol(p)
	defer p.gateway.leave(run, p)
	dog := p.watch(a.link)
	defer dog.stop()
	events := bufio.NewReaderSize(a.head.Body, eventBuffer)
	for {
		e, err := readEvent(events)
		dog.fed()
		if errors.Is(err, io.EOF) {
			return p.complete(a)
		}
		if err != nil {
			a.close()
			return p.broken(err)
		}
		p.overdue.stop()
		switch p.order.take(e.id) {
		case seen:
			continue
		case missing:
			a.close()
			p.decided("an event is missing after the copy", zap.String("last_event", p.last), zap.String("event_id", e.id))
			return core.CallBroken{}
		}
		if err := p.passEvent(a, e); err != nil {
			a.close()
			p.decided("caller left its stream", zap.String("last_event", p.last), zap.Error(err))
			return core.CallAbandoned{}
		}
	}
}

func (p *passage) passEvent(a *answer, e event) error {
	if !p.begun {
		p.begun = true
		p.copyHead(a.head)
		p.writer.WriteHeader(a.head.StatusCode)
	}
	p.call.Step(time.Now(), core.CallProgressed{})
	if _, err := p.writer.Write(e.raw); err != nil {
		return err
	}
	now := time.Now()
	p.paced(now)
	p.gateway.spread.RecordActivity(now, p.endpoint.ID)
	p.last = e.id
	p.events++
	p.made.Store(int64(p.events))
	return http.NewResponseController(p.writer).Flush()
}

// paced notes when an event went to the caller: the first one's delay and the
// longest pause are what the caller feels.
func (p *passage) paced(now time.Time) {
	if p.ranFrom.IsZero() {
		p.ranFrom = now
	}
	if p.events == 0 {
		p.gateway.usual.learn(p.route.Name, now.Sub(p.placedAt))
		p.first = now.Sub(p.start)
		p.begunAt = now
		p.gateway.spread.ObservePrefill(p.queued, now.Sub(p.placedAt))
	} else if gap := now.Sub(p.lastAt); gap > p.longest {
		p.longest = gap
		p.longestAt = p.last
	}
	p.lastAt = now
}

// learn takes a whole generation's pace and size into the learned means.
func (p *passage) learn() {
	if p.events > 1 {
		p.gateway.paces.learn(p.service.Name, p.lastAt.Sub(p.begunAt)/time.Duration(p.events-1))
	}
	if engine := p.service.Engine; engine != nil && p.in.PromptTokens > 0 {
		p.gateway.spread.ObserveLengths(p.in.PromptTokens, p.events*max(engine.EventTokens, 1))
	}
}

func (p *passage) complete(a *answer) core.Event {
	if !p.begun {
		p.begun = true
		p.copyHead(a.head)
		p.writer.WriteHeader(a.head.StatusCode)
	}
	a.release(p, true)
	p.gateway.spread.Succeeded(time.Now(), p.endpoint.ID, p.first)
	p.learn()
	p.survived()
	p.gateway.counts.streamed(p.route.Name, p.first, p.longest)
	p.ended("streamed", a.head.StatusCode,
		zap.Duration("first_event", p.first),
		zap.Duration("longest_pause", p.longest),
		zap.String("pause_after", p.longestAt),
		zap.Int("events", p.events),
	)
	return core.CallCompleted{}
}

// broken looks for a copy to go on from: that of a move under way, or the
// backup.
func (p *passage) broken(err error) core.Event {
	p.noteBreak(time.Now())
	if h := p.awaitHandover(); h != nil && p.begun {
		p.resume = h
		return p.brokenBy(err, true)
	}
	if p.begun && p.backup.ID != "" {
		// A pause that is 30 ms longer is felt, and the run had begun well.
		p.lookAside()
		p.resume = &handover{
			target: p.backup,
			copy:   p.gateway.mover.CopyName(p.in.ID, p.backup),
		}
		return p.brokenBy(err, true)
	}
	p.lookAtEndpoint()
	return p.brokenBy(err, false)
}

func (p *passage) brokenBy(err error, copied bool) core.Event {
	return p.failed("the stream broke off", err, core.CallBroken{Copy: copied})
}
