package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// LeaseRules are the bounds of the specification of leases.
type LeaseRules struct {
	Faults  int
	Time    int
	Leaving bool // the endpoint leaves, in place of a change of its owner
	Options []core.Option
}

// leaseCapacity is what may be leased of one half of an endpoint.
const leaseCapacity = 2

func leaseTimes() core.LeaseRules {
	return core.LeaseRules{
		TTL:   1 * unit,
		Fresh: 2 * unit,
	}
}

// leaseOwner is one box that is, or takes itself for, the owner.
type leaseOwner struct {
	hold    *core.Ownership
	list    int // version in use
	cut     bool
	paused  bool
	dead    bool
	leaving bool // what its list says of the endpoint
}

// leaseState is one state of two owners, before and after a list change, an
// entry that asks both, and an endpoint.
type leaseState struct {
	rules     *LeaseRules
	now       int
	faults    int
	published int
	leftAt    int // when the platform showed the endpoint as leaving, -1 before
	owners    [2]leaseOwner
	leases    [2]core.Lease
	paused    bool // the entry
	late      bool // work was sent to the endpoint too late
}

// Leases gives the first state of the specification of leases.
func Leases(rules LeaseRules) State {
	s := &leaseState{
		rules:     &rules,
		faults:    rules.Faults,
		published: 1,
		leftAt:    -1,
	}
	for i := range s.owners {
		s.owners[i] = leaseOwner{
			hold: core.NewOwnership("engine", leaseTimes(), rules.Options...),
			list: 1,
		}
		s.owners[i].hold.Step(at(0), core.ListConfirmed{At: at(0)})
		s.owners[i].hold.Step(at(0), core.HoldTicked{})
	}
	s.owners[0].hold.Step(at(0), core.HoldTaken{Fresh: true})
	return s
}

func (s *leaseState) clone() *leaseState {
	copied := *s
	for i := range copied.owners {
		copied.owners[i].hold = s.owners[i].hold.Clone()
	}
	return &copied
}

// Key writes what decides the later states.
func (s *leaseState) Key() string {
	b := fmt.Appendf(nil, "%d;%d;%d;%d;%v;%v;", s.now, s.faults, s.published, s.leftAt, s.paused, s.late)
	for i := range s.owners {
		o := &s.owners[i]
		b = fmt.Appendf(b, "%d,%v,%v,%v,%v;", o.list, o.cut, o.paused, o.dead, o.leaving)
		b = o.hold.Fingerprint(b, at(s.now))
		b = fmt.Appendf(b, "%d,%d;", s.leases[i].Tokens, s.leases[i].Until.Unix())
	}
	return string(b)
}

// Next gives every step of platform, owners, entry, time and faults.
func (s *leaseState) Next() []Transition {
	return collect(s, s.steps)
}

// steps adds each of them.
func (s *leaseState) steps(add func(string, func(*leaseState))) {
	if s.published == 1 {
		add("the platform publishes list 2", func(n *leaseState) { n.publish() })
	}
	for i := range s.owners {
		s.nextOwner(i, add)
	}
	if !s.paused {
		add("the entry sends work on its leases", func(n *leaseState) { n.send() })
	}
	if s.now < s.rules.Time {
		add("time passes", func(n *leaseState) { n.tick() })
	}
	if s.paused {
		add("the entry wakes", func(n *leaseState) { n.paused = false })
	}
	if s.faults > 0 {
		s.nextFault(add)
	}
}

func (s *leaseState) publish() {
	s.published = 2
	if s.rules.Leaving {
		s.leftAt = s.now
	}
}

func (s *leaseState) nextOwner(i int, add func(string, func(*leaseState))) {
	o := &s.owners[i]
	name := boxNames[i]
	if o.paused {
		add(name+" wakes", func(n *leaseState) { n.owners[i].paused = false })
		return
	}
	if o.dead {
		return
	}
	if !o.cut && o.list < s.published {
		add(name+" adopts list 2", func(n *leaseState) { n.adopt(i) })
	}
	if !s.paused {
		add("the entry asks "+name+" for a lease", func(n *leaseState) { n.ask(i) })
	}
	told := s.owners[0].list == 2 || s.owners[0].dead
	if i == 1 && o.list == 2 && !o.cut && told && !s.rules.Leaving {
		add(name+" learns that the owner before has stopped", func(n *leaseState) {
			n.owners[1].hold.Step(at(n.now), core.PredecessorGone{})
		})
	}
}

// adopt follows list 2: the owner changes, or the endpoint is leaving.
func (s *leaseState) adopt(i int) {
	o := &s.owners[i]
	o.list = 2
	now := at(s.now)
	o.hold.Step(now, core.ListConfirmed{At: now})
	if s.rules.Leaving {
		o.hold.Step(now, core.EndpointLeaving{Leaving: true})
		return
	}
	if i == 0 {
		o.hold.Step(now, core.HoldLost{})
		return
	}
	o.hold.Step(now, core.HoldTaken{})
}

func (s *leaseState) ask(i int) {
	tokens, ttl := s.owners[i].hold.Grantable(at(s.now), leaseCapacity)
	s.leases[i] = core.NewLease("engine", at(s.now), ttl, tokens, tokens, s.rules.Options...)
}

// leavingBound is how long after the platform showed it an endpoint that leaves
// may get work: an owner that runs follows within a step of time, one that was
// paused without notice within the time for which a reading is fresh, and the
// last lease ends after the time of a lease.
const leavingBound = 1 + 2 + 1

func (s *leaseState) send() {
	for i := range s.leases {
		if !s.leases[i].Usable(at(s.now)) {
			continue
		}
		if s.leftAt >= 0 && s.now > s.leftAt+leavingBound {
			s.late = true
		}
	}
}

// tick lets time pass: an owner that runs and reaches the platform follows its
// list at least once in a step of time.
func (s *leaseState) tick() {
	s.now++
	for i := range s.owners {
		o := &s.owners[i]
		if o.dead || o.paused {
			continue
		}
		o.hold.Step(at(s.now), core.HoldTicked{})
		if o.cut {
			continue
		}
		if o.list < s.published {
			s.adopt(i)
		}
		o.hold.Step(at(s.now), core.ListConfirmed{At: at(s.now)})
	}
}

func (s *leaseState) nextFault(add func(string, func(*leaseState))) {
	fault := func(label string, change func(*leaseState)) {
		add("fault: "+label, func(n *leaseState) {
			n.faults--
			change(n)
		})
	}
	for i := range s.owners {
		o := &s.owners[i]
		if !o.paused && !o.dead {
			fault(boxNames[i]+" is paused", func(n *leaseState) { n.owners[i].paused = true })
		}
		if !o.cut && !s.rules.Leaving {
			fault(boxNames[i]+" is cut off from the platform and its peers", func(n *leaseState) { n.owners[i].cut = true })
		}
	}
	if !s.owners[0].dead {
		fault(boxNames[0]+" dies", func(n *leaseState) { n.owners[0].dead = true })
	}
	if !s.paused {
		fault("the entry is paused", func(n *leaseState) { n.paused = true })
	}
}

// Broken checks what leases promise.
func (s *leaseState) Broken() (string, bool) {
	if s.late {
		return "an endpoint that was leaving got new work too late", true
	}
	sum := 0
	for i := range s.leases {
		if s.leases[i].Usable(at(s.now)) {
			sum += s.leases[i].Tokens
		}
	}
	if sum > leaseCapacity {
		return fmt.Sprintf("%d of %d units of an endpoint's memory are leased", sum, leaseCapacity), true
	}
	return "", false
}
