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
	life      core.Incarnation // of the endpoint that took the attempt; 0 before it said so
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
	k.carry(core.PlaceAgain{})
	return k.problem
}

// carry begins with a command and goes on until the generation has ended; what
// the call holds is given back also when a panic cuts it short.
func (k *call) carry(first core.Command) {
	defer k.close()
	k.perform(first)
	for k.gen.State != core.GenerationEnded {
		k.next()
	}
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
	if k.quarantined() {
		return
	}
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
	if reason == admission.RefusePolicy || reason == admission.RefuseTooManyWaiting {
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
		Generated: int(k.gen.NextOffset),
		Whole:     whole,
	})
	k.placedAs = ""
}
