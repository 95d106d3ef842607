package admission

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// RequestArrived tells that a request wants a place.
type RequestArrived struct {
	core.EventBase
	Request Request
}

// RequestWithdrawn tells that a waiting request's caller left.
type RequestWithdrawn struct {
	core.EventBase
	ID       string
	Customer string
}

// LeaseArrived tells what an owner granted of its half.
type LeaseArrived struct {
	core.EventBase
	Slot         int
	Lease        core.Lease
	HasOthers    bool // Others is known; if not, what was known stays
	Others       Profile
	OtherRunning int
	Growth       int
	Step         time.Duration
}

// TokensMade tells how far a running generation is.
type TokensMade struct {
	core.EventBase
	ID        string
	Generated int
}

// GenerationEnded tells that a running generation holds no memory any more.
// Whole means that its length was its own and not cut short.
type GenerationEnded struct {
	core.EventBase
	ID        string
	Generated int
	Whole     bool
}

// GenerationTakenOver tells that a stream begun elsewhere continues here.
type GenerationTakenOver struct {
	core.EventBase
	Request   Request
	Endpoint  string
	Generated int
}

// PrefixCached tells that an endpoint holds, or dropped, a prompt prefix; it
// may be late or missing.
type PrefixCached struct {
	core.EventBase
	Endpoint string
	Prefix   uint64
	Dropped  bool
}

// EndpointsChanged tells which endpoints serve the model now.
type EndpointsChanged struct {
	core.EventBase
	Names []string
}

// Ticked tells that time has passed.
type Ticked struct{ core.EventBase }

// PlaceRequest asks the shell to send a request to an endpoint.
type PlaceRequest struct {
	core.CommandBase
	ID       string
	Endpoint string
	Until    time.Time // end of the lease; no byte may be sent later
	Waited   time.Duration
	Forced   bool
}

// Wake asks the shell for a Ticked after a time: a request waits only for the
// pause between two prompts at an endpoint.
type Wake struct {
	core.CommandBase
	After time.Duration
}

// WantLeases asks the shell to renew the leases now: a request found no room on
// those that it has, which may be smaller than what the owners could give.
type WantLeases struct{ core.CommandBase }

// RefusalReason is the stable code of a refusal.
type RefusalReason string

// The reasons for which admission refuses.
const (
	RefusePolicy         RefusalReason = "policy_refused"
	RefuseOverload       RefusalReason = "overloaded"
	RefuseTooManyWaiting RefusalReason = "too_many_waiting"
	RefuseTimeout        RefusalReason = "waited_too_long"
)

// RefuseRequest asks the shell to refuse a request at once.
type RefuseRequest struct {
	core.CommandBase
	ID         string
	Reason     RefusalReason
	RetryAfter time.Duration
}

// PolicyFailed tells that a program failed while it ran.
type PolicyFailed struct {
	core.CommandBase
	Tier  string
	Cause error
}
