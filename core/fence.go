package core

import (
	"cmp"
	"time"
)

// Fence orders the orders to one endpoint: an endpoint that checks refuses
// every order with a lower fence than the highest it has seen.
type Fence struct {
	Config      uint64      `json:"config"`
	List        uint64      `json:"list"`
	Incarnation Incarnation `json:"incarnation"`
}

// Compare orders two fences by list, configuration and owner's life.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(
		cmp.Compare(f.List, other.List),
		cmp.Compare(f.Config, other.Config),
		cmp.Compare(f.Incarnation, other.Incarnation),
	)
}

// FenceCheck is the check that an endpoint or its stand-in makes.
type FenceCheck struct {
	Highest Fence
	guards  Guards
}

// NewFenceCheck starts with the lowest fence.
func NewFenceCheck(options ...Option) *FenceCheck {
	return &FenceCheck{guards: newGuards(options)}
}

// Admit reports whether an order with a fence is taken.
func (g *FenceCheck) Admit(f Fence) bool {
	if f.Compare(g.Highest) < 0 && g.guards.on(GuardFence) {
		return false
	}
	if f.Compare(g.Highest) > 0 {
		g.Highest = f
	}
	return true
}

// OrderRules bound when an owner may order endpoints that check no fence.
type OrderRules struct {
	Fresh time.Duration
}

// OrderPermission says when the owner of one endpoint may send it orders.
type OrderPermission struct {
	takenAt time.Time
	owner   bool
	reading time.Time
	rules   OrderRules
	guards  Guards
}

// NewOrderPermission starts as no owner.
func NewOrderPermission(rules OrderRules, options ...Option) *OrderPermission {
	return &OrderPermission{
		rules:  rules,
		guards: newGuards(options),
	}
}

// Step applies one event.
func (o *OrderPermission) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case HoldTaken:
		if !o.owner {
			o.takenAt = now
		}
		if e.Fresh {
			o.takenAt = time.Time{}
		}
		o.owner = true
	case HoldLost:
		o.owner = false
	case ListConfirmed:
		o.reading = e.At
	}
	return nil
}

// Permitted reports whether an order may be sent now. Towards an endpoint that
// doesn't check, an owner with an old reading stops, and a new owner waits
// until the old one has stopped.
func (o *OrderPermission) Permitted(now time.Time, checks bool) bool {
	if !o.owner {
		return false
	}
	if checks {
		return true
	}
	if now.Sub(o.reading) > o.rules.Fresh {
		return false
	}
	return !o.guards.on(GuardFenceWait) || now.Sub(o.takenAt) > 2*o.rules.Fresh
}
