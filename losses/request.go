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
	NoConfiguration    Cause = "no configuration was known"
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
	CallerLeft         Cause = "its caller left"
	TimeOver           Cause = "its time was over"
	BoxCrashed         Cause = "box ended during the request"
	SlowFirst          Cause = "its first event or answer was late"
	PauseAtSeam        Cause = "a pause where it went on at another engine"
	PauseAtEngine      Cause = "a pause at its engine" // preempted, or beside long prompts
	RefusedByGateway   Cause = "the box refused it"
)

// unknownConfiguration is what a box says that knows no configuration.
const unknownConfiguration = "no configuration is known yet"

// request is what the lines of one attempt say.
type request struct {
	id       string
	route    string
	customer string
	rank     int
	began    time.Time
	endpoint string // the last one
	placed   bool
	moving   bool // its move had begun or failed
	moved    bool // it went on elsewhere
	overdue  bool
	ended    bool            // the endpoint of its last send ended
	seams    map[string]bool // the events after which it went on elsewhere
	end      *Line
}

// take adds a line to what is known of the request.
func (r *request) take(l Line) {
	if r.began.IsZero() {
		r.began = l.At
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
		r.moving = true
	case "continued from a copy", "resumed in another run":
		r.moved = true
		r.moving = false
		r.endpoint = l.Endpoint
		r.seams[l.LastEvent] = true
	case "answer overdue":
		r.overdue = true
	case "endpoint crashed during a request":
		r.ended = l.Endpoint == r.endpoint
	case "answered", "streamed", "cut", "given up", "refused", "caller left":
		r.end = &l
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
	case r.end == nil && !r.placed:
		return l, false
	case r.end == nil:
		l.Moment, l.Cause = InProgress, BoxCrashed
	case r.end.Event == "streamed" || r.end.Event == "answered":
		return r.late(l)
	case r.end.Event == "refused":
		l.Moment, l.Cause = BeforeSend, r.refusal()
		// A key or a route that isn't there is the caller's affair.
		return l, r.end.Status >= http.StatusInternalServerError
	case r.end.Event == "caller left":
		l.Moment, l.Cause = r.moment(), CallerLeft
		if r.overdue {
			l.Cause = AnswerOverdue
		}
	default:
		l.Moment, l.Cause = r.moment(), r.why(engineLeft)
	}
	return l, true
}

func (r *request) moment() Moment {
	switch {
	case !r.placed:
		return BeforeSend
	case r.moving:
		return WhileMoving
	case r.moved:
		return AfterMoving
	case r.end != nil && r.end.LastEvent != "":
		return BetweenEvents
	}
	return AwaitingFirst
}

func (r *request) refusal() Cause {
	switch r.end.EndReason {
	case unknownConfiguration:
		return NoConfiguration
	case string(core.ReasonQuarantined):
		return RequestQuarantined
	}
	return RefusedByGateway
}

// why translates the reason of a request that was cut or given up.
func (r *request) why(engineLeft func(endpoint string) bool) Cause {
	switch core.Reason(r.end.EndReason) {
	case core.ReasonNoEndpoint:
		return NoEndpoint
	case core.ReasonRefused:
		return EndpointsRefused
	case core.ReasonBudget:
		return BudgetSpent
	case core.ReasonQuarantined:
		return RequestQuarantined
	case core.ReasonExpired:
		if r.overdue {
			return AnswerOverdue
		}
		return TimeOver
	case core.ReasonUnreachable:
		if r.moved {
			return CopyLost
		}
	}
	switch {
	case engineLeft(r.endpoint):
		return EngineLeft
	case r.ended:
		return EndpointCrashed
	}
	return ConnectionBroke
}

// late tells whether an answer that came was late or a failure, and for what.
func (r *request) late(l Loss) (Loss, bool) {
	if r.end.Status >= http.StatusInternalServerError {
		l.Moment, l.Cause = AwaitingFirst, EndpointFailed
		return l, true
	}
	if !r.end.Late {
		return l, false
	}
	l.Late = true
	l.Moment, l.Cause = AtAnswer, SlowFirst
	if r.end.Event == "streamed" && r.end.PauseAfter != "" && r.end.LongestPause > stutter {
		l.Moment, l.Cause = BetweenEvents, PauseAtEngine
		if r.seams[r.end.PauseAfter] {
			l.Cause = PauseAtSeam
		}
	}
	return l, true
}

// stutter is a pause between events that a reader notices, above what a busy
// engine needs between two events.
const stutter = 150 * time.Millisecond
