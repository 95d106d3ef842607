package core

import "time"

// CallState is the state of one caller's request on its way through a box.
type CallState string

// A call waits for an endpoint, is sent, streams once a part of its answer went
// to the caller, and ends.
const (
	CallWaiting   CallState = "waiting"
	CallSent      CallState = "sent"
	CallStreaming CallState = "streaming"
	CallEnded     CallState = "ended"
)

type callTrigger string

const (
	callSend   callTrigger = "send"
	callReturn callTrigger = "return"
	callStream callTrigger = "stream"
	callEnd    callTrigger = "end"
)

var callLifecycle = NewLifecycle(map[CallState]map[callTrigger]CallState{
	CallWaiting: {
		callSend: CallSent,
		callEnd:  CallEnded,
	},
	CallSent: {
		callReturn: CallWaiting,
		callStream: CallStreaming,
		callEnd:    CallEnded,
	},
	CallStreaming: {
		callEnd: CallEnded,
	},
})

// CallRules say how often a call may run and be sent.
type CallRules struct {
	Repeatable   bool // it may run more than once
	Resumable    bool // its stream may go on in another run, from the last event
	MaxEndpoints int  // the most endpoints that may run it
	MaxSends     int  // the most sends, those that endpoints refused included
}

// Call decides what happens with one caller's request. Its outcome follows from
// what is known about its sends: a request has not run if no byte of it left or
// if the endpoint said so; after anything else it may have run.
type Call struct {
	guards Guards
	rules  CallRules
	allow  func() bool // whether the retry budget has room for one more send
	state  CallState
	sends  int
	ran    int // sends that ran or may have run
}

// NewCall builds a call. Allow is asked before each send after the first one
// that reached an endpoint, and takes that send from the budget.
func NewCall(rules CallRules, allow func() bool, options ...Option) *Call {
	return &Call{
		guards: newGuards(options),
		rules:  rules,
		allow:  allow,
		state:  CallWaiting,
	}
}

// Clone copies the call, for the checker.
func (c *Call) Clone() *Call {
	copied := *c
	return &copied
}

// State gives the call's state.
func (c *Call) State() CallState { return c.state }

// Sends counts the sends that reached an endpoint.
func (c *Call) Sends() int { return c.sends }

// MayHaveRun tells whether an endpoint ran the request or may have.
func (c *Call) MayHaveRun() bool { return c.ran > 0 }

// Step applies an event and gives what is to be done.
func (c *Call) Step(_ time.Time, ev Event) []Command {
	if c.state == CallEnded {
		return nil
	}
	if c.state == CallStreaming && c.guards.on(GuardCallPartial) {
		return c.stepStream(ev)
	}
	switch e := ev.(type) {
	case CallPlaced:
		return c.placed()
	case CallUnplaced:
		return c.end(c.giveUp(ReasonNoEndpoint))
	case CallQuarantined:
		return c.end(c.giveUp(ReasonQuarantined))
	case CallUnsent:
		return c.unsent()
	case CallRefused:
		return c.refused()
	case CallAnswered:
		return c.answered(e)
	case CallBroken:
		return c.broken()
	case CallProgressed:
		c.fire(callStream)
	case CallCompleted:
		return c.end(nil)
	case CallExpired:
		return c.end(c.giveUp(ReasonExpired))
	case CallAbandoned:
		return c.end(CancelCall{})
	}
	return nil
}

// stepStream applies an event to a call of whose answer the caller has a part.
// It goes on from a copy, completes, or is cut: there is no other answer.
func (c *Call) stepStream(ev Event) []Command {
	reason := ReasonBroken
	switch e := ev.(type) {
	case CallProgressed:
		return nil
	case CallCompleted:
		return c.end(nil)
	case CallAbandoned:
		return c.end(CancelCall{})
	case CallBroken:
		if e.Copy && c.allow() {
			return []Command{ContinueCall{}}
		}
		if e.Copy {
			reason = ReasonBudget
		}
		if !e.Copy && c.resumes() {
			return c.resume()
		}
	case CallUnsent:
		reason = ReasonUnreachable
		if c.resumes() {
			return c.resume()
		}
	case CallRefused:
		reason = ReasonRefused
		if c.resumes() {
			return c.resume()
		}
	case CallExpired:
		reason = ReasonExpired
	case CallQuarantined:
		reason = ReasonQuarantined
	}
	return c.end(CutAnswer{Reason: reason})
}

