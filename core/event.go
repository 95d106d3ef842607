package core

// Event is something that happened to an aggregate.
type Event interface{ isEvent() }

// Command is something that an aggregate asks its shell to do.
type Command interface{ isCommand() }

// EventBase marks a type as an event when it is embedded.
type EventBase struct{}

func (EventBase) isEvent() {}

// CommandBase marks a type as a command when it is embedded.
type CommandBase struct{}

func (CommandBase) isCommand() {}

// Outcome is the final word on whether a request was run.
type Outcome string

// The three final outcomes.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)
