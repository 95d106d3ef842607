package core

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes are enough that no two requests of a deployment share a digest by chance or
// by design.
const digestBytes = 16

// Digest names what a request asks for, the same at every box and for every repeat.
type Digest [digestBytes]byte

// NewDigest gives the digest of a request's parts, in their order.
func NewDigest(parts ...[]byte) Digest {
	h := sha256.New()
	for _, part := range parts {
		// The length goes first, so that no two lists of parts read the same.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part)))) // a hash takes all bytes
		_, _ = h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// String gives the digest as text for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
