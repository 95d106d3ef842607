package entry

import (
	"context"
	"net/http"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/trace"
)

// openSink replaces the sink of the previous attempt by one for a new attempt.
func (k *call) openSink(attempt int) (context.Context, chan engine.Message) {
	k.closeSink()
	ctx, cancel := context.WithCancel(context.Background())
	k.cancelSink = cancel
	k.sink = make(chan engine.Message, sinkCapacity)
	k.sinkAttempt = attempt
	k.incarnation = 0
	return ctx, k.sink
}

func (k *call) closeSink() {
	if k.cancelSink != nil {
		k.cancelSink()
		k.cancelSink = nil
		k.sink = nil
	}
}

func (k *call) send(c core.SendAttempt) {
	settings := k.document.Endpoint(c.Origin.Endpoint)
	if settings == nil {
		k.step(core.Refused{Attempt: c.Attempt})
		return
	}
	ctx, sink := k.openSink(c.Attempt)
	k.step(core.Sending{Attempt: c.Attempt})
	until := k.until
	if k.claim != nil && k.claim.until.Before(until) {
		until = k.claim.until
	}
	go k.entry.worker.Start(ctx, engine.Call{
		Address:    settings.Address,
		Endpoint:   settings.Name,
		Generation: c.Origin.Generation,
		Chat:       k.parsed.isChat,
		Model:      k.parsed.model,
		Priority:   k.request.Rank,
		MaxTokens:  k.parsed.maxTokens,
		Body:       k.parsed.body,
		LeaseEnd:   until,
	}, sink)
}

func (k *call) resume(c core.Resume) {
	settings := k.document.Endpoint(c.Origin.Endpoint)
	if settings == nil {
		k.step(core.GenerationGone{Attempt: c.Attempt})
		return
	}
	resumes.Inc()
	ctx, sink := k.openSink(c.Attempt)
	go func() {
		time.Sleep(c.Delay)
		k.entry.worker.Resume(ctx, engine.ResumeCall{
			Address: settings.Address,
			Origin:  c.Origin,
			Chat:    k.parsed.isChat,
			From:    c.From,
		}, sink)
	}()
}

// handleNextMessage waits for the next message of the attempt and handles it, or handles a
// timeout, a disconnect or a cancellation.
func (k *call) handleNextMessage() {
	timer := time.NewTimer(k.messageTimeout())
	defer timer.Stop()
	select {
	case m, open := <-k.sink:
		if !open {
			k.step(core.LinkLost{Attempt: k.sinkAttempt})
			return
		}
		k.handleMessage(m)
	case <-timer.C:
		k.closeSink()
		k.step(core.LinkLost{Attempt: k.sinkAttempt})
	case <-k.ctx.Done():
		k.handleCallerLoss()
	case <-k.superseded:
		k.step(core.CallerLeft{})
	case <-k.cancelled:
		k.step(core.CallerGone{})
	}
}

// messageTimeout returns the time limit for the next message. The first message has a longer
// limit, because the request may wait in the endpoint's own queue.
func (k *call) messageTimeout() time.Duration {
	if k.gen.State == core.GenerationPlaced {
		return k.document.Limits.MaxWait
	}
	return k.document.Limits.ProgressTimeout
}

func (k *call) handleMessage(m engine.Message) {
	switch t := m.(type) {
	case engine.Token:
		k.tokens(t)
	case engine.Opened:
		if t.Incarnation != 0 { // tokens passes an empty Opened at the end of a batch
			k.incarnation = t.Incarnation
		}
	case engine.Finished:
		k.handleFinished(t)
	case engine.Refused:
		k.handleRefusal(t)
	case engine.Unsent:
		k.step(core.Refused{Attempt: k.sinkAttempt})
	case engine.Lost:
		k.detectEndpointCrash()
		k.closeSink()
		k.step(core.LinkLost{Attempt: k.sinkAttempt})
	case engine.Gone:
		k.step(core.GenerationGone{Attempt: k.sinkAttempt})
	}
}

