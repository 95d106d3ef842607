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

// leaseByteBudget is a token bucket for the bytes of lease messages. All messages are charged,
// but only requests for leases that are not due yet are held back.
type leaseByteBudget struct {
	mu        sync.Mutex
	bytes     float64
	updatedAt time.Time
}

// isAvailable refills the bucket and reports whether it has any bytes.
func (b *leaseByteBudget) isAvailable(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.updatedAt.IsZero() {
		b.bytes = maxLeaseBytes
	} else {
		b.bytes = min(maxLeaseBytes, b.bytes+leaseBytesPerSecond*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	return b.bytes > 0
}

func (b *leaseByteBudget) charge(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= float64(bytes)
}
