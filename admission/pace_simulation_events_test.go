package admission_test

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/admission"
)

// event records an event of a run, and notifies the boxes as a gateway does.
func (s *paceSim) event(e *paceEngine, r *paceRun) {
	if r.lastAt == 0 {
		target := 1500 * time.Millisecond
		if r.prompt == 3080 {
			target = 4 * time.Second
		}
		r.late = s.now-r.sentAt > target
		r.lastAt = s.now
		r.box.ObservePrefill(r.queued, s.now-r.sentAt)
		r.exposed = r.box.PromptCount(e.ID)
		s.observeAnswer(e, r)
		return
	}
	gap := s.now - r.lastAt
	r.lastAt = s.now
	if r.prompt != 3080 {
		return
	}
	broke := !r.paused && gap > paceTarget
	r.paused = r.paused || gap > paceTarget
	if !r.isLong() {
		return
	}
	s.observeInterval(e, r, gap)
	r.intervals = append(r.intervals, gap)
	if len(r.intervals) == 15 {
		pace := slices.Sorted(slices.Values(r.intervals))[3]
		observe := func(b *admission.Balancer) { b.ObservePace(s.clock(), "", e.ID, pace) }
		observe(r.box)
		s.tell(r.box, observe)
	}
	if broke {
		s.result(e, r)
	}
}

// observeAnswer has the box see the slowdown in the head of an answer, which comes with the first
// event.
func (s *paceSim) observeAnswer(e *paceEngine, r *paceRun) {
	if !s.Spells {
		return
	}
	slowdown := 1.0
	if e.isSlow {
		slowdown = paceSpellFactor
	}
	if spell, began := r.box.ObserveSlowdown(s.clock(), e.ID, slowdown); began {
		s.tellSpell(e, r, spell)
	}
}

func (s *paceSim) observeInterval(e *paceEngine, r *paceRun, interval time.Duration) {
	if !s.Spells {
		return
	}
	if spell, began := r.box.ObserveInterval(s.clock(), "", e.ID, interval); began {
		s.tellSpell(e, r, spell)
	}
}

func (s *paceSim) tellSpell(e *paceEngine, r *paceRun, spell admission.SlowSpell) {
	s.spellsSeen++
	s.tell(r.box, func(b *admission.Balancer) { b.RecordSlowSpell(s.clock(), e.ID, spell.Rest) })
}

// result ends the observation of a stream.
func (s *paceSim) result(e *paceEngine, r *paceRun) {
	exposures, paused := max(r.box.PromptCount(e.ID)-r.exposed, 0), r.paused
	r.box.ObserveStream(s.clock(), "", e.ID, exposures, paused)
	r.box.EndStream(s.clock(), e.ID, r.prompt, false)
	s.tell(r.box, func(b *admission.Balancer) {
		b.ObserveStream(s.clock(), "", e.ID, exposures, paused)
		b.EndStream(s.clock(), e.ID, r.prompt, true)
	})
}

func (s *paceSim) end(e *paceEngine, r *paceRun) {
	if r.isLong() && !r.paused {
		s.result(e, r)
	}
	held := r.prompt + r.output
	r.box.EndSend(s.clock(), e.ID, simStart.Add(r.sentAt), r.req.Tokens)
	r.box.Succeeded(s.clock(), e.ID, r.lastAt-r.sentAt)
	r.box.ObserveLengths(r.prompt, r.output)
	r.box.RunEnded(s.clock(), e.ID, r.prompt, held)
	s.tell(r.box, func(b *admission.Balancer) { b.RunEnded(s.clock(), e.ID, r.prompt, held) })
	if s.now < paceWarmup {
		return
	}
	switch {
	case r.prompt != 3080:
		s.short.count(r)
	case s.FreshBoxAt > 0 && r.box == s.boxes[0] && r.sentAt > s.FreshBoxAt+paceLearning:
		s.fresh.count(r)
	default:
		s.long.count(r)
	}
}

func (c *paceResult) count(r *paceRun) {
	c.Streams++
	switch {
	case r.late:
		c.LateFirst++
	case r.paused:
		c.Paused++
	}
}
