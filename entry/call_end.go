package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
)

// handleCallerLoss handles the disconnect of the caller. A caller that waits for a buffered
// answer has received no stream ID to continue with, so its generation is cancelled.
func (k *call) handleCallerLoss() {
	if !k.parsed.isStreaming {
		k.step(core.CallerGone{})
		return
	}
	k.step(core.CallerLeft{})
}

// handleWriteError handles a failed write to the caller.
func (k *call) handleWriteError(err error) {
	if errors.Is(err, errSlowCaller) {
		k.step(core.CallerSlow{})
		return
	}
	k.handleCallerLoss()
}

// detachCaller keeps the generation running for the resume window, in which its caller may
// continue the stream through any box.
func (k *call) detachCaller(origin core.Origin) {
	k.closeSink()
	placement, m, generated := k.placementID, k.model, int(k.gen.NextOffset)
	k.placementID = ""
	callersLeft.Inc()
	time.AfterFunc(k.document.Limits.ResumeWindow, func() {
		_ = k.entry.cancelGeneration(origin, true)
		m.step(time.Now(), admission.GenerationEnded{
			ID:        placement,
			Generated: generated,
		})
	})
}

// restart starts a lost, repeatable buffered answer over, since its caller has received
// nothing of it. It reports whether it did.
func (k *call) restart() bool {
	if k.parsed.isStreaming || !k.gen.Repeatable || k.restarted || k.gen.Code != core.EndLost {
		return false
	}
	k.restarted = true
	k.out = newBufferedWriter(k.c, k.parsed)
	k.gen = core.NewGeneration(true, k.rules)
	k.gen.MayHaveRun = true
	k.place("")
	return true
}

func (k *call) endStream(c core.EndStream) {
	k.closeSink()
	k.releasePlacement(c.Code == core.EndDone)
	if c.Code == core.EndDone {
		k.entry.quarantine.RecordSuccess(time.Now(), k.contentDigest())
		return
	}
	if k.restart() {
		return
	}
	problem := endProblem(c)
	if k.out.fail(k.id, k.gen.NextOffset, problem) {
		return
	}
	k.problem = problem
}

// cancelUnfinished cancels the generation of a call that a panic interrupted.
func (k *call) cancelUnfinished() {
	for _, command := range k.gen.Step(time.Now(), core.CallerGone{}) {
		if c, ok := command.(core.CancelAttempt); ok {
			go k.entry.cancelGeneration(c.Origin, false)
		}
	}
}

// close releases the call's resources, records its metrics and settles its claim.
func (k *call) close() {
	if k.gen.State != core.GenerationEnded {
		k.cancelUnfinished()
	}
	if current, _ := k.entry.calls.Get(k.id); current == k {
		k.entry.calls.Delete(k.id)
	}
	k.closeSink()
	k.releasePlacement(false)
	k.streamMetrics.recordStalls()
	if k.problem == nil {
		countOutcome(k.customerConfig.Name, k.gen.Outcome, string(k.gen.Code))
	}
	if k.claim != nil {
		k.entry.settleClaim(k.claim, k.gen.Outcome, 0, []byte(k.id))
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

// statusClientClosed is the non-standard status 499, used when the caller closed the request.
const statusClientClosed = 499
