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
	// eventBufferBytes is for reading events; one is some hundred bytes.
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
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
			if len(e.raw) > maxEventBytes {
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
func (p *proxiedRequest) stream(sent time.Time) core.Event {
	a := p.answer
	runEndpoint, tokens, backup := p.endpoint.ID, p.demand(nil).Tokens, p.backup.ID
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
		p.gateway.spread.EndSend(time.Now(), runEndpoint, sent, tokens)
		p.announceRunEnd(runEndpoint)
	}()
	p.gateway.registerStream(p)
	defer p.gateway.unregisterStream(runEndpoint, p)
	watchdog := p.startWatchdog(a.endpointConn)
	defer watchdog.stop()
	events := bufio.NewReaderSize(a.head.Body, eventBufferBytes)
	for {
		e, err := readEvent(events)
		watchdog.reset()
		if errors.Is(err, io.EOF) {
			return p.complete(a)
		}
		if err != nil {
			a.close()
			return p.handleBreak(err)
		}
		p.overdueTimer.stop()
		switch p.eventOrder.classify(e.id) {
		case duplicate:
			continue
		case gap:
			a.close()
			p.logDecision("an event is missing after the copy", zap.String("last_event", p.lastEventID), zap.String("event_id", e.id))
			return core.CallBroken{}
		}
		if err := p.passEvent(a, e); err != nil {
			a.close()
			p.logDecision("caller left its stream", zap.String("last_event", p.lastEventID), zap.Error(err))
			return core.CallAbandoned{}
		}
	}
}

func (p *proxiedRequest) passEvent(a *answer, e event) error {
	if !p.headSent {
		p.headSent = true
		p.copyHeaders(a.head)
		p.writer.WriteHeader(a.head.StatusCode)
	}
	p.call.Step(time.Now(), core.CallProgressed{})
	if _, err := p.writer.Write(e.raw); err != nil {
		return err
	}
	now := time.Now()
	p.recordPacing(now)
	p.gateway.spread.RecordActivity(now, p.endpoint.ID)
	p.lastEventID = e.id
	p.events++
	p.sharedEvents.Store(int64(p.events))
	return http.NewResponseController(p.writer).Flush()
}

// recordPacing notes when an event went to the caller: the first one's delay and the
// longest pause are what the caller feels.
func (p *proxiedRequest) recordPacing(now time.Time) {
	if p.runFirstEventAt.IsZero() {
		p.runFirstEventAt = now
	}
	if p.events == 0 {
		p.gateway.usualAnswer.learn(p.route.Name, now.Sub(p.placedAt))
		p.firstEventDelay = now.Sub(p.start)
		p.firstEventAt = now
		p.gateway.spread.ObservePrefill(p.queuedTokens, now.Sub(p.placedAt))
	} else if gap := now.Sub(p.lastEventAt); gap > p.longestPause {
		p.longestPause = gap
		p.longestPauseAfter = p.lastEventID
	}
	p.lastEventAt = now
}

// learn takes a whole generation's pace and size into the learned means.
func (p *proxiedRequest) learn() {
	if p.events > 1 {
		p.gateway.eventIntervals.learn(p.service.Name, p.lastEventAt.Sub(p.firstEventAt)/time.Duration(p.events-1))
	}
	if engine := p.service.Engine; engine != nil && p.inbound.PromptTokens > 0 {
		p.gateway.spread.ObserveLengths(p.inbound.PromptTokens, p.events*max(engine.EventTokens, 1))
	}
}

func (p *proxiedRequest) complete(a *answer) core.Event {
	if !p.headSent {
		p.headSent = true
		p.copyHeaders(a.head)
		p.writer.WriteHeader(a.head.StatusCode)
	}
	a.release(p, true)
	p.gateway.spread.Succeeded(time.Now(), p.endpoint.ID, p.firstEventDelay)
	p.learn()
	p.recordSuccess()
	p.gateway.counters.observeStream(p.route.Name, p.firstEventDelay, p.longestPause)
	p.recordEnd("streamed", a.head.StatusCode,
		zap.Duration("first_event", p.firstEventDelay),
		zap.Duration("longest_pause", p.longestPause),
		zap.String("pause_after", p.longestPauseAfter),
		zap.Int("events", p.events),
	)
	return core.CallCompleted{}
}

// handleBreak looks for a copy to go on from: that of a move under way, or the
// backup.
func (p *proxiedRequest) handleBreak(err error) core.Event {
	p.reportBreak(time.Now())
	if h := p.awaitHandover(); h != nil && p.headSent {
		p.resumeFrom = h
		return p.failWithBreak(err, true)
	}
	if p.headSent && p.backup.ID != "" {
		// A pause that is 30 ms longer is felt, and the run had begun well.
		p.startEndpointCheck()
		p.resumeFrom = &handover{
			target: p.backup,
			copy:   p.gateway.mover.CopyName(p.inbound.ID, p.backup),
		}
		return p.failWithBreak(err, true)
	}
	p.awaitEndpointCheck()
	return p.failWithBreak(err, false)
}

func (p *proxiedRequest) failWithBreak(err error, copied bool) core.Event {
	return p.failed("the stream broke off", err, core.CallBroken{Copy: copied})
}
