package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// Gossip is the message that two boxes exchange periodically: the boxes that each knows, the
// versions of its state, and samples of shared records.
type Gossip struct {
	From          core.Peer          `cbor:"1,keyasint"`
	Members       []core.Peer        `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64             `cbor:"3,keyasint"` // active version; 0 for none
	ListRevision  routing.Revision   `cbor:"4,keyasint"` // revision of the list's last change; 0 for no list
	Reports       []routing.Report   `cbor:"5,keyasint,omitempty"`
	Age           time.Duration      `cbor:"6,keyasint"` // time since the list was confirmed
	Crashes       []core.CrashRecord `cbor:"7,keyasint,omitempty"`
	Limits        []core.LimitRecord `cbor:"8,keyasint,omitempty"` // rate limits that endpoints reported
	Parts         []core.PartRecord  `cbor:"9,keyasint,omitempty"` // parts of prompts at which endpoints crashed
}

// Kind returns the message's kind.
func (Gossip) Kind() string { return "greeting" }

// StateRequest requests the peer's state as far as it is newer than the given versions. The
// answer is the first Chunk of a PeerState.
type StateRequest struct {
	ConfigVersion uint64           `cbor:"1,keyasint"`
	ListRevision  routing.Revision `cbor:"2,keyasint"`
	CompleteAt    routing.Revision `cbor:"3,keyasint,omitempty"` // store revision up to which the receiver's list contains all changes
}

// Kind returns the message's kind.
func (StateRequest) Kind() string { return "want" }

// PeerState is the part of a peer's state that is newer than the receiver's. The list is either
// complete or contains the changes since the requested revision.
type PeerState struct {
	Document     *routing.Document   `cbor:"1,keyasint,omitempty"`
	Endpoints    []routing.Endpoint  `cbor:"2,keyasint,omitempty"`
	ListRevision routing.Revision    `cbor:"3,keyasint,omitempty"` // 0 if the list is not newer
	Age          time.Duration       `cbor:"-"`                    // time since the list was confirmed; sent with the first chunk
	Partial      bool                `cbor:"5,keyasint,omitempty"` // the list contains changes only
	Removed      []Removal           `cbor:"6,keyasint,omitempty"` // in a complete list, only of endpoints that it contains and that lapsed
	Zones        []routing.ZoneDrain `cbor:"7,keyasint,omitempty"` // all known zone states
	Grace        time.Duration       `cbor:"-"`                    // rest of the grace period of lapsed entries; sent with the first chunk
	CompleteAt   routing.Revision    `cbor:"8,keyasint,omitempty"` // store revision up to which the list contains all changes
}

// Kind returns the message's kind.
func (PeerState) Kind() string { return "views" }

// maxUpdateChanges bounds the changes in one update. Each takes about 70 bytes, and a box
// receives the update from each of its partners.
const maxUpdateChanges = 8

// Update is a change of the list or configuration that boxes forward to each other at once.
type Update struct {
	BaseRevision routing.Revision    `cbor:"1,keyasint"` // list revision that the changes apply to
	ListRevision routing.Revision    `cbor:"2,keyasint"`
	Version      uint64              `cbor:"3,keyasint,omitempty"` // version of a newer configuration, which is fetched separately
	Updated      []routing.Endpoint  `cbor:"4,keyasint,omitempty"`
	Removed      []Removal           `cbor:"5,keyasint,omitempty"`
	Age          time.Duration       `cbor:"6,keyasint"`           // time since the store reported the change
	Truncated    bool                `cbor:"7,keyasint,omitempty"` // the changes are omitted and fetched separately
	Zones        []routing.ZoneDrain `cbor:"8,keyasint,omitempty"`
	SentToGroup  bool                `cbor:"9,keyasint,omitempty"`  // the sender sent it to all boxes of its group, which is the receiver's too
	Grace        time.Duration       `cbor:"10,keyasint,omitempty"` // rest of the grace period of lapsed entries
	KnownFrom    routing.Revision    `cbor:"11,keyasint,omitempty"` // store revision from which on the sender knows removals
}

// Kind returns the message's kind.
func (Update) Kind() string { return "news" }

// newestRevision returns the highest revision of the update's changes.
func (u Update) newestRevision() routing.Revision {
	var at routing.Revision
	for _, e := range u.Updated {
		at = max(at, e.Revision)
	}
	for _, r := range u.Removed {
		at = max(at, r.Revision)
	}
	for _, z := range u.Zones {
		at = max(at, z.Revision)
	}
	return at
}

// truncate omits the changes if there are many, since each box receives the update from several
// partners.
func (u Update) truncate() Update {
	if len(u.Updated)+len(u.Removed)+len(u.Zones) > maxUpdateChanges {
		u.Updated = nil
		u.Removed = nil
		u.Zones = nil
		u.Truncated = true
	}
	return u
}

func (u Update) isEmpty() bool {
	return u.Version == 0 && len(u.Updated) == 0 && len(u.Removed) == 0 && len(u.Zones) == 0
}
