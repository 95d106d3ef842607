package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxSends bounds the sends of one request, refused ones included: more
// would only add load where all endpoints are full.
const maxSends = 3

// proxiedRequest is one request on its way through the gateway.
type proxiedRequest struct {
	gateway        *Gateway
	writer         http.ResponseWriter
	request        *http.Request
	start          time.Time
	deadline       time.Time // nobody waits beyond it, less suspensions since the start; see until
	inbound        Inbound
	view           *fleet.View
	route          *routing.Route
	service        *routing.Service
	customer       *routing.Customer
	allowedRegions routing.AllowedRegions
	body           []byte
	contentDigest  core.Digest // of what the request asks for
	reservedBytes  int64
	call           *core.Call
	endpoint       routing.Endpoint // of the current send
	backup         routing.Endpoint // where the run's memory goes as it grows
	tried          map[string]bool
	answer         *answer
	lastEventID    string // the id of the last event that the caller has
	eventOrder     eventOrder
	events         int          // passed on
	sharedEvents   atomic.Int64 // events passed on, for the plans of moves

	queuedTokens      float64       // tokens of prompts to be read before the first event
	reportedTokens    int           // the size by which the boxes know the current run; 0 for calls
	firstEventDelay   time.Duration // until the first event
	longestPause      time.Duration // between two events
	longestPauseAfter string        // the id of the event before it
	lastEventAt       time.Time     // of the last event
	firstEventAt      time.Time     // of the first event
	runFirstEventAt   time.Time     // of the first event of the current run; zero before
	suspendedBefore   time.Duration // of the machine, before the start
	headSent          bool          // whether the head of the answer went to the caller
	placedAt          time.Time
	resumeFrom        *handover     // where the stream goes on
	overdueTimer      *overdueTimer // of the current send

	mu         sync.Mutex // guards what movers see: endpoint, backup and what follows
	handover   *handover
	isMoving   bool
	isFinished bool
}

func (p *proxiedRequest) serve() {
	p.inbound = p.gateway.protocol.Inbound(p.request.Header)
	p.view = p.gateway.view()
	if !p.resolveRoute() {
		return
	}
	p.deadline = p.start.Add(p.timeout())
	if p.outlastsStop() {
		p.refuse(http.StatusServiceUnavailable, "this box stops before the stream would end; another one can serve it")
		return
	}
	if !p.readBody() {
		return
	}
	defer p.gateway.bufferedBytes.Add(-p.reservedBytes)
	p.contentDigest = p.computeDigest()
	if p.isQuarantined() {
		p.refuseQuarantined()
		return
	}
	name := p.service.Name
	p.gateway.withBudget(name, p.start, func(b *core.SharedBudget) { b.CountRequest(p.start) })
	p.call = core.NewCall(core.CallRules{
		Repeatable:   p.route.MayRepeat(),
		Resumable:    p.route.Resumable,
		MaxEndpoints: max(p.route.MaxEndpoints, 1),
		MaxSends:     maxSends,
	}, func() bool { return p.takeRetry(name) })
	defer p.finish()
	p.runCall()
}

// takeRetry takes one more send from the budget.
func (p *proxiedRequest) takeRetry(service string) bool {
	if p.headSent && p.route.Kind == routing.Streaming {
		return p.takeStreamRetry(service)
	}
	return p.gateway.takeRetry(service)
}

// finish tells movers that the stream has ended.
func (p *proxiedRequest) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isFinished = true
}

// runCall steps the call until it has ended.
func (p *proxiedRequest) runCall() {
	var command core.Command = core.PlaceCall{}
	for command != nil {
		ev := p.execute(command)
		if ev == nil {
			return
		}
		commands := p.call.Step(time.Now(), ev)
		command = nil
		if len(commands) > 0 {
			command = commands[0]
		}
	}
}

// execute carries out one command and gives the event that follows, or nil at
// the end.
func (p *proxiedRequest) execute(command core.Command) core.Event {
	switch c := command.(type) {
	case core.PlaceCall:
		return p.chooseEndpoint()
	case core.SendCall:
		return p.send("")
	case core.ContinueCall:
		return p.continueFromCopy()
	case core.ResumeCall:
		return p.resumeInNewRun()
	case core.PassAnswer:
		p.passAnswer()
	case core.RefuseCall:
		p.giveUp(c)
	case core.CutAnswer:
		p.recordEnd("cut", http.StatusOK, zap.String("why", string(c.Reason)))
		panic(http.ErrAbortHandler)
	case core.CancelCall:
		p.recordEnd("caller left", 0)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// terminalEvent tells whether the passage must end now, and by which event.
func (p *proxiedRequest) terminalEvent() core.Event {
	if p.request.Context().Err() != nil {
		return core.CallAbandoned{}
	}
	if !time.Now().Before(p.currentDeadline()) {
		return core.CallExpired{}
	}
	return nil
}
