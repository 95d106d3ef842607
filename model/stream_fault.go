package model

import (
	"fmt"
	"slices"
	"strconv"

	"dillsaddle.example/dillsaddle/core"
)

// nextFaults gives what can go wrong, each for one fault of the bound.
func (s *streamState) nextFaults(add adder) {
	fault := func(label string, change func(*streamState)) {
		add("fault: "+label, func(n *streamState) {
			n.faults--
			change(n)
		})
	}
	for e := range s.engines {
		fault(fmt.Sprintf("engine %d dies and restarts", e), func(n *streamState) { n.restart(e, false) })
		fault(fmt.Sprintf("engine %d restarts and uses its numbers again", e), func(n *streamState) { n.restart(e, true) })
	}
	if s.now == 0 {
		fault("time passes beyond the resume window", func(n *streamState) { n.now += streamWindow + 1 })
	}
	for i := range s.callers {
		if s.callers[i].gen.State != core.GenerationEnded {
			s.faultsOf(i, fault)
		}
	}
}

func (s *streamState) faultsOf(i int, fault adder) {
	c := &s.callers[i]
	who := "caller " + strconv.Itoa(i)
	if c.send != nil {
		fault(who+": the write breaks before the engine has all", func(n *streamState) { n.brokenWrite(i, false) })
		fault(who+": the write breaks after the engine has all", func(n *streamState) { n.brokenWrite(i, true) })
		fault(who+": the engine refuses", func(n *streamState) { n.refuse(i) })
	}
	if len(c.readers) > 0 {
		fault(who+": the link breaks", func(n *streamState) { n.cut(i) })
		fault(who+": the link stalls past the time-out", func(n *streamState) { n.stall(i) })
	}
	if len(c.net) > 0 {
		fault(who+": a frame comes twice", func(n *streamState) { n.deliver(i, 0, false) })
		fault(who+": a frame is lost", func(n *streamState) { n.callers[i].net = n.callers[i].net[1:] })
	}
	if len(c.net) > 1 {
		fault(who+": a later frame comes first", func(n *streamState) { n.deliver(i, 1, true) })
	}
	if c.gen.Attempt > 0 {
		fault(who+": a frame of another request comes crossed", func(n *streamState) { n.cross(i) })
		fault(who+": the caller cancels", func(n *streamState) { n.step(&n.callers[i], core.CallerGone{}) })
	}
	if len(c.delivered) > 0 && c.box < len(boxNames)-1 {
		fault(who+": its entry box dies and it comes back through another", func(n *streamState) { n.moveBox(i) })
	}
}

func (s *streamState) restart(e int, reuse bool) {
	s.engines[e].incarnation++
	if !reuse {
		s.engines[e].holds = nil
	}
	for i := range s.callers {
		c := &s.callers[i]
		for _, r := range c.readers {
			if r.engine == e && !r.ended {
				c.net = append(c.net, streamFrame{
					kind:    frameLost,
					attempt: r.attempt,
				})
			}
		}
		c.readers = slices.DeleteFunc(c.readers, func(r streamReader) bool { return r.engine == e })
	}
}

func (s *streamState) brokenWrite(i int, arrived bool) {
	c := &s.callers[i]
	attempt, origin := c.send.Attempt, c.send.Origin
	c.send = nil
	s.step(c, core.Sending{Attempt: attempt})
	if arrived {
		s.start(c, attempt, origin, false)
	}
	c.net = append(c.net, streamFrame{
		kind:    frameLost,
		attempt: attempt,
	})
}

func (s *streamState) refuse(i int) {
	c := &s.callers[i]
	attempt := c.send.Attempt
	c.send = nil
	s.step(c, core.Sending{Attempt: attempt})
	c.net = append(c.net, streamFrame{
		kind:    frameRefused,
		attempt: attempt,
	})
}

// cut ends every link; what was on its way may still come, late.
func (s *streamState) cut(i int) {
	c := &s.callers[i]
	c.readers = nil
	s.step(c, core.LinkLost{Attempt: c.gen.Attempt})
}

// stall leaves the link open: the old attempt's frames go on to come.
func (s *streamState) stall(i int) {
	c := &s.callers[i]
	s.step(c, core.LinkLost{Attempt: c.gen.Attempt})
}

func (s *streamState) cross(i int) {
	c := &s.callers[i]
	s.arrive(c, streamFrame{
		kind:    frameToken,
		attempt: c.gen.Attempt,
		origin: core.Origin{
			Endpoint:    c.gen.Origin.Endpoint,
			Incarnation: c.gen.Origin.Incarnation,
			Generation:  "another",
		},
		offset: c.gen.NextOffset,
	})
}

// moveBox carries the caller to another box with the last event that it had.
func (s *streamState) moveBox(i int) {
	c := &s.callers[i]
	c.box++
	c.net, c.readers, c.send, c.place = nil, nil, nil, false
	next := uint64(len(c.delivered))
	c.gen = core.ContinueGeneration(c.delivered[0].origin, next, generationRules(), s.rules.Options...)
	c.resume = &core.Resume{
		Attempt: c.gen.Attempt,
		Origin:  c.gen.Origin,
		From:    next,
	}
}
