package core

// Guard names a safety check of the protocol. Tests disable single guards to
// verify that the model checker finds the resulting fault; production code never
// disables any.
type Guard string

// The guards and the property that each one ensures.
const (
	GuardOffset         Guard = "offset"         // tokens are forwarded once and in order
	GuardOrigin         Guard = "origin"         // a stream has tokens of one generation only
	GuardNoSplice       Guard = "no-splice"      // no restart after the first token
	GuardCompleteAnswer Guard = "whole-answer"   // a truncated response doesn't look complete
	GuardBytesSent      Guard = "bytes-left"     // "not run" only if no byte was sent
	GuardClaimRecord    Guard = "claim-record"   // a key is granted once
	GuardClaimTakeover  Guard = "claim-takeover" // a new claim owner waits for the previous ones
	GuardClaimFresh     Guard = "claim-fresh"    // a claim owner with an outdated list stops granting
	GuardClaimRestart   Guard = "claim-restart"  // a restarted claim owner treats its records as lost
	GuardLeaseExpiry    Guard = "lease-expiry"   // no send with an expired lease
	GuardLeaseLeaving   Guard = "lease-leaving"  // no leases for an endpoint that is leaving
	GuardLeasePause     Guard = "lease-pause"    // after a pause, the list is confirmed before granting
	GuardLeaseTakeover  Guard = "lease-takeover" // a new owner waits for the previous one's leases to expire
	GuardVersionOrder   Guard = "version-order"  // no change to an older configuration
	GuardVersionQuery   Guard = "version-ask"    // a starting box queries its peers
	GuardDrain          Guard = "drain"          // a planned stop waits for open streams
	GuardFence          Guard = "fence"          // an order with a lower fencing token is refused
	GuardFenceWait      Guard = "fence-wait"     // a new owner waits before it sends orders
	GuardCallOnce       Guard = "call-once"      // a request that may have run isn't sent again
	GuardCallOutcome    Guard = "call-outcome"   // "not run" only if no send may have run
	GuardCallPartial    Guard = "call-part"      // no second response after a part of one
)

// Guards holds the guards that are disabled; in production it is empty.
type Guards struct {
	off map[Guard]bool
}

func (g Guards) enabled(guard Guard) bool { return !g.off[guard] }

// Option configures a new aggregate.
type Option func(*Guards)

// WithoutGuard disables one guard, for tests of the model.
func WithoutGuard(guard Guard) Option {
	return func(g *Guards) {
		if g.off == nil {
			g.off = make(map[Guard]bool)
		}
		g.off[guard] = true
	}
}

func newGuards(options []Option) Guards {
	var g Guards
	for _, o := range options {
		o(&g)
	}
	return g
}
