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

// sinkCapacity bounds the messages between a worker and a caller: a slow caller
// holds its worker up and, by that, its endpoint's link.
const sinkCapacity = 64

// reportInterval is after how many tokens admission learns of a stream's progress.
const reportInterval = 16

// call carries one caller's stream from admission to its end. Its decisions are
// the generation's; it only does what they ask.
type call struct {
	entry          *Entry
	ctx            context.Context
	c              *app.RequestContext
	document       *config.Document
	customerConfig *config.Customer
	customer       *customer
	model          *model
	p              *parsedRequest
	request        admission.Request
	rules          core.GenerationRules
	gen            *core.Generation
	out            writer
	streamMetrics  streamMetrics
	claim          *claim
	name           string
	id             string
	placementID    string
	until          time.Time
	sink           chan engine.Message
	cancelSink     context.CancelFunc
	sinkAttempt    int
	incarnation    core.Incarnation // of the endpoint that took the attempt; 0 before it said so
	reportedOffset uint64
	usage          engine.Usage
	cancelled      chan struct{}
	cancelOnce     sync.Once
	superseded     chan struct{}
	supersedeOnce  sync.Once
	restarted      bool
	problem        *Problem
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
	k.runFrom(core.PlaceAgain{})
	return k.problem
}

// runFrom begins with a command and goes on until the generation has ended; what
// the call holds is given back also when a panic cuts it short.
func (k *call) runFrom(first core.Command) {
	defer k.close()
	k.execute(first)
	for k.gen.State != core.GenerationEnded {
		k.handleNextMessage()
	}
}

// cancel ends the call from outside.
func (k *call) cancel() { k.cancelOnce.Do(func() { close(k.cancelled) }) }

// supersede makes an older link of the same stream leave it to a newer one.
func (k *call) supersede() { k.supersedeOnce.Do(func() { close(k.superseded) }) }

func (k *call) step(ev core.Event) {
	now := time.Now()
	k.entry.recorder.Event(now, trace.Generation+k.name, ev)
	for _, command := range k.gen.Step(now, ev) {
		k.execute(command)
	}
}

func (k *call) execute(command core.Command) {
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
		k.closeSink()
		go k.entry.cancelGeneration(c.Origin, false)
	case core.ReleaseStream:
		k.detachCaller(c.Origin)
	case core.EndStream:
		k.endStream(c)
	}
}

// place waits for a place, a refusal or the caller's leaving.
func (k *call) place(avoid string) {
	k.releasePlacement(false)
	if k.refuseQuarantined() {
		return
	}
	if avoid != "" && !k.allowRetry() {
		k.refuse(admission.RefuseOverload, time.Second)
		return
	}
	k.request.ID = newToken()
	k.request.Avoid = avoid
	waiter := k.model.enqueue(time.Now(), k.request)
	select {
	case answer := <-waiter:
		k.handlePlacement(answer)
	case <-k.ctx.Done():
		k.model.withdraw(time.Now(), k.request.ID, k.customerConfig.Name, waiter)
		k.step(core.CallerGone{})
	case <-k.cancelled:
		k.model.withdraw(time.Now(), k.request.ID, k.customerConfig.Name, waiter)
		k.step(core.CallerGone{})
	}
}

func (k *call) allowRetry() bool {
	retries.Inc()
	return k.customer.takeRetry()
}

func (k *call) handlePlacement(answer core.Command) {
	switch c := answer.(type) {
	case admission.PlaceRequest:
		k.placementID = c.ID
		k.until = c.Until
		k.streamMetrics.histograms.queueWait.Update(c.Waited.Seconds())
		k.step(core.Placed{
			Endpoint:   c.Endpoint,
			Generation: newToken(),
		})
	case admission.RefuseRequest:
		k.refuse(c.Reason, c.RetryAfter)
	}
}

// refuse refuses the request at once, with when to come back.
func (k *call) refuse(reason admission.RefusalReason, retryAfter time.Duration) {
	k.step(core.CallerGone{})
	status := http.StatusServiceUnavailable
	if reason == admission.RefusePolicy || reason == admission.RefuseTooManyWaiting {
		status = http.StatusTooManyRequests
	}
	k.problem = newRefusal(status, string(reason), "the engines are crowded; come back after the time in Retry-After", retryAfter)
	k.problem.Outcome = k.gen.Outcome
}

// releasePlacement tells admission that the call holds no memory any more.
func (k *call) releasePlacement(complete bool) {
	if k.placementID == "" {
		return
	}
	k.model.step(time.Now(), admission.GenerationEnded{
		ID:        k.placementID,
		Generated: int(k.gen.NextOffset),
		Whole:     complete,
	})
	k.placementID = ""
}
