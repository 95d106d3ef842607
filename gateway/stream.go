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
	// eventBufferBytes is the size of the buffer for reading events.
	eventBufferBytes = 2 << 10
	// maxEventBytes is the size of the largest event.
	maxEventBytes = 256 << 10
	// smallEventBytes is the size up to which no memory is reserved for an event.
	smallEventBytes = 4 << 10
	// eventStepBytes is how much more of an event is read for each reservation of answerChunkBytes;
	// the buffer doubles as it grows.
	eventStepBytes = answerChunkBytes / 2
)

// event is one server-sent event, with its bytes as they were received.
type event struct {
	id  string
	raw []byte
}

// Errors of events that are not read to their ends.
var (
	errEventTooLarge    = errors.New("event is larger than 256 KiB")
	errNoMemoryForEvent = errors.New("no memory is left for a large event")
)

// readEvent reads one event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (p *proxiedRequest) readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		if !p.reserveEventMemory(len(e.raw)) {
			return e, errNoMemoryForEvent
		}
		if errors.Is(err, bufio.ErrBufferFull) {
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

// reserveEventMemory reserves memory for an event, of which it keeps what the largest one needed until
// the request ends, and reports whether there was enough.
func (p *proxiedRequest) reserveEventMemory(size int) bool {
	for size > smallEventBytes+p.eventBytes {
		if !p.reserveAnswerMemory() {
			return false
		}
		p.eventBytes += eventStepBytes
	}
	return true
}

// stream passes events to the caller until the stream ends or breaks off. sent is the time
// at which the request was sent.
func (p *proxiedRequest) stream(sent time.Time) core.Event {
	a := p.answer
	runEndpoint, tokens, backup := p.endpoint.ID, p.requirements(nil).Tokens, p.backup.ID
	if backup != "" {
		p.gateway.balancer.Copy(time.Now(), backup, tokens)
		defer p.gateway.balancer.Copy(time.Now(), backup, -tokens)
		p.gateway.onPlaced(fleet.Placement{
			Endpoint: backup,
			Tokens:   tokens,
			Copy:     true,
		})
	}
	defer func() {
		p.gateway.balancer.EndSend(time.Now(), runEndpoint, sent, tokens)
		p.announceRunEnd(runEndpoint)
	}()
	p.gateway.registerStream(p)
	defer p.gateway.unregisterStream(runEndpoint, p)
	watchdog := p.startWatchdog(a.endpointConn)
	defer watchdog.stop()
	events := bufio.NewReaderSize(a.head.Body, eventBufferBytes)
	for {
		e, err := p.readEvent(events)
		watchdog.reset()
		fault := faultyBody
		if errors.Is(err, io.EOF) {
			if !p.mayBeCut(a) {
				return p.complete(a)
			}
			err, fault = io.ErrUnexpectedEOF, faultyEnd
		}
		if err != nil {
			a.close()
			p.countFaultyAnswer(fault, err)
			return p.handleBreak(err)
		}
		p.overdueTimer.stop()
		switch p.eventOrder.classify(e.id) {
		case duplicate:
			continue
		case gap:
			a.close()
			p.logDecision("events missing after the continuation; answer dropped", zap.String("last_event", p.lastEventID), zap.String("event_id", e.id))
			return core.CallBroken{}
		}
		if err := p.passEvent(a, e); err != nil {
			a.close()
			p.logDecision("caller disconnected during its stream", zap.String("last_event", p.lastEventID), zap.Error(err))
			return core.CallAbandoned{}
		}
	}
}

// passEvent passes an event to the caller and records its times.
func (p *proxiedRequest) passEvent(a *answer, e event) error {
	p.sendHead(a)
	received := time.Now()
	p.call.RecordProgress()
	if _, err := p.writer.Write(e.raw); err != nil {
		return err
	}
	now := time.Now()
	p.recordPacing(now)
	p.recordPace(received)
	p.gateway.balancer.RecordActivity(now, p.endpoint.ID)
	p.lastEventID = e.id
	p.events++
	p.sharedEvents.Store(int64(p.events))
	if err := http.NewResponseController(p.writer).Flush(); err != nil {
		return err
	}
	p.recordPassTime(time.Since(received))
	return nil
}

// recordPacing records the time of an event: the first event's delay and the longest pause
// are the stream's latency for its caller.
func (p *proxiedRequest) recordPacing(now time.Time) {
	if p.runFirstEventAt.IsZero() {
		p.runFirstEventAt = now
		p.handleFirstEvent()
	}
	if !p.isBeyondBeginning && now.Sub(p.runFirstEventAt) >= maxBeginning {
		p.isBeyondBeginning = true
		p.gateway.partQuarantine.RecordSound(now, p.prompt(), p.runFirstEventAt)
	}
	if p.events == 0 {
		p.gateway.usualAnswerTimes.updateAverages(p.route.Name, now.Sub(p.placedAt))
		p.firstEventDelay = now.Sub(p.start)
		p.firstEventAt = now
		p.gateway.balancer.ObservePrefill(p.queuedTokens, now.Sub(p.placedAt))
	} else if gap := now.Sub(p.lastEventAt); gap > p.longestPause {
		p.longestPause = gap
		p.longestPauseAfter = p.lastEventID
		if p.route.PauseTarget > 0 && gap > p.route.PauseTarget {
			p.missedPause.Store(true)
		}
	}
	p.lastEventAt = now
}

// updateAverages updates the averages of event intervals and output lengths after a complete stream.
func (p *proxiedRequest) updateAverages() {
	if p.events > 1 {
		p.gateway.eventIntervals.updateAverages(p.service.Name, p.lastEventAt.Sub(p.firstEventAt)/time.Duration(p.events-1))
	}
	if engine := p.service.Engine; engine != nil && p.inbound.PromptTokens > 0 {
		p.gateway.balancer.ObserveLengths(p.inbound.PromptTokens, p.events*max(engine.EventTokens, 1))
	}
}

func (p *proxiedRequest) complete(a *answer) core.Event {
	p.sendHead(a)
	a.release(p, true)
	p.gateway.balancer.Succeeded(time.Now(), p.endpoint.ID, p.firstEventDelay)
	p.updateAverages()
	p.recordSuccess(p.beganWritingAt())
	p.gateway.counters.observeStream(p.route.Name, p.firstEventDelay, p.longestPause)
	p.recordEnd("streamed", a.head.StatusCode,
		zap.Duration("first_event", p.firstEventDelay),
		zap.Duration("longest_pause", p.longestPause),
		zap.String("pause_after", p.longestPauseAfter),
		zap.Int("events", p.events),
	)
	return core.CallCompleted{}
}

// beganWritingAt returns when the current run sent its first event, or when it was sent if it had
// none.
func (p *proxiedRequest) beganWritingAt() time.Time {
	if p.runFirstEventAt.IsZero() {
		return p.placedAt
	}
	return p.runFirstEventAt
}

// handleBreak handles a stream that broke off. It looks for a copy to continue from: that of
// a move in progress, or the backup.
func (p *proxiedRequest) handleBreak(err error) core.Event {
	p.reportBreak(time.Now())
	p.reportLoss(time.Now(), p.endpoint.ID, err)
	if h := p.awaitCopy(); h != nil && p.headSent {
		p.resumeFrom = h
		return p.failWithBreak(err, true)
	}
	if p.headSent && p.backup.ID != "" {
		// The check runs in the background: waiting for it would add a noticeable pause.
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
