package model

import (
	"fmt"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

func (s *claimState) nextRequest(i int, add claimAdder) {
	r := &s.requests[i]
	b := &s.boxes[r.box]
	if b.home == nil || b.paused {
		return
	}
	who := fmt.Sprintf("request %d at %s", i, boxNames[r.box])
	switch r.state {
	case requestIdle:
		add(who+" asks the key's home", func(n *claimState) { n.ask(i) })
		if s.faults > 0 && s.reachable(r.box, s.homeOf(i)) {
			s.nextAskFaults(i, who, add)
		}
	case requestAsking:
		add(who+" gives up waiting and tells not-run", func(n *claimState) { n.requests[i].state = requestNotRun })
	case requestGranted:
		add(who+" is sent", func(n *claimState) { n.send(i, true) })
		if s.faults > 0 {
			add("fault: "+who+" is sent and the home never hears how it ended", func(n *claimState) {
				n.faults--
				n.send(i, false)
			})
		}
	}
}

// nextAskFaults gives what can go wrong with a question and its answer.
func (s *claimState) nextAskFaults(i int, who string, add claimAdder) {
	fault := func(label string, question, answer, twice bool) {
		add("fault: "+who+" asks and "+label, func(n *claimState) {
			n.faults--
			n.askFaulty(i, question, answer, twice)
		})
	}
	fault("the question is late", true, false, false)
	fault("the answer is late", false, true, false)
	fault("the question comes twice, once late", false, false, true)
}

func (s *claimState) homeOf(i int) int {
	r := &s.requests[i]
	list := s.lists[s.boxes[r.box].list]
	return slices.Index(boxNames[:], list.ClaimOwner(core.ClaimScope(r.key), nil))
}

func (s *claimState) question(i int) claimMessage {
	r := &s.requests[i]
	b := &s.boxes[r.box]
	home := s.homeOf(i)
	r.state = requestAsking
	r.asked = s.now
	if key := s.keyOf(i); s.made[key] < 0 {
		s.made[key] = s.now
	}
	return claimMessage{
		kind:    messageAsk,
		request: i,
		home:    home,
		list:    s.lists[b.list].Version,
		known:   b.known[home],
	}
}

// ask asks the home and takes its answer; without a home to reach, the caller
// is told that the request was not run.
func (s *claimState) ask(i int) {
	m := s.question(i)
	if !s.reachable(s.requests[i].box, m.home) {
		s.requests[i].state = requestNotRun
		return
	}
	s.arriveAnswer(s.arriveAsk(m))
}

func (s *claimState) askFaulty(i int, lateQuestion, lateAnswer, twice bool) {
	m := s.question(i)
	if lateQuestion || twice {
		s.net = append(slices.Clone(s.net), m)
	}
	if lateQuestion {
		return
	}
	answer := s.arriveAsk(m)
	if lateAnswer {
		s.net = append(slices.Clone(s.net), answer)
		return
	}
	s.arriveAnswer(answer)
}

// send writes the request, if the grant is still good; the service acts, and
// the home is told unless the word is lost.
func (s *claimState) send(i int, settle bool) {
	r := &s.requests[i]
	if s.now >= r.until {
		r.state = requestNotRun
		return
	}
	r.state = requestSent
	r.ran = true
	s.effects[s.keyOf(i)]++
	home := s.homeOf(i)
	if !settle || !s.reachable(r.box, home) {
		return
	}
	s.boxes[home].home.Step(at(s.now), core.ClaimSettled{
		Key:     r.key,
		Attempt: r.attempt(i),
		Outcome: core.Ran,
	})
}

func (s *claimState) keyOf(i int) int { return i % s.rules.Keys }

func (s *claimState) nextMessage(m int, add claimAdder) {
	message := s.net[m]
	if !s.reachable(s.requests[message.request].box, message.home) {
		return
	}
	label := fmt.Sprintf("%s of request %d arrives", message.kind, message.request)
	if message.kind != messageAnswer {
		label += " at " + boxNames[message.home]
	}
	add("late "+label, func(n *claimState) { n.deliver(m) })
}

func (s *claimState) deliver(m int) {
	message := s.net[m]
	s.net = slices.Delete(slices.Clone(s.net), m, m+1)
	if message.kind == messageAsk {
		message = s.arriveAsk(message)
	}
	s.arriveAnswer(message)
}

// arriveAsk gives the home's answer to a question.
func (s *claimState) arriveAsk(m claimMessage) claimMessage {
	r := &s.requests[m.request]
	asker := &s.boxes[r.box]
	answer := m
	answer.kind = messageAnswer
	for _, command := range s.boxes[m.home].home.Step(at(s.now), core.ClaimAsked{
		Key:     r.key,
		Attempt: r.attempt(m.request),
		Asker: core.Box{
			Name:        boxNames[r.box],
			Incarnation: asker.incarnation,
		},
		ListVersion: m.list,
		HomeKnown:   m.known,
		Timed:       s.rules.Timed,
		KeyAge:      time.Duration(s.now-s.made[s.keyOf(m.request)]) * unit,
	}) {
		if a, ok := command.(core.ClaimAnswered); ok {
			answer.verdict = a.Verdict
			answer.life = a.ClaimOwner.Incarnation
		}
	}
	return answer
}

func (s *claimState) arriveAnswer(m claimMessage) {
	r := &s.requests[m.request]
	b := &s.boxes[r.box]
	b.known[m.home] = max(b.known[m.home], m.life)
	if r.state != requestAsking {
		return
	}
	switch m.verdict {
	case core.VerdictGranted:
		r.state = requestGranted
		r.until = r.asked + int(claimTimes().GrantTTL/unit)
	case core.VerdictNotOwner, core.VerdictNotYet:
		r.state = requestNotRun
	default:
		r.state = requestUnknown
	}
}
