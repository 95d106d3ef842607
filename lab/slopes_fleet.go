package lab

import (
	"strconv"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/shard"
	"dillsaddle.example/dillsaddle/watch"
)

// maxPeers is the maximum number of peers of a watch process.
const maxPeers = 4

func peerCount(boxes int) float64 {
	l := newList(boxes, 0)
	most := 0
	for i := range l.Boxes {
		most = max(most, len(watch.Peers(l, l.Boxes[i].Name, maxPeers)))
	}
	return float64(most)
}

// Size of the sharded map's measurement.
const (
	shardKeys    = 10000
	shardLookups = 300000
)

// shardCost measures a lookup in the sharded map while several goroutines look up keys.
// Without lock contention it doesn't grow with their number.
func shardCost(threads int) float64 {
	m := shard.NewMap[int]()
	keys := make([]string, shardKeys)
	for i := range keys {
		keys[i] = "stream-" + strconv.Itoa(i)
		m.Put(keys[i], i)
	}
	var wait sync.WaitGroup
	startedAt := time.Now()
	for t := range threads {
		wait.Go(func() {
			for i := range shardLookups {
				m.Get(keys[(i*7+t*131)%shardKeys])
			}
		})
	}
	wait.Wait()
	return float64(time.Since(startedAt).Nanoseconds()) / shardLookups
}
