package core

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the digest's length, sufficient to rule out collisions, also
// deliberate ones.
const digestBytes = 16

// Digest identifies the content of a request. Repeats of a request have the same
// digest on every box.
type Digest [digestBytes]byte

// NewDigest returns the digest of a request's parts, in order.
func NewDigest(parts ...[]byte) Digest {
	h := sha256.New()
	for _, part := range parts {
		// The length prefix separates the parts.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part)))) // never fails
		_, _ = h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// ParseDigest parses the text that String returns.
func ParseDigest(text string) (Digest, bool) {
	var d Digest
	b, err := hex.DecodeString(text)
	return d, err == nil && copy(d[:], b) == len(d) && len(b) == len(d)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 64 bits of the digest, for records that need not withstand deliberate
// collisions.
func (d Digest) Short() uint64 { return binary.BigEndian.Uint64(d[:]) }
