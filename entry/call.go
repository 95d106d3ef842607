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

// sinkCapacity is the number of messages buffered between a worker and a caller. When the
// buffer is full, a slow caller blocks its worker and thereby the connection to the endpoint.
const sinkCapacity = 64

// reportInterval is the number of tokens between progress reports to admission.
const reportInterval = 16

// call handles one caller's stream from admission to its end. gen decides what to do next,
// and call executes its commands.
type call struct {
	entry          *Entry
	ctx            context.Context
	c              *app.RequestContext
	document       *config.Document
	customerConfig *config.Customer
	customer       *customer
	model          *model
	parsed         *parsedRequest
	request        admission.Request
	rules          core.GenerationRules // limits of attempts and resumption
	gen            *core.Generation
	out            writer
	streamMetrics  streamMetrics
	claim          *claim
	name           string              // identifies the call in traces and logs
	id             string              // stream ID; empty until the first token
	placementID    string              // ID of the current placement in admission; empty if there is none
	until          time.Time           // end of the lease that the placement uses
	sink           chan engine.Message // messages of the current attempt
	cancelSink     context.CancelFunc
	sinkAttempt    int
	incarnation    core.Incarnation // of the endpoint that runs the attempt; 0 until known
	reportedOffset uint64           // token offset of the last progress report
	usage          engine.Usage
	cancelled      chan struct{} // closed when the stream is cancelled
	cancelOnce     sync.Once
	superseded     chan struct{} // closed when another connection continues the stream
	supersedeOnce  sync.Once
	restarted      bool // a buffered answer was started over
	problem        *Problem
}

// writer writes a stream to its caller.
type writer interface {
	writeToken(id string, offset uint64, data []byte)
	flush() error
	finish(id string, offset uint64, last engine.Finished) error
	fail(id string, offset uint64, p *Problem) bool // reports whether the response had already begun
	begin(id string)
}

// run executes the call to its end. It returns a problem if the caller has received
// nothing yet.
func (k *call) run() *Problem {
	k.runFrom(core.PlaceAgain{})
	return k.problem
}

// runFrom executes the first command and then handles messages until the generation ends.
// The call's resources are released even after a panic.
func (k *call) runFrom(first core.Command) {
	defer k.close()
	k.execute(first)
	for k.gen.State != core.GenerationEnded {
		k.handleNextMessage()
	}
}

// cancel cancels the call at the request of its caller.
func (k *call) cancel() { k.cancelOnce.Do(func() { close(k.cancelled) }) }

// supersede ends the call because another connection continues its stream.
func (k *call) supersede() { k.supersedeOnce.Do(func() { close(k.superseded) }) }

// step applies an event to the generation and executes the resulting commands.
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

// place waits until the request is placed or refused, or its caller has left.
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

// allowRetry counts a retry and reports whether the customer's retry budget allows it.
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

// refuse ends the call with a refusal that the caller may retry after a delay.
func (k *call) refuse(reason admission.RefusalReason, retryAfter time.Duration) {
	k.step(core.CallerGone{})
	status := http.StatusServiceUnavailable
	if reason == admission.RefusePolicy || reason == admission.RefuseTooManyWaiting {
		status = http.StatusTooManyRequests
	}
	k.problem = newRefusal(status, string(reason), "the engines are crowded; come back after the time in Retry-After", retryAfter)
	k.problem.Outcome = k.gen.Outcome
}

// releasePlacement tells admission that the call no longer uses memory on its endpoint.
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
