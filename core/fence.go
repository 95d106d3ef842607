package core

import (
	"cmp"
	"time"
)

// Fence is a fencing token of the orders that an owner sends to an endpoint. An
// endpoint that checks it refuses orders with a lower token than the highest it
// has seen.
type Fence struct {
	Config      uint64      `json:"config"`      // version of the owner's configuration
	List        uint64      `json:"list"`        // version of the owner's box list
	Incarnation Incarnation `json:"incarnation"` // process of the owner
}

// Compare orders two tokens by list version, configuration version and incarnation.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(
		cmp.Compare(f.List, other.List),
		cmp.Compare(f.Config, other.Config),
		cmp.Compare(f.Incarnation, other.Incarnation),
	)
}

// FenceCheck is the check of fencing tokens in an endpoint or its stand-in.
type FenceCheck struct {
	Highest Fence
	guards  Guards
}

// NewFenceCheck returns a check that has seen no order.
func NewFenceCheck(options ...Option) *FenceCheck {
	return &FenceCheck{guards: newGuards(options)}
}

// Admit reports whether an order with the given token is accepted.
func (c *FenceCheck) Admit(f Fence) bool {
	if f.Compare(c.Highest) < 0 && c.guards.enabled(GuardFence) {
		return false
	}
	if f.Compare(c.Highest) > 0 {
		c.Highest = f
	}
	return true
}

// OrderRules limit the orders to endpoints that don't check fencing tokens.
type OrderRules struct {
	Fresh time.Duration // maximum age of the box list's confirmation
}

// OrderPermission decides when a box may send orders to one endpoint as its owner.
type OrderPermission struct {
	takenAt     time.Time // start of the ownership; zero if there was no owner before
	isOwner     bool
	confirmedAt time.Time // last confirmation of the box list
	rules       OrderRules
	guards      Guards
}

// NewOrderPermission returns the permission of a box that isn't the owner.
func NewOrderPermission(rules OrderRules, options ...Option) *OrderPermission {
	return &OrderPermission{
		rules:  rules,
		guards: newGuards(options),
	}
}

// Step applies an event.
func (o *OrderPermission) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HoldTaken:
		if !o.isOwner {
			o.takenAt = now
		}
		if e.Fresh {
			o.takenAt = time.Time{}
		}
		o.isOwner = true
	case HoldLost:
		o.isOwner = false
	case ListConfirmed:
		o.confirmedAt = e.At
	}
	return nil
}

// Permitted reports whether an order may be sent now. If the endpoint doesn't check
// fencing tokens (checksFences), an owner whose list was not confirmed recently must not
// send, and a new owner waits until the previous one has stopped for that reason.
func (o *OrderPermission) Permitted(now time.Time, checksFences bool) bool {
	if !o.isOwner {
		return false
	}
	if checksFences {
		return true
	}
	if now.Sub(o.confirmedAt) > o.rules.Fresh {
		return false
	}
	return !o.guards.enabled(GuardFenceWait) || now.Sub(o.takenAt) > 2*o.rules.Fresh
}
