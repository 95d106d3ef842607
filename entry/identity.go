package entry

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"dillsaddle.example/dillsaddle/core"
)

// macSize is the length of the MAC in a stream ID, in bytes.
const macSize = 12

// tagSize is the length of the stream ID's prefix in its event IDs, in characters.
const tagSize = 8

// streamIdentity holds what a box needs to continue a stream that another box began. A stream ID
// is its encoding, with a MAC keyed by the fleet's secret.
type streamIdentity struct {
	Endpoint     string           `cbor:"1,keyasint"`
	Incarnation  core.Incarnation `cbor:"2,keyasint"`
	Generation   string           `cbor:"3,keyasint"`
	Customer     string           `cbor:"4,keyasint"`
	Model        string           `cbor:"5,keyasint"`
	Chat         bool             `cbor:"6,keyasint,omitempty"`
	PromptTokens int              `cbor:"7,keyasint"`
	MaxTokens    int              `cbor:"8,keyasint"`
}

func (i *streamIdentity) origin() core.Origin {
	return core.Origin{
		Endpoint:    i.Endpoint,
		Incarnation: i.Incarnation,
		Generation:  i.Generation,
	}
}

func encodeStreamID(secret string, i *streamIdentity) (string, error) {
	body, err := cbor.Marshal(i)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(computeMAC(secret, body), body...)), nil
}

func computeMAC(secret string, body []byte) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = m.Write(body)
	return m.Sum(nil)[:macSize]
}

// decodeStreamID decodes a stream ID and reports false if the fleet did not issue it.
func decodeStreamID(secret, id string) (*streamIdentity, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil || len(raw) <= macSize {
		return nil, false
	}
	if !hmac.Equal(raw[:macSize], computeMAC(secret, raw[macSize:])) {
		return nil, false
	}
	var i streamIdentity
	if cbor.Unmarshal(raw[macSize:], &i) != nil {
		return nil, false
	}
	return &i, true
}

// eventTag returns the prefix of the event IDs of a stream.
func eventTag(id string) string { return id[:tagSize] }

// eventMark is a suffix of an event ID. It distinguishes the events after the last token,
// which all have its offset.
type eventMark string

// The marks of the events after the last token.
const (
	markUsage eventMark = "usage"
	markDone  eventMark = "done"
	markError eventMark = "error"
)

// nextOffset returns the offset that follows a Last-Event-ID, with or without a mark. It
// reports false if the ID is not from the given stream.
func nextOffset(id, lastEvent string) (uint64, bool) {
	if lastEvent == "" {
		return 0, true
	}
	tag, offset, found := strings.Cut(lastEvent, ".")
	if !found || tag != eventTag(id) {
		return 0, false
	}
	offset, _, _ = strings.Cut(offset, ".")
	n, err := strconv.ParseUint(offset, 10, 63)
	return n + 1, err == nil
}

// newToken returns a random, unguessable ID for a request, attempt or generation.
func newToken() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}
