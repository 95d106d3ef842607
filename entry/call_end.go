package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
)

// callerLost tells that nobody reads the stream any more. An answer that was to
// be given whole has no id by which its caller could come back.
func (k *call) callerLost() {
	if !k.p.stream {
		k.step(core.CallerGone{})
		return
	}
	k.step(core.CallerLeft{})
}

// notTaken tells why the caller did not take what was written.
func (k *call) notTaken(err error) {
	if errors.Is(err, errSlowCaller) {
		k.step(core.CallerSlow{})
		return
	}
	k.callerLost()
}

// release leaves the generation running for a while: its caller may come back
// through any box.
func (k *call) release(origin core.Origin) {
	k.endAttempt()
	placed, m, made := k.placedAs, k.model, int(k.gen.NextOffset)
	k.placedAs = ""
	callersLeft.Inc()
	time.AfterFunc(k.document.Limits.ResumeWindow, func() {
		_ = k.entry.cancelGeneration(origin, true)
		m.step(time.Now(), admission.GenerationEnded{
			ID:        placed,
			Generated: made,
		})
	})
}

// runAgain starts an answer that is given whole over from its beginning, since
// nothing of it reached the caller.
func (k *call) runAgain() bool {
	if k.p.stream || !k.gen.Repeatable || k.restarted || k.gen.Code != core.EndLost {
		return false
	}
	k.restarted = true
	k.out = newWholeWriter(k.c, k.p)
	k.gen = core.NewGeneration(true, k.rules)
	k.gen.MayHaveRun = true
	k.place("")
	return true
}

func (k *call) end(c core.EndStream) {
	k.endAttempt()
	k.freePlace(c.Code == core.EndDone)
	if c.Code == core.EndDone {
		k.entry.quarantine.RecordSuccess(time.Now(), k.content())
		return
	}
	if k.runAgain() {
		return
	}
	problem := endProblem(c)
	if k.out.fail(k.id, k.gen.NextOffset, problem) {
		return
	}
	k.problem = problem
}

// abandon ends a generation whose call was cut short by a panic.
func (k *call) abandon() {
	for _, command := range k.gen.Step(time.Now(), core.CallerGone{}) {
		if c, ok := command.(core.CancelAttempt); ok {
			go k.entry.cancelGeneration(c.Origin, false)
		}
	}
}

// close settles what the call holds beside its stream.
func (k *call) close() {
	if k.gen.State != core.GenerationEnded {
		k.abandon()
	}
	if held, _ := k.entry.calls.Get(k.id); held == k {
		k.entry.calls.Delete(k.id)
	}
	k.endAttempt()
	k.freePlace(false)
	k.pace.end()
	if k.problem == nil {
		countOutcome(k.who.Name, k.gen.Outcome, string(k.gen.Code))
	}
	if k.claim != nil {
		k.entry.settle(k.claim, k.gen.Outcome, 0, []byte(k.id))
	}
}

func endProblem(c core.EndStream) *Problem {
	p := &Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       string(c.Code),
		Outcome:    c.Outcome,
		RetryAfter: time.Second,
	}
	switch c.Code {
	case core.EndRefused:
		p.Message = "no endpoint took the request; come back after the time in Retry-After"
	case core.EndLost:
		p.Message = "the generation was lost with its endpoint; send the request again for a new one"
	case core.EndNotRepeatable:
		p.Message = "the endpoint was lost before it answered and the request may not be repeated; look at its effects first"
	case core.EndCancelled:
		p.Status = statusClientClosed
		p.Message = "the request was cancelled"
	case core.EndSlowCaller:
		p.Message = "the stream was not read for the time slow_caller; continue it soon at GET /v1/streams/ID with Last-Event-ID, and read faster"
	case core.EndRetriesSpent:
		p.Message = "every attempt was lost before its first token; come back after the time in Retry-After"
	}
	return p
}

// statusClientClosed is the usual status of a request whose caller left.
const statusClientClosed = 499
