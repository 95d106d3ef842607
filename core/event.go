package core

// Event is an input of an aggregate: something that happened.
type Event interface{ isEvent() }

// Command is an output of an aggregate: an action for its shell to carry out.
type Command interface{ isCommand() }

// EventBase is embedded in a type to implement Event.
type EventBase struct{}

func (EventBase) isEvent() {}

// CommandBase is embedded in a type to implement Command.
type CommandBase struct{}

func (CommandBase) isCommand() {}

// Outcome states whether a request was executed.
type Outcome string

// The final outcomes of a request.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)
