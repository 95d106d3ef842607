package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// FenceRules are the bounds of the specification of fenced orders.
type FenceRules struct {
	Checks  bool // the endpoint checks fences
	Faults  int
	Time    int
	Options []core.Option
}

// fenceFresh is how old a reading may be for orders to an endpoint that doesn't
// check.
const fenceFresh = 1

type fenceOwner struct {
	orders *core.OrderPermission
	list   int
	cut    bool
	paused bool
}

type fenceState struct {
	rules     *FenceRules
	now       int
	faults    int
	published int
	owners    [2]fenceOwner
	held      []core.Fence // orders on their way, late
	gate      *core.FenceCheck
	applied   core.Fence
	older     bool
}

// Fences gives the first state of the specification of fenced orders: an owner
// before a list change, the one after it, and an endpoint.
func Fences(rules FenceRules) State {
	s := &fenceState{
		rules:     &rules,
		faults:    rules.Faults,
		published: 1,
		gate:      core.NewFenceCheck(rules.Options...),
	}
	if !rules.Checks {
		s.gate = core.NewFenceCheck(core.WithoutGuard(core.GuardFence))
	}
	for i := range s.owners {
		s.owners[i] = fenceOwner{
			orders: core.NewOrderPermission(core.OrderRules{Fresh: fenceFresh * unit}, rules.Options...),
			list:   1,
		}
		s.owners[i].orders.Step(at(0), core.ListConfirmed{At: at(0)})
	}
	s.owners[0].orders.Step(at(0), core.HoldTaken{Fresh: true})
	return s
}

func (s *fenceState) clone() *fenceState {
	copied := *s
	copied.gate = s.gate.Clone()
	copied.held = append([]core.Fence(nil), s.held...)
	for i := range copied.owners {
		copied.owners[i].orders = s.owners[i].orders.Clone()
	}
	return &copied
}

// Key writes what decides the later states.
func (s *fenceState) Key() string {
	b := fmt.Appendf(nil, "%d;%d;%d;%v;%v;%v;%v;", s.now, s.faults, s.published, s.held, s.gate.Highest, s.applied, s.older)
	for i := range s.owners {
		o := &s.owners[i]
		b = fmt.Appendf(b, "%d,%v,%v;", o.list, o.cut, o.paused)
		b = o.orders.Fingerprint(b, at(s.now))
	}
	return string(b)
}

// Next gives every step of the platform, owners, time and faults.
func (s *fenceState) Next() []Transition {
	return collect(s, s.steps)
}

// steps adds each of them.
func (s *fenceState) steps(add func(string, func(*fenceState))) {
	if s.published == 1 {
		add("the platform publishes list 2", func(n *fenceState) { n.published = 2 })
	}
	for i := range s.owners {
		s.nextOwner(i, add)
	}
	for h := range s.held {
		add("a late order arrives", func(n *fenceState) { n.arriveHeld(h) })
	}
	if s.now < s.rules.Time {
		add("time passes", func(n *fenceState) { n.tick() })
	}
}

func (s *fenceState) nextOwner(i int, add func(string, func(*fenceState))) {
	o := &s.owners[i]
	if o.paused {
		add(boxNames[i]+" wakes", func(n *fenceState) { n.owners[i].paused = false })
		return
	}
	if !o.cut && o.list < s.published {
		add(boxNames[i]+" adopts list 2", func(n *fenceState) { n.adopt(i) })
	}
	if o.orders.Permitted(at(s.now), s.rules.Checks) {
		add(boxNames[i]+" sends an order", func(n *fenceState) { n.arrive(n.fence(i)) })
		if s.faults > 0 && s.rules.Checks {
			add("fault: "+boxNames[i]+" sends an order that is late", func(n *fenceState) {
				n.faults--
				n.held = append(n.held, n.fence(i))
			})
		}
	}
	if s.faults == 0 {
		return
	}
	if !o.cut {
		add("fault: "+boxNames[i]+" is cut off from the platform", func(n *fenceState) {
			n.faults--
			n.owners[i].cut = true
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

func (s *fenceState) arriveHeld(h int) {
	f := s.held[h]
	s.held = append(s.held[:h:h], s.held[h+1:]...)
	s.arrive(f)
}

func (s *fenceState) arrive(f core.Fence) {
	if !s.gate.Admit(f) {
		return
	}
	s.older = s.older || f.Compare(s.applied) < 0
	s.applied = f
}

func (s *fenceState) tick() {
	s.now++
	for i := range s.owners {
		o := &s.owners[i]
		if !o.cut && !o.paused && o.list == s.published {
			o.orders.Step(at(s.now), core.ListConfirmed{At: at(s.now)})
		}
	}
}

// Broken checks what fences promise.
func (s *fenceState) Broken() (string, bool) {
	return "an older owner's order was applied after a newer owner's", s.older
}
