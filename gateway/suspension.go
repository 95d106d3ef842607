package gateway

import "time"

// Suspended takes that the machine was suspended for a time.
func (g *Gateway) Suspended(d time.Duration) {
}
