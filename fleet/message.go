package fleet

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// Gossip is what two boxes tell each other: who they are, whom they heard of,
// and how new their views are.
type Gossip struct {
	From          core.Peer          `cbor:"1,keyasint"`
	Members       []core.Peer        `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64             `cbor:"3,keyasint"` // version in force; 0 for none
	ListRevision  routing.Revision   `cbor:"4,keyasint"` // the list's last change; 0 for no list
	Reports       []routing.Report   `cbor:"5,keyasint,omitempty"`
	Age           time.Duration      `cbor:"6,keyasint"` // since the list was confirmed
	Crashes       []core.CrashRecord `cbor:"7,keyasint,omitempty"`
	Limits        []core.LimitRecord `cbor:"8,keyasint,omitempty"` // that endpoints named
}

// Kind names the message.
func (Gossip) Kind() string { return "greeting" }

// StateRequest asks a peer for its views where they are newer; the first part of them answers
// it.
type StateRequest struct {
	ConfigVersion uint64           `cbor:"1,keyasint"`
	ListRevision  routing.Revision `cbor:"2,keyasint"`
}

// Kind names the message.
func (StateRequest) Kind() string { return "want" }

// PeerState is a peer's newer configuration and list, or nothing of either. The
// list is given whole, or as what changed since the revision asked for.
type PeerState struct {
	Document     *routing.Document   `cbor:"1,keyasint,omitempty"`
	Endpoints    []routing.Endpoint  `cbor:"2,keyasint,omitempty"`
	ListRevision routing.Revision    `cbor:"3,keyasint,omitempty"` // 0 when the list is not newer
	Age          time.Duration       `cbor:"-"`                    // since the list was confirmed; it goes with the first part
	Partial      bool                `cbor:"5,keyasint,omitempty"` // only what changed
	Removed      []Removal           `cbor:"6,keyasint,omitempty"` // with a partial list
	Zones        []routing.ZoneDrain `cbor:"7,keyasint,omitempty"` // all that is known of zones; they are few
}

// Kind names the views.
func (PeerState) Kind() string { return "views" }

// newsMost is how many changes one piece of news carries; each takes some
// seventy bytes, and a box hears the news from each of its partners.
const newsMost = 8

// Update is a change that a box learned from the store, as boxes hand it on.
type Update struct {
	BaseRevision routing.Revision    `cbor:"1,keyasint"` // the list's last change before it
	ListRevision routing.Revision    `cbor:"2,keyasint"`
	Version      uint64              `cbor:"3,keyasint,omitempty"` // of a newer configuration; it is asked for once
	Updated      []routing.Endpoint  `cbor:"4,keyasint,omitempty"`
	Removed      []Removal           `cbor:"5,keyasint,omitempty"`
	Age          time.Duration       `cbor:"6,keyasint"`           // since the store told it
	Truncated    bool                `cbor:"7,keyasint,omitempty"` // the changes are left out; they are asked for once
	Zones        []routing.ZoneDrain `cbor:"8,keyasint,omitempty"`
}

// Kind names the message.
func (Update) Kind() string { return "news" }

// newest gives the revision of the last change of the list.
func (n Update) newest() routing.Revision {
	var at routing.Revision
	for _, e := range n.Updated {
		at = max(at, e.Revision)
	}
	for _, r := range n.Removed {
		at = max(at, r.Revision)
	}
	for _, z := range n.Zones {
		at = max(at, z.Revision)
	}
	return at
}

// announcement gives the news as they are handed on: many changes are left out,
// since every partner hears them from many others.
func (n Update) announcement() Update {
	if len(n.Updated)+len(n.Removed)+len(n.Zones) > newsMost {
		n.Updated = nil
		n.Removed = nil
		n.Zones = nil
		n.Truncated = true
	}
	return n
}

func (n Update) empty() bool {
	return n.Version == 0 && len(n.Updated) == 0 && len(n.Removed) == 0 && len(n.Zones) == 0
}
