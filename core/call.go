package core

import "time"

// CallState is the state of one caller's request in a box.
type CallState string

// A call waits for an endpoint, is sent, streams once the caller has received a
// part of the response, and ends.
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

// CallRules limit how often a call may be executed and sent.
type CallRules struct {
	Repeatable   bool // the request may be executed more than once
	Resumable    bool // another endpoint may continue the stream after its last event
	MaxEndpoints int  // maximum number of endpoints that may execute the request
	MaxSends     int  // maximum number of sends, including refused ones
}

// Call decides how one caller's request is sent, retried and answered. A request
// counts as not run only if no byte of it was sent or the endpoint reported that
// it did not run it; otherwise it may have run.
type Call struct {
	guards       Guards
	rules        CallRules
	allow        func() bool // takes one retry from the retry budget, if there is one left
	state        CallState
	sends        int
	possibleRuns int // sends that were or may have been executed
}

// NewCall returns a call that waits for an endpoint. The allow function takes one
// retry from the retry budget; it is called before every send that follows one
// which reached an endpoint.
func NewCall(rules CallRules, allow func() bool, options ...Option) *Call {
	return &Call{
		guards: newGuards(options),
		rules:  rules,
		allow:  allow,
		state:  CallWaiting,
	}
}

// Clone returns a copy of the call for the model checker.
func (c *Call) Clone() *Call {
	copied := *c
	return &copied
}

// SetRules replaces the rules for the further sends of the call, after a change of the configuration.
func (c *Call) SetRules(rules CallRules) { c.rules = rules }

// State returns the call's state.
func (c *Call) State() CallState { return c.state }

// Sends returns the number of sends that reached an endpoint.
func (c *Call) Sends() int { return c.sends }

// MayHaveRun reports whether an endpoint ran or may have run the request.
func (c *Call) MayHaveRun() bool { return c.possibleRuns > 0 }

// Step applies an event and returns the commands to carry out.
func (c *Call) Step(_ time.Time, ev Event) []Command {
	if c.state == CallEnded {
		return nil
	}
	if c.state == CallStreaming && c.guards.enabled(GuardCallPartial) {
		return c.stepStream(ev)
	}
	switch e := ev.(type) {
	case CallPlaced:
		return c.handlePlaced()
	case CallUnplaced:
		return c.end(c.refusal(ReasonNoEndpoint))
	case CallQuarantined:
		return c.end(c.refusal(ReasonQuarantined))
	case CallUnsent:
		return c.handleUnsent()
	case CallRefused:
		return c.handleRefused()
	case CallAnswered:
		return c.handleAnswered(e)
	case CallDeclined:
		return c.handleDeclined()
	case CallBroken:
		return c.handleBroken()
	case CallProgressed:
		c.RecordProgress()
	case CallCompleted:
		return c.end(nil)
	case CallExpired:
		if e.Unsent {
			c.revertSend()
		}
		return c.end(c.refusal(ReasonExpired))
	case CallInterrupted:
		if e.Unsent {
			c.revertSend()
		}
		return c.end(c.refusal(ReasonStopping))
	case CallAbandoned:
		return c.end(CancelCall{})
	}
	return nil
}

// RecordProgress records that an event of the stream was forwarded to the caller, as Step does for
// CallProgressed, which has no commands.
func (c *Call) RecordProgress() {
	if c.state != CallStreaming && c.state != CallEnded {
		c.fire(callStream)
	}
}

// stepStream applies an event to a call whose caller has received a part of the
// response. The stream can only be continued, completed or cut; a different
// response must not follow.
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
		if !e.Copy && c.allowResume() {
			return c.resume()
		}
	case CallUnsent:
		reason = ReasonUnreachable
		if c.allowResume() {
			return c.resume()
		}
	case CallRefused:
		reason = ReasonRefused
		if c.allowResume() {
			return c.resume()
		}
	case CallExpired:
		reason = ReasonExpired
	case CallInterrupted:
		reason = ReasonStopping
	case CallQuarantined:
		reason = ReasonQuarantined
	}
	return c.end(CutAnswer{Reason: reason})
}

