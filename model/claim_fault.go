package model

import (
	"fmt"

	"dillsaddle.example/dillsaddle/core"
)

// addPlatformSteps adds the steps of the platform and of time.
func (s *claimState) addPlatformSteps(add claimAdder) {
	if s.published+1 < len(s.lists) {
		add(fmt.Sprintf("the platform publishes list %d", s.published+2), func(n *claimState) { n.published++ })
	}
	for i := range s.boxes {
		b := &s.boxes[i]
		if i != boxThird && b.owner != nil && !b.paused && !b.isCutOff && b.list < s.published {
			add(fmt.Sprintf("%s adopts list %d", boxNames[i], b.list+2), func(n *claimState) { n.adopt(i, n.boxes[i].list+1) })
		}
		if b.owner == nil && b.incarnation == 0 && s.lists[s.published].Member(boxNames[i]) != nil {
			add(boxNames[i]+" starts", func(n *claimState) { n.startBox(i) })
		}
	}
	s.addStopSteps(add)
	if s.now < bootTime+1+s.rules.Time {
		add("time passes", func(n *claimState) { n.tick() })
	}
}

// tick advances time by one step. Boxes that reach the platform and have its newest
// list get the list confirmed, and every box requests its handovers.
func (s *claimState) tick() {
	s.now++
	for i := range s.boxes {
		b := &s.boxes[i]
		if b.owner == nil || b.paused || b.isCutOff {
			continue
		}
		if i == boxThird && b.list < s.published {
			s.adopt(i, b.list+1)
		}
		if b.list != s.published {
			continue
		}
		b.owner.Step(at(s.now), core.ListConfirmed{
			Version: s.lists[b.list].Version,
			At:      at(s.now),
		})
	}
	s.requestHandovers()
}

// addFaults adds the faults of boxes. A box that is cut off or paused recovers, and
// a crashed process restarts, without using up another fault.
func (s *claimState) addFaults(add claimAdder) {
	fault := func(label string, change func(*claimState)) {
		add("fault: "+label, func(n *claimState) {
			n.faults--
			change(n)
		})
	}
	for i := range s.boxes {
		b := &s.boxes[i]
		if b.owner != nil && i != boxThird {
			fault(boxNames[i]+" crashes and restarts with empty memory", func(n *claimState) { n.startBox(i) })
		}
		if b.owner != nil && i == boxOwner {
			fault(boxNames[i]+" crashes and stays down", func(n *claimState) { n.boxes[i].owner = nil })
		}
		if b.owner != nil && !b.paused && i != boxThird {
			fault(boxNames[i]+" is paused", func(n *claimState) { n.boxes[i].paused = true })
		}
		if b.owner != nil && !b.isCutOff {
			fault(boxNames[i]+" is cut off", func(n *claimState) { n.boxes[i].isCutOff = true })
		}
	}
}

// addRecoverySteps adds the ends of pauses and cuts.
func (s *claimState) addRecoverySteps(add claimAdder) {
	for i := range s.boxes {
		if s.boxes[i].paused {
			add(boxNames[i]+" resumes", func(n *claimState) { n.boxes[i].paused = false })
		}
		if s.boxes[i].isCutOff {
			add(boxNames[i]+" is reachable again", func(n *claimState) { n.boxes[i].isCutOff = false })
		}
	}
}

// addStopSteps adds the steps of a planned stop of the owner: it hands over its
// records, and exits when no granted claim is open.
func (s *claimState) addStopSteps(add claimAdder) {
	b := &s.boxes[boxOwner]
	if s.rules.Scenario != OwnerStops || b.owner == nil || b.paused {
		return
	}
	if !b.stopping {
		add(boxNames[boxOwner]+" begins a planned stop", func(n *claimState) {
			n.boxes[boxOwner].stopping = true
			n.retire()
		})
		return
	}
	if b.owner.Open() == 0 {
		add(boxNames[boxOwner]+" hands over once more and exits", func(n *claimState) {
			n.retire()
			n.boxes[boxOwner].owner = nil
		})
	}
}

// retire makes the owner hand over all its claims to the successors that it reaches.
func (s *claimState) retire() {
	for _, command := range s.boxes[boxOwner].owner.Step(at(s.now), core.Retire{}) {
		sent, ok := command.(core.HandoverSent)
		if !ok {
			continue
		}
		for i := range boxNames {
			if boxNames[i] == sent.Handover.To && s.reachable(boxOwner, i) {
				s.boxes[i].owner.Step(at(s.now), core.HandoverArrived{Handover: sent.Handover})
			}
		}
	}
}