// tokens writes a token, and all tokens already buffered after it, in one write. It then
// handles the message that follows them.
func (k *call) tokens(t engine.Token) {
	count := k.writeToken(t)
	var after engine.Message
	for after == nil && count < sinkCapacity && k.sink != nil {
		select {
		case m, open := <-k.sink:
			if !open {
				after = engine.Lost{}
			} else if more, ok := m.(engine.Token); ok {
				count += k.writeToken(more)
			} else {
				after = m
			}
		default:
			after = engine.Opened{}
		}
	}
	if count > 0 {
		k.streamMetrics.tokens(time.Now(), count)
		k.customer.chargeTokens(count)
		k.reportProgress()
		if err := k.out.flush(); err != nil {
			k.handleWriteError(err)
			return
		}
	}
	k.handleMessage(after)
}

// writeToken writes a token to the caller if the generation accepts it, and returns the number
// of tokens written. The caller's writer is not flushed.
func (k *call) writeToken(t engine.Token) int {
	arrived := core.FrameArrived{
		Attempt: k.sinkAttempt,
		Origin:  t.Origin,
		Offset:  t.Offset,
	}
	reason := k.gen.CheckFrame(k.sinkAttempt, t.Origin, t.Offset)
	if reason == core.DropGap {
		k.step(arrived)
		return 0
	}
	if k.entry.recorder != nil { // avoids allocating the event when tracing is off
		k.entry.recorder.Event(time.Now(), trace.Generation+k.name, arrived)
	}
	if reason != core.DropNone {
		countDropped(reason)
		return 0
	}
	if k.id == "" {
		k.assignID(t.Origin)
	}
	k.out.writeToken(k.id, t.Offset, t.Data)
	k.gen.CountForwarded()
	return 1
}

// assignID creates the stream ID when the first token arrives. The ID identifies the
// generation, so that any box can continue the stream.
func (k *call) assignID(origin core.Origin) {
	id, err := encodeStreamID(k.entry.settings.Secret, &streamIdentity{
		Endpoint:     origin.Endpoint,
		Incarnation:  origin.Incarnation,
		Generation:   origin.Generation,
		Customer:     k.customerConfig.Name,
		Model:        k.parsed.model,
		Chat:         k.parsed.isChat,
		PromptTokens: k.parsed.promptTokens,
		MaxTokens:    k.parsed.maxTokens,
	})
	if err != nil {
		return
	}
	k.id = id
	k.entry.calls.Put(id, k)
	k.out.begin(id)
}

func (k *call) reportProgress() {
	if k.gen.NextOffset-k.reportedOffset < reportInterval || k.placementID == "" {
		return
	}
	k.reportedOffset = k.gen.NextOffset
	k.model.step(time.Now(), admission.TokensMade{
		ID:        k.placementID,
		Generated: int(k.gen.NextOffset),
	})
}

func (k *call) handleFinished(f engine.Finished) {
	if k.id == "" {
		k.assignID(f.Origin)
	}
	k.usage = f.Usage
	k.streamMetrics.histograms.preemptions.Add(f.Usage.Preempted)
	before := k.gen.NextOffset
	k.step(core.FrameArrived{
		Attempt: k.sinkAttempt,
		Origin:  f.Origin,
		Offset:  f.Offset,
		Final:   true,
	})
	if k.gen.State == core.GenerationEnded && k.gen.Code == core.EndDone {
		if k.out.finish(k.id, before, f) != nil {
			k.handleCallerLoss()
		}
	}
}

// handleRefusal rejects the request if every endpoint would refuse it, and retries it
// otherwise.
func (k *call) handleRefusal(r engine.Refused) {
	switch r.Status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		k.step(core.CallerGone{})
		k.problem = newRejection(r.Status, "endpoint_rejected", "the endpoint rejected the request: "+r.Text+"; correct it")
		return
	}
	k.step(core.Refused{Attempt: k.sinkAttempt})
}
