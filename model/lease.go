package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// LeaseRules are the bounds of the specification of leases. A lease is the right to
// use part of an endpoint's memory for a short time; the endpoint's owner grants it.
type LeaseRules struct {
	Faults  int
	Time    int
	Leaving bool // list 2 marks the endpoint as leaving; otherwise it changes the owner
	Options []core.Option
}

// leaseCapacity is how many tokens of one owner slot of an endpoint may be leased.
const leaseCapacity = 2

func leaseTimes() core.LeaseRules {
	return core.LeaseRules{
		TTL:   1 * timeStep,
		Fresh: 2 * timeStep,
	}
}

// leaseOwner is a box that owns the endpoint or still acts as its owner.
type leaseOwner struct {
	ownership  *core.Ownership
	list       int // the adopted version of the list
	isCutOff   bool
	paused     bool
	hasCrashed bool
	leaving    bool // its list marks the endpoint as leaving
}

// leaseState holds the owners before and after a list change, an entry that requests
// leases from both, and an endpoint.
type leaseState struct {
	rules        *LeaseRules
	now          int
	faults       int
	published    int
	leavingSince int // the step at which list 2 marked the endpoint as leaving, -1 if it hasn't
	owners       [2]leaseOwner
	leases       [2]core.Lease
	paused       bool // the entry is paused
	sentLate     bool // work was sent to the endpoint after maxLeavingDelay
}

// Leases returns the first state of the specification of leases.
func Leases(rules LeaseRules) State {
	s := &leaseState{
		rules:        &rules,
		faults:       rules.Faults,
		published:    1,
		leavingSince: -1,
	}
	for i := range s.owners {
		s.owners[i] = leaseOwner{
			ownership: core.NewOwnership("engine", leaseTimes(), rules.Options...),
			list:      1,
		}
		s.owners[i].ownership.Step(at(0), core.ListConfirmed{At: at(0)})
		s.owners[i].ownership.Step(at(0), core.HoldTicked{})
	}
	s.owners[0].ownership.Step(at(0), core.HoldTaken{Fresh: true})
	return s
}

func (s *leaseState) clone() *leaseState {
	copied := *s
	for i := range copied.owners {
		copied.owners[i].ownership = s.owners[i].ownership.Clone()
	}
	return &copied
}

// Key encodes everything that the later states depend on.
func (s *leaseState) Key() string {
	b := fmt.Appendf(nil, "%d;%d;%d;%d;%v;%v;", s.now, s.faults, s.published, s.leavingSince, s.paused, s.sentLate)
	for i := range s.owners {
		o := &s.owners[i]
		b = fmt.Appendf(b, "%d,%v,%v,%v,%v;", o.list, o.isCutOff, o.paused, o.hasCrashed, o.leaving)
		b = o.ownership.Fingerprint(b, at(s.now))
		b = fmt.Appendf(b, "%d,%d;", s.leases[i].Tokens, s.leases[i].Until.Unix())
	}
	return string(b)
}

// Next returns the steps of the platform, owners, the entry, time and faults.
func (s *leaseState) Next() []Transition {
	return collectTransitions(s, s.addSteps)
}

func (s *leaseState) addSteps(add func(string, func(*leaseState))) {
	if s.published == 1 {
		add("the platform publishes list 2", func(n *leaseState) { n.publish() })
	}
	for i := range s.owners {
		s.addOwnerSteps(i, add)
	}
	if !s.paused {
		add("the entry sends work on its leases", func(n *leaseState) { n.send() })
	}
	if s.now < s.rules.Time {
		add("time passes", func(n *leaseState) { n.tick() })
	}
	if s.paused {
		add("the entry resumes", func(n *leaseState) { n.paused = false })
	}
	if s.faults > 0 {
		s.addFaults(add)
	}
}

func (s *leaseState) publish() {
	s.published = 2
	if s.rules.Leaving {
		s.leavingSince = s.now
	}
}

