package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// CallRules are the bounds of the specification of a single call: one caller's
// request on the operators' platform.
type CallRules struct {
	Rules     core.CallRules
	HasBudget bool // the retry budget allows another attempt
	Events    int  // events of each stream
	Faults    int
	Options   []core.Option
}

// callState is a call together with the state of its runs, which the call itself
// can't observe.
type callState struct {
	rules     *CallRules
	call      *core.Call
	pending   core.Command // the next command to carry out, nil once the call has ended
	runs      int          // runs that an endpoint has started
	delivered int          // stream events that the caller has received
	faults    int
	violation string
}

// Calls returns the first state of the specification of calls.
func Calls(rules CallRules) State {
	return &callState{
		rules:   &rules,
		call:    core.NewCall(rules.Rules, func() bool { return rules.HasBudget }, rules.Options...),
		pending: core.PlaceCall{},
		faults:  rules.Faults,
	}
}

// Key encodes everything that the later states depend on.
func (s *callState) Key() string {
	return fmt.Sprintf("%T %s %d %t %d %d %d %s", s.pending, s.call.State(), s.call.Sends(), s.call.MayHaveRun(), s.runs, s.delivered, s.faults, s.violation)
}

func (s *callState) clone() *callState {
	copied := *s
	copied.call = s.call.Clone()
	return &copied
}

// Next returns the steps of the caller, endpoints and links.
func (s *callState) Next() []Transition {
	if s.violation != "" {
		return nil
	}
	return collectTransitions(s, s.addSteps)
}

// callAdder adds a transition that changes a copy of the state.
type callAdder = func(label string, change func(*callState))

func (s *callState) addSteps(add callAdder) {
	if s.pending == nil {
		return
	}
	s.addStep(add, "the caller disconnects", 0, core.CallAbandoned{})
	s.addStep(add, "its deadline passes", 0, core.CallExpired{})
	s.addStep(add, "its box ends", 0, core.CallInterrupted{})
	switch s.pending.(type) {
	case core.PlaceCall:
		s.addStep(add, "an endpoint is chosen", 0, core.CallPlaced{})
		s.addStep(add, "no endpoint is available", 0, core.CallUnplaced{})
		s.addFault(add, "it is quarantined after endpoint crashes", 0, core.CallQuarantined{})
	case core.SendCall, core.ContinueCall, core.ResumeCall:
		s.addSendSteps(add)
	default:
		s.addStreamSteps(add)
	}
}

// addSendSteps adds the possible outcomes of sending the request to an endpoint.
func (s *callState) addSendSteps(add callAdder) {
	run := 1
	if _, continues := s.pending.(core.ContinueCall); continues {
		run = 0
	}
	if _, first := s.pending.(core.SendCall); !first {
		s.addFault(add, "it is quarantined after endpoint crashes", 0, core.CallQuarantined{})
	}
	s.addFault(add, "no byte is sent", 0, core.CallUnsent{})
	s.addFault(add, "no byte is sent before its deadline passes", 0, core.CallExpired{Unsent: true})
	s.addFault(add, "no byte is sent before its box ends", 0, core.CallInterrupted{Unsent: true})
	s.addFault(add, "the endpoint refuses it", 0, core.CallRefused{})
	s.addFault(add, "another box refuses it", 0, core.CallDeclined{})
	s.addFault(add, "its connection breaks before it is read", 0, core.CallBroken{})
	s.addFault(add, "it runs and its answer is lost", run, core.CallBroken{})
	s.addFault(add, "it runs and its deadline passes", run, core.CallExpired{})
	s.addFault(add, "it runs and its box ends", run, core.CallInterrupted{})
	s.addStep(add, "it runs and is answered", run, core.CallAnswered{})
	s.addFault(add, "it runs and fails", run, core.CallAnswered{Failed: true})
	if s.rules.Events > 0 {
		add("it runs and its stream begins", func(n *callState) {
			n.runs += run
			n.deliverEvent()
		})
	}
}

// addStreamSteps adds the possible outcomes of a stream in progress.
func (s *callState) addStreamSteps(add callAdder) {
	if s.delivered < s.rules.Events {
		add("an event arrives", func(n *callState) { n.deliverEvent() })
	} else {
		s.addStep(add, "the stream completes", 0, core.CallCompleted{})
	}
	s.addFault(add, "the stream breaks, and a copy of its state exists", 0, core.CallBroken{Copy: true})
	s.addFault(add, "the stream breaks", 0, core.CallBroken{})
}

func (s *callState) deliverEvent() {
	s.delivered++
	s.call.Step(at(0), core.CallProgressed{})
	s.pending = readingStream{}
}

// readingStream is the pending command while a stream is being read. The core has
// no command for this.
type readingStream struct{ core.CommandBase }

// addFault adds an event as a fault. runs is the number of runs that it starts.
func (s *callState) addFault(add callAdder, label string, runs int, ev core.Event) {
	if s.faults == 0 {
		return
	}
	add("fault: "+label, func(n *callState) {
		n.faults--
		n.apply(runs, ev)
	})
}

// addStep adds an event that may always happen.
func (s *callState) addStep(add callAdder, label string, runs int, ev core.Event) {
	add(label, func(n *callState) { n.apply(runs, ev) })
}

const notRunViolation = "a request that ran was reported as not run"

// apply passes an event to the call and handles its first command.
func (s *callState) apply(runs int, ev core.Event) {
	s.runs += runs
	commands := s.call.Step(at(0), ev)
	s.pending = nil
	if _, completed := ev.(core.CallCompleted); !completed && len(commands) == 0 {
		s.violation = "a call ended without an answer, a refusal or a cut"
	}
	if len(commands) > 0 {
		s.handleCommand(commands[0])
		if _, declined := ev.(core.CallDeclined); declined && s.runs > 0 && commands[0] == (core.PassAnswer{}) {
			s.violation = notRunViolation
		}
	}
	if s.runs > 1 && !s.rules.Rules.Repeatable {
		s.violation = "a request that must run at most once ran twice"
	}
}

// handleCommand keeps a command as pending, or checks the final answer that it
// gives the caller.
func (s *callState) handleCommand(command core.Command) {
	switch c := command.(type) {
	case core.PlaceCall, core.SendCall, core.ContinueCall, core.ResumeCall:
		s.pending = command
		if _, resumed := command.(core.ResumeCall); resumed && !s.rules.Rules.Resumable {
			s.violation = "a stream that may not be resumed was continued by another run"
		}
		if _, again := command.(core.PlaceCall); again && s.delivered > 0 {
			s.violation = "a partly delivered stream was sent again from the start"
		}
	case core.RefuseCall:
		if s.delivered > 0 {
			s.violation = "a refusal was written into a stream"
		}
		if c.Outcome == core.NotRun && s.runs > 0 {
			s.violation = notRunViolation
		}
	case core.PassAnswer:
		if s.delivered > 0 {
			s.violation = "an answer was written into a stream"
		}
	}
}

// FindViolation reports a broken promise about calls.
func (s *callState) FindViolation() (string, bool) { return s.violation, s.violation != "" }
