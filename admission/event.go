package admission

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// RequestArrived is the event that a request needs an endpoint.
type RequestArrived struct {
	core.EventBase
	Request Request
}

// RequestWithdrawn is the event that the caller of a waiting request disconnected.
type RequestWithdrawn struct {
	core.EventBase
	ID       string
	Customer string
}

// LeaseArrived is the event that the owner of a slot of an endpoint's memory granted a
// lease.
type LeaseArrived struct {
	core.EventBase
	Slot         int
	Lease        core.Lease
	HasOthers    bool // whether Others is set; the previous value is kept otherwise
	Others       Profile
	OtherRunning int
	Growth       int
	Step         time.Duration
}

// TokensMade is the event that a running generation has reached a length.
type TokensMade struct {
	core.EventBase
	ID        string
	Generated int
}

// GenerationEnded is the event that a generation has ended and its memory is free.
type GenerationEnded struct {
	core.EventBase
	ID        string
	Generated int
	Whole     bool // the generation ended by itself and was not cut short
}

// GenerationTakenOver is the event that this box continues a stream of another box.
type GenerationTakenOver struct {
	core.EventBase
	Request   Request
	Endpoint  string
	Generated int
}

// PrefixCached is the event that an endpoint cached or dropped a prompt prefix. It may be
// late or missing.
type PrefixCached struct {
	core.EventBase
	Endpoint string
	Prefix   uint64
	Dropped  bool
}

// EndpointsChanged is the event that the set of endpoints that serve the model changed.
type EndpointsChanged struct {
	core.EventBase
	Names []string
}

// Ticked is the periodic timer event.
type Ticked struct{ core.EventBase }

// PlaceRequest is the command to send a request to an endpoint.
type PlaceRequest struct {
	core.CommandBase
	ID       string
	Endpoint string
	Until    time.Time // expiry of the lease; nothing may be sent after it
	Waited   time.Duration
	Forced   bool // a policy program runs the request although it doesn't fit
}

// Wake is the command to deliver a Ticked event after a delay. A request is then waiting
// only for the minimum interval between two prompts at an endpoint.
type Wake struct {
	core.CommandBase
	After time.Duration
}

// WantLeases is the command to renew the leases now, because a request found no room
// under the current ones.
type WantLeases struct{ core.CommandBase }

// RefusalReason is the stable code of a refusal.
type RefusalReason string

// The reasons for refusing a request.
const (
	RefusePolicy         RefusalReason = "policy_refused"
	RefuseOverload       RefusalReason = "overloaded"
	RefuseTooManyWaiting RefusalReason = "too_many_waiting"
	RefuseTimeout        RefusalReason = "waited_too_long"
)

// RefuseRequest is the command to refuse a request.
type RefuseRequest struct {
	core.CommandBase
	ID         string
	Reason     RefusalReason
	RetryAfter time.Duration
}

// PolicyFailed is the command to report that a policy program failed during evaluation.
type PolicyFailed struct {
	core.CommandBase
	Tier  string
	Cause error
}
