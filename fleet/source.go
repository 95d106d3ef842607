package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/routing"
)

// Store is a store that publishes the configuration and the endpoints.
type Store interface {
	// Read gives all that is published now.
	Read(ctx context.Context) (*Snapshot, error)
	// Watch gives what changed after a revision, as soon as there is something
	// or the wait is over.
	Watch(ctx context.Context, after routing.Revision, wait time.Duration) (*Changes, error)
}

// Snapshot is all that the store published at a revision.
type Snapshot struct {
	Revision     routing.Revision
	Document     *routing.Document // nil before the operator published one
	Endpoints    []routing.Endpoint
	DrainedZones []routing.ZoneDrain // all zones that the operator wants to be drained
}

// Changes is what the store published since a revision.
type Changes struct {
	Revision routing.Revision
	Document *routing.Document // the newest, or nil
	Updated  []routing.Endpoint
	Removed  []Removal
	Zones    []routing.ZoneDrain // that were drained or taken back
}

// Removal is an endpoint's entry that went.
type Removal struct {
	Name     string `cbor:"ID"` // that the server was published under
	Revision routing.Revision
}

// ErrHistoryLost reports that the store no longer knows what changed since the
// revision asked for; the remedy is to read everything again.
var ErrHistoryLost = errors.New("the store dropped its history; read everything again")

// ErrChangesTooLarge reports that an answer about changes is larger than all that is published
// now; the remedy is to read everything again.
var ErrChangesTooLarge = errors.New("the changes are larger than all there is; read everything again")

// ErrStoreRestored reports that the store has come back from an older copy, or that an
// answer is of an older copy than one before; the remedy is to read everything again.
var ErrStoreRestored = errors.New("the store came back from an older copy; read everything again")

// RefusedError reports that the store answered and turned the call away.
type RefusedError struct {
	Status int
}

// Error names the status and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store answered %d; try again later or ask a peer", e.Status)
}
