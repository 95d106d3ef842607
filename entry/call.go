package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/trace"
)

// sinkSize bounds the messages between a worker and a caller: a slow caller
// holds its worker up and, by that, its endpoint's link.
const sinkSize = 64

// reportEvery is after how many tokens admission learns of a stream's progress.
const reportEvery = 16

// call carries one caller's stream from admission to its end. Its decisions are
// the generation's; it only does what they ask.
type call struct {
	entry     *Entry
	ctx       context.Context
	c         *app.RequestContext
	document  *config.Document
	who       *config.Customer
	customer  *customer
	model     *model
	p         *parsed
	request   admission.Request
	rules     core.GenerationRules
	gen       *core.Generation
	out       writer
	pace      pace
	claim     *claim
	name      string
	id        string
	placedAs  string
	until     time.Time
	sink      chan engine.Message
	endSink   context.CancelFunc
	sinkFor   int
	reported  uint64
	usage     engine.Usage
	cancelled chan struct{}
	once      sync.Once
	replaced  chan struct{}
	replace   sync.Once
	restarted bool
	problem   *Problem
}

// writer hands a stream to its caller.
type writer interface {
	token(id string, offset uint64, data []byte)
	flush() error
	finish(id string, offset uint64, last engine.Finished) error
	fail(id string, offset uint64, p *Problem) bool // false: nothing was sent yet
	begin(id string)
}

// run carries the call to its end; a problem is for the caller to be told while
// nothing was sent.
func (k *call) run() *Problem {
	k.perform(core.PlaceAgain{})
	for k.gen.State != core.GenerationEnded {
		k.next()
	}
	k.close()
	return k.problem
}

// cancel ends the call from outside.
func (k *call) cancel() { k.once.Do(func() { close(k.cancelled) }) }

// supersede makes an older link of the same stream leave it to a newer one.
func (k *call) supersede() { k.replace.Do(func() { close(k.replaced) }) }

func (k *call) step(ev core.Event) {
	now := time.Now()
	k.entry.recorder.Event(now, trace.Generation+k.name, ev)
	for _, command := range k.gen.Step(now, ev) {
		k.perform(command)
	}
}

func (k *call) perform(command core.Command) {
	switch c := command.(type) {
	case core.PlaceAgain:
		k.place(c.Avoid)
	case core.SendAttempt:
		k.send(c)
	case core.Resume:
		k.resume(c)
	case core.DropFrame:
		countDropped(c.Reason)
	case core.CancelAttempt:
		k.endAttempt()
		go k.entry.cancelGeneration(c.Origin, false)
	case core.ReleaseStream:
		k.release(c.Origin)
	case core.EndStream:
		k.end(c)
	}
}

// place waits for a place, a refusal or the caller's leaving.
func (k *call) place(avoid string) {
	k.freePlace(false)
	if avoid != "" && !k.mayTryAgain() {
		k.giveUp(admission.RefuseOverload, time.Second)
		return
	}
	k.request.ID = newToken()
	k.request.Avoid = avoid
	waiter := k.model.arrive(time.Now(), k.request)
	select {
	case answer := <-waiter:
		k.placed(answer)
	case <-k.ctx.Done():
		k.model.withdraw(time.Now(), k.request.ID, k.who.Name, waiter)
		k.step(core.CallerGone{})
	case <-k.cancelled:
		k.model.withdraw(time.Now(), k.request.ID, k.who.Name, waiter)
		k.step(core.CallerGone{})
	}
}

func (k *call) mayTryAgain() bool {
	retries.Inc()
	return k.customer.mayRetry()
}

func (k *call) placed(answer core.Command) {
	switch c := answer.(type) {
	case admission.PlaceRequest:
		k.placedAs = c.ID
		k.until = c.Until
		k.pace.m.waiting.Update(c.Waited.Seconds())
		k.step(core.Placed{
			Endpoint:   c.Endpoint,
			Generation: newToken(),
		})
	case admission.RefuseRequest:
		k.giveUp(c.Reason, c.RetryAfter)
	}
}

// giveUp refuses the request at once, with when to come back.
func (k *call) giveUp(reason admission.RefusalReason, after time.Duration) {
	k.step(core.CallerGone{})
	status := http.StatusServiceUnavailable
	if reason == admission.RefusePolicy || reason == admission.RefuseWaiting {
		status = http.StatusTooManyRequests
	}
	k.problem = refused(status, string(reason), "the engines are crowded; come back after the time in Retry-After", after)
	k.problem.Outcome = k.gen.Outcome
}

// freePlace tells admission that the call holds no memory any more.
func (k *call) freePlace(whole bool) {
	if k.placedAs == "" {
		return
	}
	k.model.step(time.Now(), admission.GenerationEnded{
		ID:        k.placedAs,
		Generated: int(k.gen.Next),
		Whole:     whole,
	})
	k.placedAs = ""
}

func (k *call) attach(attempt int) (context.Context, chan engine.Message) {
	k.endAttempt()
	ctx, cancel := context.WithCancel(context.Background())
	k.endSink = cancel
	k.sink = make(chan engine.Message, sinkSize)
	k.sinkFor = attempt
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
		Until:      until,
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
	return k.document.Limits.Progress
}

func (k *call) take(m engine.Message) {
	switch t := m.(type) {
	case engine.Token:
		k.tokens(t)
	case engine.Finished:
		k.finished(t)
	case engine.Refused:
		k.refusedBy(t)
	case engine.Unsent:
		k.step(core.Refused{Attempt: k.sinkFor})
	case engine.Lost:
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
		if k.out.flush() != nil {
			k.callerLost()
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
	reason := k.gen.Accept(k.sinkFor, t.Origin, t.Offset)
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
	k.gen.Forwarded()
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
	if k.gen.Next-k.reported < reportEvery || k.placedAs == "" {
		return
	}
	k.reported = k.gen.Next
	k.model.step(time.Now(), admission.TokensMade{
		ID:        k.placedAs,
		Generated: int(k.gen.Next),
	})
}

func (k *call) finished(f engine.Finished) {
	if k.id == "" {
		k.identify(f.Origin)
	}
	k.usage = f.Usage
	k.pace.m.preempted.Add(f.Usage.Preempted)
	before := k.gen.Next
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

// callerLost tells that nobody reads the stream any more. An answer that was to
// be given whole has no id by which its caller could come back.
func (k *call) callerLost() {
	if !k.p.stream {
		k.step(core.CallerGone{})
		return
	}
	k.step(core.CallerLeft{})
}

// release leaves the generation running for a while: its caller may come back
// through any box.
func (k *call) release(origin core.Origin) {
	k.endAttempt()
	placed, m, made := k.placedAs, k.model, int(k.gen.Next)
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
	k.gen.MaybeRan = true
	k.place("")
	return true
}

func (k *call) end(c core.EndStream) {
	k.endAttempt()
	k.freePlace(c.Code == core.EndDone)
	if c.Code == core.EndDone || k.runAgain() {
		return
	}
	problem := endProblem(c)
	if k.out.fail(k.id, k.gen.Next, problem) {
		return
	}
	k.problem = problem
}

// close settles what the call holds beside its stream.
func (k *call) close() {
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
	case core.EndRetriesSpent:
		p.Message = "every attempt was lost before its first token; come back after the time in Retry-After"
	}
	return p
}

// statusClientClosed is the usual status of a request whose caller left.
const statusClientClosed = 499
