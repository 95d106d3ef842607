package model

import (
	"fmt"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// addRequestSteps adds the steps of a request and the faults on its way.
func (s *claimState) addRequestSteps(i int, add claimAdder) {
	r := &s.requests[i]
	b := &s.boxes[r.box]
	if b.owner == nil || b.paused {
		return
	}
	prefix := fmt.Sprintf("request %d at %s", i, boxNames[r.box])
	switch r.state {
	case requestIdle:
		add(prefix+" asks the key's owner", func(n *claimState) { n.ask(i) })
		if s.faults > 0 && s.reachable(r.box, s.ownerOf(i)) {
			s.addAskFaults(i, prefix, add)
		}
	case requestAsking:
		add(prefix+" times out and reports not-run", func(n *claimState) { n.requests[i].state = requestNotRun })
	case requestGranted:
		add(prefix+" is sent", func(n *claimState) { n.send(i, true) })
		if s.faults > 0 {
			add("fault: "+prefix+" is sent and its outcome never reaches the owner", func(n *claimState) {
				n.faults--
				n.send(i, false)
			})
		}
	}
}

// addAskFaults adds the faults of a query to the owner and of its answer.
func (s *claimState) addAskFaults(i int, prefix string, add claimAdder) {
	fault := func(label string, delayQuery, delayAnswer, twice bool) {
		add("fault: "+prefix+" asks and "+label, func(n *claimState) {
			n.faults--
			n.askWithFault(i, delayQuery, delayAnswer, twice)
		})
	}
	fault("the query is delayed", true, false, false)
	fault("the answer is delayed", false, true, false)
	fault("the query arrives twice, once delayed", false, false, true)
}

// ownerOf returns the box that owns a request's key, according to its entry's list.
func (s *claimState) ownerOf(i int) int {
	r := &s.requests[i]
	list := s.lists[s.boxes[r.box].list]
	return slices.Index(boxNames[:], list.ClaimOwner(core.ClaimScope(r.key), nil))
}

// newQuery returns the query that a request's entry sends to the key's owner.
func (s *claimState) newQuery(i int) claimMessage {
	r := &s.requests[i]
	b := &s.boxes[r.box]
	owner := s.ownerOf(i)
	r.state = requestAsking
	r.askedAt = s.now
	if key := s.keyOf(i); s.firstUsed[key] < 0 {
		s.firstUsed[key] = s.now
	}
	return claimMessage{
		kind:             messageAsk,
		request:          i,
		owner:            owner,
		list:             s.lists[b.list].Version,
		knownIncarnation: b.knownIncarnation[owner],
	}
}

// ask queries the owner and handles its answer. If the owner is unreachable, the
// caller gets not-run.
func (s *claimState) ask(i int) {
	m := s.newQuery(i)
	if !s.reachable(s.requests[i].box, m.owner) {
		s.requests[i].state = requestNotRun
		return
	}
	s.handleAnswer(s.answerAsk(m))
}

// askWithFault queries the owner, with the query or its answer delayed, or with the
// query delivered a second time later.
func (s *claimState) askWithFault(i int, delayQuery, delayAnswer, twice bool) {
	m := s.newQuery(i)
	if delayQuery || twice {
		s.inFlight = append(slices.Clone(s.inFlight), m)
	}
	if delayQuery {
		return
	}
	answer := s.answerAsk(m)
	if delayAnswer {
		s.inFlight = append(slices.Clone(s.inFlight), answer)
		return
	}
	s.handleAnswer(answer)
}

// send runs the request if the grant is still valid. The owner is informed of the
// outcome if settle is true and it can be reached.
func (s *claimState) send(i int, settle bool) {
	r := &s.requests[i]
	if s.now >= r.grantedUntil {
		r.state = requestNotRun
		return
	}
	r.state = requestSent
	r.ran = true
	s.effects[s.keyOf(i)]++
	owner := s.ownerOf(i)
	if !settle || !s.reachable(r.box, owner) {
		return
	}
	s.boxes[owner].owner.Step(at(s.now), core.ClaimSettled{
		Key:     r.key,
		Attempt: r.attempt(i),
		Outcome: core.Ran,
	})
}

func (s *claimState) keyOf(i int) int { return i % s.rules.Keys }

// addMessageSteps adds the arrival of a delayed message.
func (s *claimState) addMessageSteps(m int, add claimAdder) {
	message := s.inFlight[m]
	if !s.reachable(s.requests[message.request].box, message.owner) {
		return
	}
	label := fmt.Sprintf("%s of request %d arrives", message.kind, message.request)
	if message.kind != messageAnswer {
		label += " at " + boxNames[message.owner]
	}
	add("delayed "+label, func(n *claimState) { n.deliverMessage(m) })
}

func (s *claimState) deliverMessage(m int) {
	message := s.inFlight[m]
	s.inFlight = slices.Delete(slices.Clone(s.inFlight), m, m+1)
	if message.kind == messageAsk {
		message = s.answerAsk(message)
	}
	s.handleAnswer(message)
}

// answerAsk returns the owner's answer to a query.
func (s *claimState) answerAsk(m claimMessage) claimMessage {
	r := &s.requests[m.request]
	asker := &s.boxes[r.box]
	answer := m
	answer.kind = messageAnswer
	for _, command := range s.boxes[m.owner].owner.Step(at(s.now), core.ClaimAsked{
		Key:     r.key,
		Attempt: r.attempt(m.request),
		Asker: core.Box{
			Name:        boxNames[r.box],
			Incarnation: asker.incarnation,
		},
		ListVersion: m.list,
		HomeKnown:   m.knownIncarnation,
		Timed:       s.rules.Timed,
		KeyAge:      time.Duration(s.now-s.firstUsed[s.keyOf(m.request)]) * timeStep,
	}) {
		if a, ok := command.(core.ClaimAnswered); ok {
			answer.verdict = a.Verdict
			answer.ownerIncarnation = a.ClaimOwner.Incarnation
		}
	}
	return answer
}

// handleAnswer changes a request's state according to the owner's verdict.
func (s *claimState) handleAnswer(m claimMessage) {
	r := &s.requests[m.request]
	b := &s.boxes[r.box]
	b.knownIncarnation[m.owner] = max(b.knownIncarnation[m.owner], m.ownerIncarnation)
	if r.state != requestAsking {
		return
	}
	switch m.verdict {
	case core.VerdictGranted:
		r.state = requestGranted
		r.grantedUntil = r.askedAt + int(claimTimes().GrantTTL/timeStep)
	case core.VerdictNotOwner, core.VerdictNotYet:
		r.state = requestNotRun
	default:
		r.state = requestUnknown
	}
}