func (s *leaseState) addOwnerSteps(i int, add func(string, func(*leaseState))) {
	o := &s.owners[i]
	name := boxNames[i]
	if o.paused {
		add(name+" resumes", func(n *leaseState) { n.owners[i].paused = false })
		return
	}
	if o.hasCrashed {
		return
	}
	if !o.isCutOff && o.list < s.published {
		add(name+" adopts list 2", func(n *leaseState) { n.adopt(i) })
	}
	if !s.paused {
		add("the entry asks "+name+" for a lease", func(n *leaseState) { n.ask(i) })
	}
	predecessorStopped := s.owners[0].list == 2 || s.owners[0].hasCrashed
	if i == 1 && o.list == 2 && !o.isCutOff && predecessorStopped && !s.rules.Leaving {
		add(name+" learns that the previous owner has stopped", func(n *leaseState) {
			n.owners[1].ownership.Step(at(n.now), core.PredecessorGone{})
		})
	}
}

// adopt adopts list 2, in which the owner changes or the endpoint is leaving.
func (s *leaseState) adopt(i int) {
	o := &s.owners[i]
	o.list = 2
	now := at(s.now)
	o.ownership.Step(now, core.ListConfirmed{At: now})
	if s.rules.Leaving {
		o.ownership.Step(now, core.EndpointLeaving{Leaving: true})
		return
	}
	if i == 0 {
		o.ownership.Step(now, core.HoldLost{})
		return
	}
	o.ownership.Step(now, core.HoldTaken{})
}

// ask requests a lease from an owner.
func (s *leaseState) ask(i int) {
	tokens, ttl := s.owners[i].ownership.Grantable(at(s.now), leaseCapacity)
	s.leases[i] = core.NewLease("engine", at(s.now), ttl, tokens, tokens, s.rules.Options...)
}

// maxLeavingDelay is how many time steps after list 2 was published a leaving
// endpoint may still get work: a running owner adopts the list within one step, an
// owner that was paused grants until its list snapshot expires after two, and the
// last lease expires one step later.
const maxLeavingDelay = 1 + 2 + 1

// send sends work on every valid lease.
func (s *leaseState) send() {
	for i := range s.leases {
		if !s.leases[i].Usable(at(s.now)) {
			continue
		}
		if s.leavingSince >= 0 && s.now > s.leavingSince+maxLeavingDelay {
			s.sentLate = true
		}
	}
}

// tick advances time by one step, in which a running owner that reaches the platform
// adopts its newest list.
func (s *leaseState) tick() {
	s.now++
	for i := range s.owners {
		o := &s.owners[i]
		if o.hasCrashed || o.paused {
			continue
		}
		o.ownership.Step(at(s.now), core.HoldTicked{})
		if o.isCutOff {
			continue
		}
		if o.list < s.published {
			s.adopt(i)
		}
		o.ownership.Step(at(s.now), core.ListConfirmed{At: at(s.now)})
	}
}

func (s *leaseState) addFaults(add func(string, func(*leaseState))) {
	fault := func(label string, change func(*leaseState)) {
		add("fault: "+label, func(n *leaseState) {
			n.faults--
			change(n)
		})
	}
	for i := range s.owners {
		o := &s.owners[i]
		if !o.paused && !o.hasCrashed {
			fault(boxNames[i]+" is paused", func(n *leaseState) { n.owners[i].paused = true })
		}
		if !o.isCutOff && !s.rules.Leaving {
			fault(boxNames[i]+" is cut off from the platform and its peers", func(n *leaseState) { n.owners[i].isCutOff = true })
		}
	}
	if !s.owners[0].hasCrashed {
		fault(boxNames[0]+" crashes", func(n *leaseState) { n.owners[0].hasCrashed = true })
	}
	if !s.paused {
		fault("the entry is paused", func(n *leaseState) { n.paused = true })
	}
}

// FindViolation reports a broken promise about leases.
func (s *leaseState) FindViolation() (string, bool) {
	if s.sentLate {
		return "an endpoint that was leaving got new work after the limit", true
	}
	sum := 0
	for i := range s.leases {
		if s.leases[i].Usable(at(s.now)) {
			sum += s.leases[i].Tokens
		}
	}
	if sum > leaseCapacity {
		return fmt.Sprintf("%d of %d tokens of an endpoint's memory are leased", sum, leaseCapacity), true
	}
	return "", false
}