// resumes tells whether a stream may go on in another run, and takes that send from
// the budget.
func (c *Call) resumes() bool {
	return c.rules.Resumable && c.withinEndpoints() && c.sends < c.rules.MaxSends && c.allow()
}

func (c *Call) resume() []Command {
	c.sends++
	c.ran++
	return []Command{ResumeCall{}}
}

// MayRunAgain tells whether the call may be sent to another endpoint although one
// has it, as far as its own rules go; the budget is asked with the send.
func (c *Call) MayRunAgain() bool {
	return c.mayRunAgain() && c.withinEndpoints() && c.sends < c.rules.MaxSends
}

func (c *Call) placed() []Command {
	c.fire(callSend)
	c.sends++
	c.ran++ // until the endpoint says otherwise
	return []Command{SendCall{}}
}

// unsent takes back a send of which no byte left the box.
func (c *Call) unsent() []Command {
	c.ran--
	c.sends--
	return c.again(ReasonUnreachable, false)
}

func (c *Call) refused() []Command {
	c.ran--
	return c.again(ReasonRefused, true)
}

// answered takes a whole answer, or the head of a stream.
func (c *Call) answered(e CallAnswered) []Command {
	if e.Failed && c.rules.Repeatable && c.ran < c.rules.MaxEndpoints && c.sends < c.rules.MaxSends && c.allow() {
		c.fire(callReturn)
		return []Command{PlaceCall{}}
	}
	return c.end(PassAnswer{})
}

// broken takes a connection that ended before the answer did.
func (c *Call) broken() []Command {
	if c.mayRunAgain() && c.withinEndpoints() && c.sends < c.rules.MaxSends && c.allow() {
		c.fire(callReturn)
		return []Command{PlaceCall{}}
	}
	return c.end(c.giveUp(ReasonBroken))
}

// again places the call once more, or gives it up. A send that reached an
// endpoint and was refused there counts against the budget.
func (c *Call) again(reason Reason, arrived bool) []Command {
	if c.mayRunAgain() || c.ran == 0 {
		if c.sends < c.rules.MaxSends && (!arrived || c.allow()) {
			c.fire(callReturn)
			return []Command{PlaceCall{}}
		}
	}
	return c.end(c.giveUp(reason))
}

// withinEndpoints tells whether another endpoint may run the call.
func (c *Call) withinEndpoints() bool {
	return c.ran < c.rules.MaxEndpoints || !c.guards.on(GuardCallOnce)
}

// mayRunAgain tells whether a call that may have run may be sent again.
func (c *Call) mayRunAgain() bool {
	return c.rules.Repeatable || !c.guards.on(GuardCallOnce)
}

func (c *Call) giveUp(reason Reason) Command {
	outcome := NotRun
	if c.ran > 0 && c.guards.on(GuardCallOutcome) {
		outcome = Unknown
	}
	return RefuseCall{
		Outcome: outcome,
		Reason:  reason,
	}
}

func (c *Call) end(command Command) []Command {
	c.fire(callEnd)
	if command == nil {
		return nil
	}
	return []Command{command}
}

// fire moves the state; the callers above check what the state permits. Only
// with a guard off is there a move that it doesn't, and the state stays.
func (c *Call) fire(trigger callTrigger) {
	if err := callLifecycle.Fire(&c.state, trigger); err != nil && len(c.guards.off) == 0 {
		panic(err)
	}
}
