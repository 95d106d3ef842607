package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// FenceRules are the bounds of the specification of fenced orders. A fence is the
// version that an owner attaches to its orders to an endpoint, so that the endpoint can
// reject those of an earlier owner.
type FenceRules struct {
	EndpointChecks bool // the endpoint rejects orders with a fence older than the highest it has seen
	Faults         int
	Time           int
	Options        []core.Option
}

// maxListAge is the maximum age in time steps of an owner's list snapshot at which
// it may send orders to an endpoint that doesn't check fences.
const maxListAge = 1

// fenceOwner is a box that sends orders while it is permitted to.
type fenceOwner struct {
	orders   *core.OrderPermission
	list     int
	isCutOff bool
	paused   bool
}

// fenceState holds the owners, the orders in flight, and the endpoint's fence check.
type fenceState struct {
	rules        *FenceRules
	now          int
	faults       int
	published    int
	owners       [2]fenceOwner
	delayed      []core.Fence // fences of orders that are delayed on their way
	fenceCheck   *core.FenceCheck
	applied      core.Fence
	appliedOlder bool
}

// Fences returns the first state of the specification of fenced orders: the owner
// before a list change, the owner after it, and an endpoint.
func Fences(rules FenceRules) State {
	s := &fenceState{
		rules:      &rules,
		faults:     rules.Faults,
		published:  1,
		fenceCheck: core.NewFenceCheck(rules.Options...),
	}
	if !rules.EndpointChecks {
		s.fenceCheck = core.NewFenceCheck(core.WithoutGuard(core.GuardFence))
	}
	for i := range s.owners {
		s.owners[i] = fenceOwner{
			orders: core.NewOrderPermission(core.OrderRules{Fresh: maxListAge * timeStep}, rules.Options...),
			list:   1,
		}
		s.owners[i].orders.Step(at(0), core.ListConfirmed{At: at(0)})
	}
	s.owners[0].orders.Step(at(0), core.HoldTaken{Fresh: true})
	return s
}

func (s *fenceState) clone() *fenceState {
	copied := *s
	copied.fenceCheck = s.fenceCheck.Clone()
	copied.delayed = append([]core.Fence(nil), s.delayed...)
	for i := range copied.owners {
		copied.owners[i].orders = s.owners[i].orders.Clone()
	}
	return &copied
}

// Key encodes everything that the later states depend on.
func (s *fenceState) Key() string {
	b := fmt.Appendf(nil, "%d;%d;%d;%v;%v;%v;%v;", s.now, s.faults, s.published, s.delayed, s.fenceCheck.Highest, s.applied, s.appliedOlder)
	for i := range s.owners {
		o := &s.owners[i]
		b = fmt.Appendf(b, "%d,%v,%v;", o.list, o.isCutOff, o.paused)
		b = o.orders.Fingerprint(b, at(s.now))
	}
	return string(b)
}

// Next returns the steps of the platform, owners, time and faults.
func (s *fenceState) Next() []Transition {
	return collectTransitions(s, s.addSteps)
}

func (s *fenceState) addSteps(add func(string, func(*fenceState))) {
	if s.published == 1 {
		add("the platform publishes list 2", func(n *fenceState) { n.published = 2 })
	}
	for i := range s.owners {
		s.addOwnerSteps(i, add)
	}
	for h := range s.delayed {
		add("a delayed order arrives", func(n *fenceState) { n.deliverDelayed(h) })
	}
	if s.now < s.rules.Time {
		add("time passes", func(n *fenceState) { n.tick() })
	}
}

func (s *fenceState) addOwnerSteps(i int, add func(string, func(*fenceState))) {
	o := &s.owners[i]
	if o.paused {
		add(boxNames[i]+" resumes", func(n *fenceState) { n.owners[i].paused = false })
		return
	}
	if !o.isCutOff && o.list < s.published {
		add(boxNames[i]+" adopts list 2", func(n *fenceState) { n.adopt(i) })
	}
	if o.orders.Permitted(at(s.now), s.rules.EndpointChecks) {
		add(boxNames[i]+" sends an order", func(n *fenceState) { n.deliver(n.fence(i)) })
		if s.faults > 0 && s.rules.EndpointChecks {
			add("fault: "+boxNames[i]+" sends an order that is delayed", func(n *fenceState) {
				n.faults--
				n.delayed = append(n.delayed, n.fence(i))
			})
		}
	}
	if s.faults == 0 {
		return
	}
	if !o.isCutOff {
		add("fault: "+boxNames[i]+" is cut off from the platform", func(n *fenceState) {
			n.faults--
			n.owners[i].isCutOff = true
		})
	}
	add("fault: "+boxNames[i]+" is paused", func(n *fenceState) {
		n.faults--
		n.owners[i].paused = true
	})
}

func (s *fenceState) fence(i int) core.Fence {
	return core.Fence{
		Config:      1,
		List:        uint64(s.owners[i].list),
		Incarnation: core.Incarnation(i + 1),
	}
}

// adopt adopts list 2, which moves ownership from the first owner to the second.
func (s *fenceState) adopt(i int) {
	o := &s.owners[i]
	o.list = 2
	o.orders.Step(at(s.now), core.ListConfirmed{At: at(s.now)})
	if i == 0 {
		o.orders.Step(at(s.now), core.HoldLost{})
		return
	}
	o.orders.Step(at(s.now), core.HoldTaken{})
}

func (s *fenceState) deliverDelayed(h int) {
	f := s.delayed[h]
	s.delayed = append(s.delayed[:h:h], s.delayed[h+1:]...)
	s.deliver(f)
}

// deliver passes an order to the endpoint, which applies it if its fence is admitted.
func (s *fenceState) deliver(f core.Fence) {
	if !s.fenceCheck.Admit(f) {
		return
	}
	s.appliedOlder = s.appliedOlder || f.Compare(s.applied) < 0
	s.applied = f
}

// tick advances time by one step and confirms the owners' lists where possible.
func (s *fenceState) tick() {
	s.now++
	for i := range s.owners {
		o := &s.owners[i]
		if !o.isCutOff && !o.paused && o.list == s.published {
			o.orders.Step(at(s.now), core.ListConfirmed{At: at(s.now)})
		}
	}
}

// FindViolation reports a broken promise about fences.
func (s *fenceState) FindViolation() (string, bool) {
	return "an older owner's order was applied after a newer owner's", s.appliedOlder
}
