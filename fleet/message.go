package fleet

import (
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// Greeting is what two boxes tell each other: who they are, whom they heard of,
// and how new their views are.
type Greeting struct {
	From          core.Peer        `cbor:"1,keyasint"`
	Members       []core.Peer      `cbor:"2,keyasint,omitempty"`
	Configuration uint64           `cbor:"3,keyasint"` // version in force; 0 for none
	Revision      uint64           `cbor:"4,keyasint"` // of the list of endpoints; 0 for none
	Reports       []routing.Report `cbor:"5,keyasint,omitempty"`
}

// Kind names the message.
func (Greeting) Kind() string { return "greeting" }

// Want asks a peer for its views where they are newer.
type Want struct {
	Configuration uint64 `cbor:"1,keyasint"`
	Revision      uint64 `cbor:"2,keyasint"`
}

// Kind names the message.
func (Want) Kind() string { return "want" }

// Views is a peer's newer configuration and list, or nothing of either.
type Views struct {
	Document  *routing.Document  `cbor:"1,keyasint,omitempty"`
	Endpoints []routing.Endpoint `cbor:"2,keyasint,omitempty"`
	Revision  uint64             `cbor:"3,keyasint,omitempty"` // 0 when the list is not newer
}

// Kind names the message.
func (Views) Kind() string { return "views" }
