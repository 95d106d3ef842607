package core

// Reason is the reason why a call was refused or its stream was cut.
type Reason string

// The reasons for refusing or cutting a call.
const (
	ReasonNoEndpoint  Reason = "no endpoint"
	ReasonUnreachable Reason = "endpoint unreachable"
	ReasonRefused     Reason = "endpoints refused"
	ReasonBroken      Reason = "connection broke"
	ReasonExpired     Reason = "time is over"
	ReasonStopping    Reason = "the box stops"
	ReasonBudget      Reason = "retry budget spent"
	ReasonQuarantined Reason = "endpoints end under the request"
	// ReasonPartQuarantined is ReasonQuarantined for a part of the request's prompt.
	ReasonPartQuarantined Reason = "endpoints crash at a part of the prompt"
)

// CallPlaced reports that an endpoint was chosen and that sending begins.
type CallPlaced struct{ EventBase }

// CallUnplaced reports that no endpoint can accept the call.
type CallUnplaced struct{ EventBase }

// CallQuarantined reports that the request may not be sent to any endpoint because
// several endpoints crashed while running it.
type CallQuarantined struct{ EventBase }

// CallUnsent reports that no byte of the request left the box.
type CallUnsent struct{ EventBase }

// CallRefused reports that the endpoint refused the request without running it.
type CallRefused struct{ EventBase }

// CallAnswered reports that the endpoint responded.
type CallAnswered struct {
	EventBase
	Failed bool // the response is a failure of the endpoint itself
}

// CallDeclined reports that another box, to which the request was forwarded, refused it for good and
// did not run it.
type CallDeclined struct{ EventBase }

// CallBroken reports that the connection closed before the response was complete.
type CallBroken struct {
	EventBase
	Copy bool // another endpoint has a copy of the run's memory
}

// CallProgressed reports that an event of the stream was forwarded to the caller.
type CallProgressed struct{ EventBase }

// CallCompleted reports that the caller has received the complete stream.
type CallCompleted struct{ EventBase }

// CallExpired reports that the caller's or the route's time limit has passed.
type CallExpired struct {
	EventBase
	Unsent bool // no byte of the current send left the box
}

// CallInterrupted reports that the box ends before the call does.
type CallInterrupted struct {
	EventBase
	Unsent bool // no byte of the current send left the box
}

// CallAbandoned reports that the caller disconnected.
type CallAbandoned struct{ EventBase }

// PlaceCall asks the shell to choose an endpoint.
type PlaceCall struct{ CommandBase }

// SendCall asks the shell to send the request to the chosen endpoint.
type SendCall struct{ CommandBase }

// ContinueCall asks the shell to continue the stream at the endpoint that has a
// copy of the run's memory.
type ContinueCall struct{ CommandBase }

// ResumeCall asks the shell to continue the stream in a new run at another
// endpoint, after the last event that the caller has received.
type ResumeCall struct{ CommandBase }

// PassAnswer asks the shell to forward the endpoint's response unchanged.
type PassAnswer struct{ CommandBase }

// CutAnswer asks the shell to end the stream in a way that the caller can't take
// for a complete one.
type CutAnswer struct {
	CommandBase
	Reason Reason
}

// CancelCall asks the shell to cancel the run, since the caller has disconnected.
type CancelCall struct{ CommandBase }

// RefuseCall asks the shell to respond with an error to the caller.
type RefuseCall struct {
	CommandBase
	Outcome Outcome
	Reason  Reason
}
