package core

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// readerKey is what boxes' names are hashed with to rank them as readers.
const readerKey = "readers"

// ReaderRank gives a box's place, from 0, in the order in which boxes read the store for
// all: those with the widest links go first, and among links of about the same speed
// those that rendezvous hashing ranks first. A configuration of 0.77 MB takes 0.65 s of a
// link of 10 Mbit/s, in which the reader hears of no other change, and 0.04 s of one of
// 200 Mbit/s.
func ReaderRank(self Peer, others []Peer) int {
	ahead := 0
	for _, other := range others {
		if ranksBefore(other, self) {
			ahead++
		}
	}
	return ahead
}

func ranksBefore(a, b Peer) bool {
	if tierA, tierB := linkTier(a), linkTier(b); tierA != tierB {
		return tierA > tierB
	}
	return readerWeight(a) > readerWeight(b)
}

// linkTier puts links whose speeds differ by less than about twice into one class, so
// that reading isn't all one zone's where speeds differ a little.
func linkTier(p Peer) int { return bits.Len32(p.LinkMbps) }

func readerWeight(p Peer) uint64 { return xxhash.Sum64String(p.Box + "/" + readerKey) }
