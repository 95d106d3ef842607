package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/routing"
)

// Store is the operators' store, which publishes the configuration and the endpoints.
type Store interface {
	// Read returns everything that is published now.
	Read(ctx context.Context) (*Snapshot, error)
	// ReadDocument returns the configuration that is published now; nil if there is none.
	ReadDocument(ctx context.Context) (*routing.Document, error)
	// Watch returns the changes after a revision as soon as there are any, or none when
	// wait is over.
	Watch(ctx context.Context, after routing.Revision, wait time.Duration) (*Changes, error)
}

// Snapshot is the store's complete content at a revision.
type Snapshot struct {
	Revision     routing.Revision
	Document     *routing.Document // nil before the operator published a configuration
	Endpoints    []routing.Endpoint
	DrainedZones []routing.ZoneDrain // all zones that the operator has drained
}

// Changes is what changed in the store after a revision.
type Changes struct {
	Revision routing.Revision
	Document *routing.Document // newest configuration; nil if unchanged
	Updated  []routing.Endpoint
	Removed  []Removal
	Zones    []routing.ZoneDrain // zones whose drain began or ended
}

// Removal is the removal of an endpoint's entry from the store.
type Removal struct {
	Name     string `cbor:"ID"` // the entry's name in the store
	Revision routing.Revision
	// Lapsed says that the entry went missing while the store was down. Its server may write it
	// again within the grace period of the message that contains the removal.
	Lapsed bool `cbor:",omitempty"`
}

// ErrHistoryLost reports that the store has compacted the changes after the requested revision.
// Everything must be read again.
var ErrHistoryLost = errors.New("store history compacted; read everything again")

// ErrChangesTooLarge reports that the changes after the requested revision exceed the size of
// everything published now. Everything must be read again.
var ErrChangesTooLarge = errors.New("changes exceed the size of a full read; read everything again")

// ErrStoreRestored reports that the store was restored from an older backup, or that an answer
// stems from before the last restore. Everything must be read again.
var ErrStoreRestored = errors.New("store restored from an older backup; read everything again")

// RefusedError reports that the store answered a call with an error status.
type RefusedError struct {
	Status int
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused the call with status %d", e.Status)
}
