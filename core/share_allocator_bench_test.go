package core_test

import (
	"fmt"
	"testing"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// BenchmarkShareOfAColdEndpoint computes the share of one box among 300 others, as happens
// for each of a thousand cold endpoints when a zone comes back.
func BenchmarkShareOfAColdEndpoint(b *testing.B) {
	begin := time.Unix(1000, 0)
	allocator := core.NewShareAllocator(begin, "box-0", core.DefaultShareRules())
	var others []core.Peer
	for i := range 300 {
		others = append(others, core.Peer{Box: fmt.Sprintf("box-%d", i+1)})
	}
	now := begin.Add(time.Minute)
	allocator.Observe(now, others)
	for i := 0; b.Loop(); i++ {
		allocator.Share(now, fmt.Sprintf("e-%d", i%1000), 34)
	}
}
