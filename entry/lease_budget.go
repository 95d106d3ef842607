package entry

import (
	"sync"
	"time"
)

// The bytes that lease messages may take: of a box's 23 KB a second for control,
// what heartbeats, lists and configurations leave with a margin.
const (
	leaseBytesPerSecond = 14 << 10
	maxLeaseBytes       = 28 << 10
	demandBytes         = 170 // a wish and its grant, by measurement
)

// leaseByteBudget bounds the bytes of lease messages beyond those that are due.
type leaseByteBudget struct {
	mu        sync.Mutex
	bytes     float64
	updatedAt time.Time
}

func (c *leaseByteBudget) isAvailable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.updatedAt.IsZero() {
		c.bytes = maxLeaseBytes
	} else {
		c.bytes = min(maxLeaseBytes, c.bytes+leaseBytesPerSecond*now.Sub(c.updatedAt).Seconds())
	}
	c.updatedAt = now
	return c.bytes > 0
}

func (c *leaseByteBudget) charge(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes -= float64(bytes)
}
