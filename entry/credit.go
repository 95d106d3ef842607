package entry

import (
	"sync"
	"time"
)

// The bytes that lease messages may take: of a box's 23 KB a second for control,
// what heartbeats, lists and configurations leave with a margin.
const (
	creditPerSecond = 14 << 10
	creditMost      = 28 << 10
	wishBytes       = 170 // a wish and its grant, by measurement
)

// credit bounds the bytes of lease messages beyond those that are due.
type credit struct {
	mu    sync.Mutex
	bytes float64
	at    time.Time
}

func (c *credit) allows(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		c.bytes = creditMost
	} else {
		c.bytes = min(creditMost, c.bytes+creditPerSecond*now.Sub(c.at).Seconds())
	}
	c.at = now
	return c.bytes > 0
}

func (c *credit) spend(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes -= float64(bytes)
}
