package entry

import (
	"sync"
	"time"
)

// Limits on lease messages. They leave room for heartbeats, lists and configurations within
// the 23 KB/s that a box may use for control messages.
const (
	leaseBytesPerSecond = 14 << 10
	maxLeaseBytes       = 28 << 10
	demandBytes         = 170 // approximate encoded size of a demand and its grant
)

// leaseByteBudget limits the bytes of lease messages that are sent before a lease is due.
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
