package gateway

import (
	"context"
	"fmt"

	"dillsaddle.example/dillsaddle/routing"
)

// Move is a request to an engine to copy a run's memory to another one.
type Move struct {
	Request string // the request's ID
	Source  routing.Endpoint
	Target  routing.Endpoint
	Last    bool // stop the run before the copy
}

// MoveResult is an engine's answer to a move.
type MoveResult struct {
	Copy   string // the copy's name, by which the run is continued
	Events int    // the run's events so far
}

// EngineRefusal is the reason for which an engine refused a move.
type EngineRefusal string

// The reasons for refused moves.
const (
	RunUnknown     EngineRefusal = "no such run" // the run has not begun or has ended
	MoveInProgress EngineRefusal = "another move is under way"
	NoRoom         EngineRefusal = "target has no room or is unreachable"
)

// EngineError reports that an engine refused a call.
type EngineError struct {
	Status int
	Reason EngineRefusal // empty for calls other than moves
}

// Error returns a message with the engine's status.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine refused the call with status %d", e.Status)
}

// Mover copies the memory of runs between engines.
type Mover interface {
	// Move copies a run's memory. A run stopped by it can continue at the target or, if
	// Move returns an error with a copy's name, at the source.
	Move(ctx context.Context, m Move) (MoveResult, error)
	// Ping checks whether an engine answers.
	Ping(ctx context.Context, e routing.Endpoint) error
	// CopyName returns the name of the backup copy of a run at the endpoint that receives it.
	CopyName(id string, backup routing.Endpoint) string
}
