package core

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// readerKey salts the hashes by which boxes are ranked as readers.
const readerKey = "readers"

// ReaderRank returns a box's rank, from 0, among the boxes that may read the store on
// behalf of all. Boxes with faster links rank first, since reading a large configuration
// delays other messages: 0.77 MB take 0.65 s at 10 Mbit/s and 0.04 s at 200 Mbit/s. Links of
// similar speed are ranked by rendezvous hashing.
func ReaderRank(self Peer, others []Peer) int {
	ahead := 0
	for _, other := range others {
		if ranksBefore(other, self) {
			ahead++
		}
	}
	return ahead
}

// ranksBefore reports whether box a ranks before box b as a reader.
func ranksBefore(a, b Peer) bool {
	if tierA, tierB := linkTier(a), linkTier(b); tierA != tierB {
		return tierA > tierB
	}
	return readerWeight(a) > readerWeight(b)
}

// linkTier groups links by powers of two of their speed, so that small differences in speed
// don't concentrate the readers in one zone.
func linkTier(p Peer) int { return bits.Len32(p.LinkMbps) }

// readerWeight returns the rendezvous score of a box as a reader.
func readerWeight(p Peer) uint64 { return xxhash.Sum64String(p.Box + "/" + readerKey) }
