package core

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartID identifies a part of a prompt, as callers name it in hexadecimal.
type PartID uint64

const (
	hexBase    = 16
	partIDBits = 64
)

// NewPartID returns the ID with the given text. A text that isn't a hexadecimal number of up to 64
// bits is hashed.
func NewPartID(text string) PartID {
	n, err := strconv.ParseUint(text, hexBase, partIDBits)
	if err != nil {
		return PartID(xxhash.Sum64String(text))
	}
	return PartID(n)
}

// String returns the ID in hexadecimal.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), hexBase) }

// PromptPart is a part of prompts at the endpoints of one service. Each service has its own record
// of a part, since its endpoints may run another model.
type PromptPart struct {
	Service string `cbor:"1,keyasint"`
	ID      PartID `cbor:"2,keyasint"`
}

// String returns the service and the ID.
func (p PromptPart) String() string { return p.Service + "/" + p.ID.String() }

// Prompt is what the quarantine of prompt parts takes into account of a request.
type Prompt struct {
	Service string
	Parts   []PartID // those that other requests may have too
	Content Digest   // tells the request from others with the same parts
}

// has reports whether a part is one of the prompt's. Parts at other services count as such.
func (p Prompt) has(part PromptPart) bool {
	return part.Service != p.Service || slices.Contains(p.Parts, part.ID)
}

// part returns one of the prompt's parts.
func (p Prompt) part(id PartID) PromptPart {
	return PromptPart{
		Service: p.Service,
		ID:      id,
	}
}
