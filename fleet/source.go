package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/routing"
)

// Source is a store that publishes the configuration and the endpoints.
type Source interface {
	// Read gives all that is published now.
	Read(ctx context.Context) (*Snapshot, error)
	// Watch gives what changed after a revision, as soon as there is something
	// or the wait is over.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error)
}

// Snapshot is all that the store published at a revision.
type Snapshot struct {
	Revision  uint64
	Document  *routing.Document // nil before the operator published one
	Endpoints []routing.Endpoint
}

// Apply takes changes into a snapshot that was read before them.
func (s *Snapshot) Apply(c *Changes) {
	index := make(map[string]int, len(s.Endpoints))
	for i, e := range s.Endpoints {
		index[e.ID] = i
	}
	for _, e := range c.Updated {
		if i, known := index[e.ID]; known {
			s.Endpoints[i] = e
			continue
		}
		index[e.ID] = len(s.Endpoints)
		s.Endpoints = append(s.Endpoints, e)
	}
	gone := make(map[string]uint64, len(c.Removed))
	for _, r := range c.Removed {
		gone[r.ID] = max(gone[r.ID], r.Revision)
	}
	s.Endpoints = slices.DeleteFunc(s.Endpoints, func(e routing.Endpoint) bool { return gone[e.ID] > e.Revision })
	if c.Document != nil && (s.Document == nil || c.Document.Version > s.Document.Version) {
		s.Document = c.Document
	}
	s.Revision = max(s.Revision, c.Revision)
}

// Changes is what the store published since a revision.
type Changes struct {
	Revision uint64
	Document *routing.Document // the newest, or nil
	Updated  []routing.Endpoint
	Removed  []Removal
}

// Removal is an endpoint's entry that went.
type Removal struct {
	ID       string
	Revision uint64
}

// ErrHistoryLost reports that the store no longer knows what changed since the
// revision asked for; the remedy is to read everything again.
var ErrHistoryLost = errors.New("the store dropped its history; read everything again")

// RefusedError reports that the store answered and turned the call away.
type RefusedError struct {
	Status int
}

// Error names the status and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store answered %d; try again later or ask a peer", e.Status)
}
