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

func (k *call) attach(attempt int) (context.Context, chan engine.Message) {
	k.endAttempt()
	ctx, cancel := context.WithCancel(context.Background())
	k.endSink = cancel
	k.sink = make(chan engine.Message, sinkSize)
	k.sinkFor = attempt
	k.life = 0
	return ctx, k.sink
}

func (k *call) endAttempt() {
	if k.endSink != nil {
		k.endSink()
		k.endSink = nil
		k.sink = nil
	}
}

func (k *call) send(c core.SendAttempt) {
	settings := k.document.Endpoint(c.Origin.Endpoint)
	if settings == nil {
		k.step(core.Refused{Attempt: c.Attempt})
		return
	}
	ctx, sink := k.attach(c.Attempt)
	k.step(core.Sending{Attempt: c.Attempt})
	until := k.until
	if k.claim != nil && k.claim.until.Before(until) {
		until = k.claim.until
	}
	go k.entry.worker.Start(ctx, engine.Call{
		Address:    settings.Address,
		Endpoint:   settings.Name,
		Generation: c.Origin.Generation,
		Chat:       k.p.chat,
		Model:      k.p.model,
		Priority:   k.request.Rank,
		MaxTokens:  k.p.most,
		Body:       k.p.body,
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
	ctx, sink := k.attach(c.Attempt)
	go func() {
		time.Sleep(c.Delay)
		k.entry.worker.Resume(ctx, engine.ResumeCall{
			Address: settings.Address,
			Origin:  c.Origin,
			Chat:    k.p.chat,
			From:    c.From,
		}, sink)
	}()
}

// next takes one message of the attempt, or notices that none came in time or
// that the caller left.
func (k *call) next() {
	timer := time.NewTimer(k.patience())
	defer timer.Stop()
	select {
	case m, open := <-k.sink:
		if !open {
			k.step(core.LinkLost{Attempt: k.sinkFor})
			return
		}
		k.take(m)
	case <-timer.C:
		k.endAttempt()
		k.step(core.LinkLost{Attempt: k.sinkFor})
	case <-k.ctx.Done():
		k.callerLost()
	case <-k.replaced:
		k.step(core.CallerLeft{})
	case <-k.cancelled:
		k.step(core.CallerGone{})
	}
}

// patience is how long the next message may take; the first may wait in the
// endpoint's own queue.
func (k *call) patience() time.Duration {
	if k.gen.State == core.GenerationPlaced {
		return k.document.Limits.MaxWait
	}
	return k.document.Limits.ProgressTimeout
}

func (k *call) take(m engine.Message) {
	switch t := m.(type) {
	case engine.Token:
		k.tokens(t)
	case engine.Opened:
		if t.Incarnation != 0 { // one that says nothing stands for the end of a batch
			k.life = t.Incarnation
		}
	case engine.Finished:
		k.finished(t)
	case engine.Refused:
		k.refusedBy(t)
	case engine.Unsent:
		k.step(core.Refused{Attempt: k.sinkFor})
	case engine.Lost:
		k.lookAtEndpoint()
		k.endAttempt()
		k.step(core.LinkLost{Attempt: k.sinkFor})
	case engine.Gone:
		k.step(core.GenerationGone{Attempt: k.sinkFor})
	}
}

// tokens writes a token and those that already wait behind it in one go.
func (k *call) tokens(t engine.Token) {
	count := k.token(t)
	var after engine.Message
	for after == nil && count < sinkSize && k.sink != nil {
		select {
		case m, open := <-k.sink:
			if !open {
				after = engine.Lost{}
			} else if more, ok := m.(engine.Token); ok {
				count += k.token(more)
			} else {
				after = m
			}
		default:
			after = engine.Opened{}
		}
	}
	if count > 0 {
		k.pace.tokens(time.Now(), count)
		k.customer.spend(count)
		k.report()
		if err := k.out.flush(); err != nil {
			k.notTaken(err)
			return
		}
	}
	k.take(after)
}

// token forwards one token if the generation accepts it, and counts it.
func (k *call) token(t engine.Token) int {
	arrived := core.FrameArrived{
		Attempt: k.sinkFor,
		Origin:  t.Origin,
		Offset:  t.Offset,
	}
	reason := k.gen.CheckFrame(k.sinkFor, t.Origin, t.Offset)
	if reason == core.DropGap {
		k.step(arrived)
		return 0
	}
	if k.entry.recorder != nil { // the event would be made on the heap for nothing
		k.entry.recorder.Event(time.Now(), trace.Generation+k.name, arrived)
	}
	if reason != core.DropNone {
		countDropped(reason)
		return 0
	}
	if k.id == "" {
		k.identify(t.Origin)
	}
	k.out.token(k.id, t.Offset, t.Data)
	k.gen.CountForwarded()
	return 1
}

// identify names the stream when its first token is there: the id says which
// generation it is, for any box to continue it.
func (k *call) identify(origin core.Origin) {
	id, err := seal(k.entry.settings.Secret, &identity{
		Endpoint:    origin.Endpoint,
		Incarnation: origin.Incarnation,
		Generation:  origin.Generation,
		Customer:    k.who.Name,
		Model:       k.p.model,
		Chat:        k.p.chat,
		Prompt:      k.p.prompt,
		Most:        k.p.most,
	})
	if err != nil {
		return
	}
	k.id = id
	k.entry.calls.Put(id, k)
	k.out.begin(id)
}

func (k *call) report() {
	if k.gen.NextOffset-k.reported < reportEvery || k.placedAs == "" {
		return
	}
	k.reported = k.gen.NextOffset
	k.model.step(time.Now(), admission.TokensMade{
		ID:        k.placedAs,
		Generated: int(k.gen.NextOffset),
	})
}

func (k *call) finished(f engine.Finished) {
	if k.id == "" {
		k.identify(f.Origin)
	}
	k.usage = f.Usage
	k.pace.m.preempted.Add(f.Usage.Preempted)
	before := k.gen.NextOffset
	k.step(core.FrameArrived{
		Attempt: k.sinkFor,
		Origin:  f.Origin,
		Offset:  f.Offset,
		Final:   true,
	})
	if k.gen.State == core.GenerationEnded && k.gen.Code == core.EndDone {
		if k.out.finish(k.id, before, f) != nil {
			k.callerLost()
		}
	}
}

// refusedBy tells a refusal that another endpoint would repeat from one that is
// worth another try.
func (k *call) refusedBy(r engine.Refused) {
	switch r.Status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		k.step(core.CallerGone{})
		k.problem = invalid(r.Status, "endpoint_rejected", "the endpoint rejected the request: "+r.Text+"; correct it")
		return
	}
	k.step(core.Refused{Attempt: k.sinkFor})
}
