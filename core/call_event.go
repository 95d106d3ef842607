package core

// Reason says why a call was given up.
type Reason string

// The reasons for giving up a call.
const (
	ReasonNoEndpoint  Reason = "no endpoint"
	ReasonUnreachable Reason = "endpoint unreachable"
	ReasonRefused     Reason = "endpoints refused"
	ReasonBroken      Reason = "connection broke"
	ReasonExpired     Reason = "time is over"
	ReasonBudget      Reason = "retry budget spent"
	ReasonQuarantined Reason = "endpoints end under the request"
)

// CallPlaced says that an endpoint was chosen and the send begins.
type CallPlaced struct{ EventBase }

// CallUnplaced says that no endpoint can take the call.
type CallUnplaced struct{ EventBase }

// CallQuarantined says that no endpoint may get the request, because several ended
// under it.
type CallQuarantined struct{ EventBase }

// CallUnsent says that no byte of the request left the box.
type CallUnsent struct{ EventBase }

// CallRefused says that the endpoint answered that it didn't run the request.
type CallRefused struct{ EventBase }

// CallAnswered says that the endpoint's whole answer is there.
type CallAnswered struct {
	EventBase
	Failed bool // the answer is the endpoint's own failure
}

// CallBroken says that the connection ended before the answer did.
type CallBroken struct {
	EventBase
	Copy bool // another endpoint holds the run's memory
}

// CallProgressed says that a stream's event was passed on to the caller.
type CallProgressed struct{ EventBase }

// CallCompleted says that the caller has the whole stream.
type CallCompleted struct{ EventBase }

// CallExpired says that the caller's or the route's time is over.
type CallExpired struct{ EventBase }

// CallAbandoned says that the caller left.
type CallAbandoned struct{ EventBase }

// PlaceCall asks for an endpoint to send to.
type PlaceCall struct{ CommandBase }

// SendCall sends the request to the chosen endpoint.
type SendCall struct{ CommandBase }

// ContinueCall goes on with a stream at the endpoint that holds its copy.
type ContinueCall struct{ CommandBase }

// ResumeCall goes on with a stream in a new run at another endpoint, after the last
// event that the caller has.
type ResumeCall struct{ CommandBase }

// PassAnswer gives the endpoint's answer to the caller, unchanged.
type PassAnswer struct{ CommandBase }

// CutAnswer ends a stream so that it can't look complete.
type CutAnswer struct {
	CommandBase
	Reason Reason
}

// CancelCall stops the run, because nobody waits for it.
type CancelCall struct{ CommandBase }

// RefuseCall answers the caller that the call is given up.
type RefuseCall struct {
	CommandBase
	Outcome Outcome
	Reason  Reason
}