// allowResume reports whether another endpoint may continue the stream, and takes
// that send from the retry budget.
func (c *Call) allowResume() bool {
	return c.rules.Resumable && c.withinEndpoints() && c.sends < c.rules.MaxSends && c.allow()
}

func (c *Call) resume() []Command {
	c.sends++
	c.possibleRuns++
	return []Command{ResumeCall{}}
}

// MayRunAgain reports whether the call's rules permit another send while an
// endpoint is running it. The retry budget is checked when the send is made.
func (c *Call) MayRunAgain() bool {
	return c.mayRunAgain() && c.withinEndpoints() && c.sends < c.rules.MaxSends
}

func (c *Call) handlePlaced() []Command {
	c.fire(callSend)
	c.sends++
	c.possibleRuns++ // until the endpoint reports otherwise
	return []Command{SendCall{}}
}

// handleUnsent reverts a send of which no byte left the box.
func (c *Call) handleUnsent() []Command {
	c.revertSend()
	return c.retry(ReasonUnreachable, false)
}

func (c *Call) revertSend() {
	c.possibleRuns--
	c.sends--
}

func (c *Call) handleRefused() []Command {
	c.possibleRuns--
	return c.retry(ReasonRefused, true)
}

// handleAnswered handles a complete response, or the header of a streamed one.
func (c *Call) handleAnswered(e CallAnswered) []Command {
	if e.Failed && c.rules.Repeatable && c.possibleRuns < c.rules.MaxEndpoints && c.sends < c.rules.MaxSends && c.allow() {
		c.fire(callReturn)
		return []Command{PlaceCall{}}
	}
	return c.end(PassAnswer{})
}

// handleDeclined passes on another box's refusal, which promises that the request has not run, unless
// an earlier send may have been executed.
func (c *Call) handleDeclined() []Command {
	c.possibleRuns--
	if c.MayHaveRun() && c.guards.enabled(GuardCallOutcome) {
		return c.end(c.refusal(ReasonRefused))
	}
	return c.end(PassAnswer{})
}

// handleBroken handles a connection that closed before the response was complete.
func (c *Call) handleBroken() []Command {
	if c.mayRunAgain() && c.withinEndpoints() && c.sends < c.rules.MaxSends && c.allow() {
		c.fire(callReturn)
		return []Command{PlaceCall{}}
	}
	return c.end(c.refusal(ReasonBroken))
}

// retry returns the call to the queue, or refuses it if it must not be sent again.
// A send that reached an endpoint (reached) and was refused there counts against
// the retry budget.
func (c *Call) retry(reason Reason, reached bool) []Command {
	if c.mayRunAgain() || c.possibleRuns == 0 {
		if c.sends < c.rules.MaxSends && (!reached || c.allow()) {
			c.fire(callReturn)
			return []Command{PlaceCall{}}
		}
	}
	return c.end(c.refusal(reason))
}

// withinEndpoints reports whether one more endpoint may execute the call.
func (c *Call) withinEndpoints() bool {
	return c.possibleRuns < c.rules.MaxEndpoints || !c.guards.enabled(GuardCallOnce)
}

// mayRunAgain reports whether a call that may have run may be sent again.
func (c *Call) mayRunAgain() bool {
	return c.rules.Repeatable || !c.guards.enabled(GuardCallOnce)
}

func (c *Call) refusal(reason Reason) Command {
	outcome := NotRun
	if c.possibleRuns > 0 && c.guards.enabled(GuardCallOutcome) {
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

// fire applies a trigger to the state. Callers check that the state permits it; a
// trigger that isn't permitted is possible only while a guard is disabled, and is
// ignored then.
func (c *Call) fire(trigger callTrigger) {
	if err := callLifecycle.Fire(&c.state, trigger); err != nil && len(c.guards.off) == 0 {
		panic(err)
	}
}
