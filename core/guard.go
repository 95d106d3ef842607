package core

// Guard names one rule that keeps a promise, so that a proof can switch it off
// and show that the break is found. Processes never switch one off.
type Guard string

// The guards, by the promise that each keeps.
const (
	GuardOffset         Guard = "offset"         // tokens once and in order
	GuardOrigin         Guard = "origin"         // tokens of one generation, none crossed
	GuardNoSplice       Guard = "no-splice"      // no restart after the first token
	GuardCompleteAnswer Guard = "whole-answer"   // a cut answer is not given as whole
	GuardBytesSent      Guard = "bytes-left"     // not-run only if no byte left
	GuardClaimRecord    Guard = "claim-record"   // a key is granted once
	GuardClaimTakeover  Guard = "claim-takeover" // a new home waits for the old
	GuardClaimFresh     Guard = "claim-fresh"    // a home with an old list stops
	GuardClaimRestart   Guard = "claim-restart"  // a restarted home knows nothing
	GuardLeaseExpiry    Guard = "lease-expiry"   // no send on an expired lease
	GuardLeaseLeaving   Guard = "lease-leaving"  // no renewal for the leaving
	GuardLeasePause     Guard = "lease-pause"    // who wakes from a pause asks first
	GuardLeaseTakeover  Guard = "lease-takeover" // a new owner waits out the old
	GuardVersionOrder   Guard = "version-order"  // never an older configuration
	GuardVersionQuery   Guard = "version-ask"    // a starting box asks its peers
	GuardDrain          Guard = "drain"          // a planned stop waits for streams
	GuardFence          Guard = "fence"          // an older order is refused
	GuardFenceWait      Guard = "fence-wait"     // a new owner waits before orders
	GuardCallOnce       Guard = "call-once"      // what may have run is not sent again
	GuardCallOutcome    Guard = "call-outcome"   // not-run only if no send may have run
	GuardCallPartial    Guard = "call-part"      // no other answer after a part of one
)

// Guards is the set of rules that are switched off, empty in production.
type Guards struct {
	off map[Guard]bool
}

func (g Guards) on(one Guard) bool { return !g.off[one] }

// Option changes how an aggregate is built.
type Option func(*Guards)

// WithoutGuard switches one rule off; only proofs use it.
func WithoutGuard(one Guard) Option {
	return func(g *Guards) {
		if g.off == nil {
			g.off = make(map[Guard]bool)
		}
		g.off[one] = true
	}
}

func newGuards(options []Option) Guards {
	var g Guards
	for _, o := range options {
		o(&g)
	}
	return g
}
