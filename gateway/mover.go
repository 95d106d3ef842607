package gateway

import (
	"context"
	"fmt"

	"dillsaddle.example/dillsaddle/routing"
)

// Move asks an engine to copy a run's memory to another one.
type Move struct {
	Request string // the id of the request that runs
	Source  routing.Endpoint
	Target  routing.Endpoint
	Last    bool // the run stops before the copy
}

// MoveResult is the answer to a move.
type MoveResult struct {
	Copy   string // the copy's name, as it is sent to go on from it
	Events int    // that the run had made
}

// EngineRefusal says why an engine turned a move away.
type EngineRefusal string

// The refusals of moves.
const (
	RunUnknown     EngineRefusal = "no such run" // it has not begun, or it ended
	MoveInProgress EngineRefusal = "another move is under way"
	NoRoom         EngineRefusal = "no room, or no way there"
)

// EngineError reports that an engine turned a call away.
type EngineError struct {
	Status int
	Reason EngineRefusal // empty for others
}

// Error names the status and the remedy.
func (e *EngineError) Error() string {
	return fmt.Sprintf("the engine answered %d; choose another one or try again later", e.Status)
}

// Mover copies the memory of runs between engines.
type Mover interface {
	// Move copies a run's memory; a run that stopped can go on at the target,
	// or at the source if the copy failed and a name is given all the same.
	Move(ctx context.Context, m Move) (MoveResult, error)
	// Ping asks whether an engine answers at all.
	Ping(ctx context.Context, e routing.Endpoint) error
	// CopyName gives the name of a run's copy at the endpoint that its memory
	// was sent to as it grew.
	CopyName(id string, backup routing.Endpoint) string
}
