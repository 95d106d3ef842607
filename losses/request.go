package losses

import (
	"net/http"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Moment is where in its life a request was lost.
type Moment string

// The moments, in the order of a request's life.
const (
	BeforeSend    Moment = "before it was sent"
	AwaitingFirst Moment = "before its first event or answer"
	BetweenEvents Moment = "between events"
	WhileMoving   Moment = "while it was moved"
	AfterMoving   Moment = "after it was moved or continued"
	AtAnswer      Moment = "at its answer"
	InProgress    Moment = "under way" // nobody lived to say more
)

// Cause is why a request was lost, as far as its box could know.
type Cause string

// The causes.
const (
	NoConfigLoaded     Cause = "no configuration was known"
	NoEndpoint         Cause = "no endpoint was there"
	EndpointsRefused   Cause = "endpoints refused it"
	EndpointFailed     Cause = "the endpoint's own failure"
	AnswerOverdue      Cause = "the endpoint owed its answer"
	EngineLeft         Cause = "its engine left"
	EndpointCrashed    Cause = "its endpoint ended under it"
	RequestQuarantined Cause = "endpoints end under it" // it was kept from them
	ConnectionBroke    Cause = "its connection broke"
	CopyLost           Cause = "the engine with its copy was gone"
	BudgetSpent        Cause = "the retry budget was spent"
	CallerDisconnected Cause = "its caller left"
	DeadlineExceeded   Cause = "its time was over"
	BoxCrashed         Cause = "box ended during the request"
	SlowFirst          Cause = "its first event or answer was late"
	PauseAtSeam        Cause = "a pause where it went on at another engine"
	PauseAtEngine      Cause = "a pause at its engine" // preempted, or beside long prompts
	RefusedByGateway   Cause = "the box refused it"
)

// noConfiguration is what a box says that knows no configuration.
const noConfiguration = "no configuration is known yet"

// request is what the lines of one attempt say.
type request struct {
	id              string
	route           string
	customer        string
	rank            int
	firstSeen       time.Time
	endpoint        string // the last one
	placed          bool
	moveStarted     bool // its move had begun or failed
	continued       bool // it went on elsewhere
	answerOverdue   bool
	endpointCrashed bool            // the endpoint of its last send ended
	seams           map[string]bool // the events after which it went on elsewhere
	outcome         *Line
}

// addLine adds a line to what is known of the request.
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
	}
}

// Loss is one request that ended without its answer, or late.
type Loss struct {
	Request string
	Route   string
	Moment  Moment
	Cause   Cause
	Late    bool // its answer came all the same
}

// loss tells whether the request was lost; an end that was never logged is the
// box's own.
func (r *request) loss(engineLeft func(endpoint string) bool) (Loss, bool) {
	l := Loss{
		Request: r.id,
		Route:   r.route,
	}
	switch {
	case r.outcome == nil && !r.placed:
		return l, false
	case r.outcome == nil:
		l.Moment, l.Cause = InProgress, BoxCrashed
	case r.outcome.Event == "streamed" || r.outcome.Event == "answered":
		return r.lossOfAnswered(l)
	case r.outcome.Event == "refused":
		l.Moment, l.Cause = BeforeSend, r.refusalCause()
		// A key or a route that isn't there is the caller's affair.
		return l, r.outcome.Status >= http.StatusInternalServerError
	case r.outcome.Event == "caller left":
		l.Moment, l.Cause = r.lossMoment(), CallerDisconnected
		if r.answerOverdue {
			l.Cause = AnswerOverdue
		}
	default:
		l.Moment, l.Cause = r.lossMoment(), r.failureCause(engineLeft)
	}
	return l, true
}

func (r *request) lossMoment() Moment {
	switch {
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

func (r *request) refusalCause() Cause {
	switch r.outcome.EndReason {
	case noConfiguration:
		return NoConfigLoaded
	case string(core.ReasonQuarantined):
		return RequestQuarantined
	}
	return RefusedByGateway
}

// failureCause translates the reason of a request that was cut or given up.
func (r *request) failureCause(engineLeft func(endpoint string) bool) Cause {
	switch core.Reason(r.outcome.EndReason) {
	case core.ReasonNoEndpoint:
		return NoEndpoint
	case core.ReasonRefused:
		return EndpointsRefused
	case core.ReasonBudget:
		return BudgetSpent
	case core.ReasonQuarantined:
		return RequestQuarantined
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
	case engineLeft(r.endpoint):
		return EngineLeft
	case r.endpointCrashed:
		return EndpointCrashed
	}
	return ConnectionBroke
}

// lossOfAnswered tells whether an answer that came was late or a failure, and for what.
func (r *request) lossOfAnswered(l Loss) (Loss, bool) {
	if r.outcome.Status >= http.StatusInternalServerError {
		l.Moment, l.Cause = AwaitingFirst, EndpointFailed
		return l, true
	}
	if !r.outcome.Late {
		return l, false
	}
	l.Late = true
	l.Moment, l.Cause = AtAnswer, SlowFirst
	if r.outcome.Event == "streamed" && r.outcome.PauseAfter != "" && r.outcome.LongestPause > minStutter {
		l.Moment, l.Cause = BetweenEvents, PauseAtEngine
		if r.seams[r.outcome.PauseAfter] {
			l.Cause = PauseAtSeam
		}
	}
	return l, true
}

// minStutter is a pause between events that a reader notices, above what a busy
// engine needs between two events.
const minStutter = 150 * time.Millisecond
