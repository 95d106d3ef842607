package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// maxSends bounds the sends of one request, refused ones included: more would only add load
// while all endpoints are full.
const maxSends = 3

// proxiedRequest is the state of one request on its way through the gateway.
type proxiedRequest struct {
	gateway         *Gateway
	writer          http.ResponseWriter
	request         *http.Request
	ctx             context.Context // done when the caller left or, unless isAnswering, when the box ends
	start           time.Time
	deadline        time.Time // not corrected for suspensions since start; see currentDeadline
	inbound         Inbound
	view            *fleet.View
	route           *routing.Route
	service         *routing.Service
	customer        *routing.Customer
	resolvedVersion uint64 // version of the configuration in which route, service and customer were looked up
	allowedRegions  routing.AllowedRegions
	body            []byte
	hasUnreadBody   bool        // part of the body was not read yet
	contentDigest   core.Digest // identifies the request and its repeats; see computeDigest
	reservedBytes   int64       // memory reserved for body
	answerBytes     int64       // memory reserved for answers
	eventBytes      int         // size of events, beyond small ones, that memory is reserved for
	call            *core.Call
	forwarded       *forwardedRequest // what the box said that forwarded the request to this one; nil if none did
	forwardTo       core.Peer         // the box that gets the current send instead of an endpoint, or the zero value
	forwardedTo     []string          // names of the boxes that it was forwarded to
	lacksShare      bool              // it was forwarded since this box's shares of all endpoints were used up
	copyName        string            // copy of the run that forwardTo is to continue, or empty
	failedConnects  int               // endpoints that accepted no connection for it
	endpoint        routing.Endpoint  // the endpoint of the current send
	backup          routing.Endpoint  // the engine that gets a backup copy of the run; zero if none does
	tried           map[string]bool   // IDs of endpoints that it was placed at
	answer          *answer
	lastEventID     string // ID of the last event passed to the caller
	eventOrder      eventOrder
	events          int                      // number of events passed to the caller
	sharedEvents    atomic.Int64             // the same, for use by other goroutines
	runBegin        atomic.Pointer[runBegin] // the current run's first event; nil before it

	queuedTokens      float64       // prompt tokens queued at the engine before the first event, own ones included
	announcedTokens   int           // the current run's tokens as announced to other boxes; 0 for calls
	firstEventDelay   time.Duration // from start to the first event
	longestPause      time.Duration // between two events
	longestPauseAfter string        // ID of the event before that pause
	lastEventAt       time.Time
	firstEventAt      time.Time
	runFirstEventAt   time.Time     // first event of the current run; zero before it
	isBeyondBeginning bool          // the current run was recorded as a success since its first event
	pace              runPace       // of the current run
	missedPause       atomic.Bool   // longestPause exceeds the route's target
	suspendedBefore   time.Duration // the gateway's total suspension at start
	headSent          bool          // the answer's head was written to the caller
	isAnswering       atomic.Bool   // the caller gets an endpoint's answer
	outcome           string        // how the answer ended; empty before that
	placedAt          time.Time
	resumeFrom        *handover     // where the stream continues after a break
	overdueTimer      *overdueTimer // for the current send
	refusal           *refusal      // why it is not sent, if that has a status of its own
	hasWaited         bool          // it waits or has waited for room
	isPlacing         bool          // an engine with room was chosen, and its memory isn't counted there yet
	announcedWait     string        // ID of its wait that the group was notified of; empty if none

	mu         sync.Mutex // guards endpoint and backup against moves, and the fields below
	handover   *handover
	latestCopy *handover // the latest complete copy of the run; nil if there is none
	isMoving   bool
	isFinished bool
}

func (p *proxiedRequest) serve() {
	p.inbound = p.gateway.protocol.Inbound(p.request.Header)
	p.view = p.gateway.view()
	if reason := p.unservedReason(); reason != "" {
		p.refuseAs(forwardUnserved, http.StatusServiceUnavailable, reason)
		return
	}
	if !p.resolveRoute() {
		return
	}
	if p.isCutOffToo() {
		p.refuseAs(forwardUnserved, http.StatusServiceUnavailable, "this box reaches no endpoint of the service either")
		return
	}
	p.deadline = p.start.Add(p.timeout())
	if p.outlastsStop() {
		p.refuseAs(forwardUnserved, http.StatusServiceUnavailable, "this box stops before the request would end; another one can serve it")
		return
	}
	if !p.readBody() {
		return
	}
	defer p.gateway.bufferedBytes.Add(-p.reservedBytes)
	p.contentDigest = p.computeDigest()
	if q, held := p.findQuarantine(); held {
		p.refuseQuarantined(q)
		return
	}
	if !p.isForwarded() {
		p.gateway.withBudget(p.service.Name, p.start, func(b *core.SharedBudget) { b.CountRequest(p.start) })
	}
	p.call = core.NewCall(p.callRules(), p.takeRetry)
	defer p.finish()
	p.runCall()
}

// callRules returns the rules for the request's sends. A forwarded request is run once here: the
// forwarding box decides on further runs, as it may forward it to several boxes.
func (p *proxiedRequest) callRules() core.CallRules {
	rules := core.CallRules{
		Repeatable:   p.route.MayRepeat(),
		Resumable:    p.route.Resumable,
		MaxEndpoints: max(p.route.MaxEndpoints, 1),
		MaxSends:     maxSends,
	}
	if p.isForwarded() {
		rules.MaxEndpoints = 1
	}
	return rules
}

// takeRetry spends one send of the retry budget, and reports whether there was one. If this box's
// share is spent, it requests sends from other boxes, but at model engines only to continue a
// stream, which has been worked on for longer than a request that can begin anew.
func (p *proxiedRequest) takeRetry() bool {
	service := p.service.Name
	continues := p.headSent && p.route.Kind == routing.Streaming
	if continues || p.service.Engine == nil {
		p.ensureRetryBudget(service)
	}
	return p.gateway.takeRetry(service)
}

// finish marks the request as finished, for moves that are in progress.
func (p *proxiedRequest) finish() {
	p.endPlacing()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isFinished = true
}

// runCall carries out the call's commands until it has ended. A step returns one command at most.
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

// ensureEnded closes the caller's connection if no answer, refusal or cut ended the request. The
// HTTP server would end the answer as a whole one.
func (p *proxiedRequest) ensureEnded() {
	if p.outcome != "" {
		return
	}
	p.logDecision("request ended without an answer; caller's connection is closed", zap.Bool("head_sent", p.headSent), zap.String("endpoint", p.endpoint.ID), zap.String("last_event", p.lastEventID))
	p.countOutcome("unended")
	panic(http.ErrAbortHandler)
}

// execute carries out one command and returns the resulting event, or nil at the end.
func (p *proxiedRequest) execute(command core.Command) core.Event {
	switch c := command.(type) {
	case core.PlaceCall:
		return p.chooseEndpoint()
	case core.SendCall:
		return p.send(p.forwarded.copyToContinue())
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

// terminalEvent returns the event that ends the request now: that the caller has left, the box
// ends or the deadline has passed. It returns nil if none is so.
func (p *proxiedRequest) terminalEvent() core.Event {
	if p.request.Context().Err() != nil {
		return core.CallAbandoned{}
	}
	if p.ctx.Err() != nil {
		return core.CallInterrupted{}
	}
	if !time.Now().Before(p.currentDeadline()) {
		return core.CallExpired{}
	}
	return nil
}
