package losses

import (
	"net/http"
	"strings"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Moment is the phase of a request in which it was lost.
type Moment string

// Moments, in the order of a request's life.
const (
	BeforeSend    Moment = "before it was sent"
	WhileWaiting  Moment = "while it waited for room"
	AwaitingFirst Moment = "before its first event or answer"
	BetweenEvents Moment = "between events"
	WhileMoving   Moment = "while it was moved"
	AfterMoving   Moment = "after it was moved or continued"
	AtAnswer      Moment = "at its answer"
	InProgress    Moment = "under way" // the box ended without logging more
)

// Cause is why a request was lost, as far as its box's log says.
type Cause string

// Causes of a loss.
const (
	NoConfigLoaded     Cause = "no configuration loaded"
	NoEndpoint         Cause = "no endpoint available"
	EndpointsRefused   Cause = "refused by endpoints"
	EndpointFailed     Cause = "endpoint answered with a failure"
	AnswerOverdue      Cause = "endpoint's answer overdue"
	EngineLeft         Cause = "engine left"
	EndpointCrashed    Cause = "endpoint crashed during the request"
	RequestQuarantined Cause = "request quarantined"
	PartQuarantined    Cause = "part of the prompt quarantined"
	ConnectionBroke    Cause = "connection to the endpoint broke"
	CopyLost           Cause = "engine with the copy unreachable"
	BudgetSpent        Cause = "retry budget spent"
	CallerDisconnected Cause = "caller disconnected"
	DeadlineExceeded   Cause = "deadline exceeded"
	BoxCrashed         Cause = "box ended during the request"
	SlowFirst          Cause = "first event or answer late"
	LongWait           Cause = "long wait for room at an engine"
	EstimateTooLong    Cause = "estimated wait for room too long"
	PauseWhileMoving   Cause = "pause while moving to another engine"
	PauseAtEngine      Cause = "pause at the engine" // it preempted the run or processed long prompts
	RefusedByGateway   Cause = "refused by the box"
)

// noConfiguration is the reason logged for a request that arrived before the box had a
// configuration.
const noConfiguration = "no configuration is known yet"

// request collects the log lines of one request ID.
type request struct {
	id              string
	route           string
	customer        string
	rank            int
	firstSeen       time.Time
	endpoint        string // the current one
	placed          bool
	moveStarted     bool // a move was started or has failed
	continued       bool // the run went on at another engine
	answerOverdue   bool
	endpointCrashed bool            // the endpoint of the last send crashed
	seams           map[string]bool // IDs of the events after which the run went on elsewhere
	outcome         *Line           // the line that ended the request; nil if there is none
	hasWaited       bool            // it began to wait for room at an engine
	waitingSince    time.Time       // start of its last wait
	waited          time.Duration   // all of its waits that ended
	waitOutcome     string          // of its last wait; empty if there is no line about its end
}

// addLine updates the request with a line.
func (r *request) addLine(l Line) {
	if r.firstSeen.IsZero() {
		r.firstSeen = l.At
	}
	if l.Route != "" {
		r.route = l.Route
	}
	if l.Customer != "" {
		r.customer = l.Customer
		r.rank = l.Rank
	}
	switch l.Event {
	case "placed":
		r.placed = true
		r.endpoint = l.Endpoint
	case "waiting for room", "waited for room":
		r.addWait(l)
	case "moved", "copy failed", "no target to move to", "move failed: engine unreachable":
		r.moveStarted = true
	case "continued from a copy", "resumed in another run":
		r.continued = true
		r.moveStarted = false
		r.endpoint = l.Endpoint
		r.seams[l.LastEvent] = true
	case "answer overdue":
		r.answerOverdue = true
	case "endpoint crashed during a request":
		r.endpointCrashed = l.Endpoint == r.endpoint
	case "answered", "streamed", "cut", "given up", "refused", "caller left":
		r.outcome = &l
	case "answered by another box", "streamed by another box":
		// The box that served the request logged the end in more detail.
		if r.outcome == nil || !r.outcome.isAnswer() {
			l.Event, _, _ = strings.Cut(l.Event, " ")
			r.outcome = &l
		}
	}
}

// Loss is a request that ended without its answer, or with a late one.
type Loss struct {
	Request string
	Route   string
	Moment  Moment
	Cause   Cause
	Late    bool // the answer was complete, but late
}

// loss returns the request's loss, if any. A placed or waiting request without a final line was
// lost with its box.
func (r *request) loss(f logFacts) (Loss, bool) {
	l := Loss{
		Request: r.id,
		Route:   r.route,
	}
	switch {
	case r.outcome == nil && !r.placed && !r.hasWaited:
		return l, false
	case r.outcome == nil && r.endedWaiting():
		l.Moment, l.Cause = WhileWaiting, BoxCrashed
	case r.outcome == nil:
		l.Moment, l.Cause = InProgress, BoxCrashed
	case r.outcome.isAnswer():
		return r.lossOfAnswered(l, f)
	case r.outcome.Event == "refused":
		l.Moment, l.Cause = r.lossMoment(), r.refusalCause()
		// An unknown key or route is the caller's error.
		return l, r.outcome.Status >= http.StatusInternalServerError
	case r.outcome.Event == "caller left":
		l.Moment, l.Cause = r.lossMoment(), CallerDisconnected
		if r.answerOverdue {
			l.Cause = AnswerOverdue
		}
	default:
		l.Moment, l.Cause = r.lossMoment(), r.failureCause(f)
	}
	return l, true
}

// lossMoment returns the phase that the request was in when it ended.
func (r *request) lossMoment() Moment {
	switch {
	case r.endedWaiting():
		return WhileWaiting
	case !r.placed:
		return BeforeSend
	case r.moveStarted:
		return WhileMoving
	case r.continued:
		return AfterMoving
	case r.outcome != nil && r.outcome.LastEvent != "":
		return BetweenEvents
	}
	return AwaitingFirst
}

// refusalCause converts the reason of a request that a box refused.
func (r *request) refusalCause() Cause {
	switch r.outcome.EndReason {
	case noConfiguration:
		return NoConfigLoaded
	case string(core.ReasonQuarantined):
		return RequestQuarantined
	case string(core.ReasonPartQuarantined):
		return PartQuarantined
	}
	if r.outcome.Estimate > 0 {
		return EstimateTooLong
	}
	return RefusedByGateway
}

// failureCause converts the reason of a request that was cut or given up.
func (r *request) failureCause(f logFacts) Cause {
	switch core.Reason(r.outcome.EndReason) {
	case core.ReasonNoEndpoint:
		return NoEndpoint
	case core.ReasonRefused:
		return EndpointsRefused
	case core.ReasonBudget:
		return BudgetSpent
	case core.ReasonQuarantined:
		return RequestQuarantined
	case core.ReasonPartQuarantined:
		return PartQuarantined
	case core.ReasonExpired:
		if r.answerOverdue {
			return AnswerOverdue
		}
		return DeadlineExceeded
	case core.ReasonUnreachable:
		if r.continued {
			return CopyLost
		}
	}
	switch {
	case f.hasLeft(r.endpoint):
		return EngineLeft
	case r.endpointCrashed:
		return EndpointCrashed
	}
	return ConnectionBroke
}

// lossOfAnswered returns the loss of an answered request, if it failed or was late.
func (r *request) lossOfAnswered(l Loss, f logFacts) (Loss, bool) {
	if r.outcome.Status >= http.StatusInternalServerError {
		l.Moment, l.Cause = AwaitingFirst, EndpointFailed
		return l, true
	}
	if !r.outcome.Late {
		return l, false
	}
	l.Late = true
	switch {
	case !r.isPauseLate(f):
		l.Moment, l.Cause = AtAnswer, SlowFirst
		if r.outcome.Event == "streamed" && r.isMostlyWait() {
			l.Moment, l.Cause = WhileWaiting, LongWait
		}
	case r.seams[r.outcome.PauseAfter]:
		l.Moment, l.Cause = BetweenEvents, PauseWhileMoving
	default:
		l.Moment, l.Cause = BetweenEvents, PauseAtEngine
	}
	return l, true
}
