package model

import (
	"fmt"
	"slices"
	"strconv"

	"dillsaddle.example/dillsaddle/core"
)

// addFaults adds all faults, each of which counts against the bound.
func (s *streamState) addFaults(add streamAdder) {
	fault := func(label string, change func(*streamState)) {
		add("fault: "+label, func(n *streamState) {
			n.faults--
			change(n)
		})
	}
	for e := range s.engines {
		fault(fmt.Sprintf("engine %d crashes and restarts", e), func(n *streamState) { n.restart(e, false) })
		fault(fmt.Sprintf("engine %d restarts and reuses its generation ids", e), func(n *streamState) { n.restart(e, true) })
	}
	if s.now == 0 {
		fault("time passes beyond the resume window", func(n *streamState) { n.now += streamWindow + 1 })
	}
	for i := range s.callers {
		if s.callers[i].gen.State != core.GenerationEnded {
			s.addCallerFaults(i, fault)
		}
	}
}

// addCallerFaults adds the faults of a caller's stream.
func (s *streamState) addCallerFaults(i int, fault streamAdder) {
	c := &s.callers[i]
	prefix := "caller " + strconv.Itoa(i)
	if c.send != nil {
		fault(prefix+": the write fails before the engine has received all", func(n *streamState) { n.breakWrite(i, false) })
		fault(prefix+": the write fails after the engine has received all", func(n *streamState) { n.breakWrite(i, true) })
		fault(prefix+": the engine refuses", func(n *streamState) { n.refuse(i) })
	}
	if len(c.readers) > 0 {
		fault(prefix+": the link breaks", func(n *streamState) { n.breakLinks(i) })
		fault(prefix+": the link stalls past the timeout", func(n *streamState) { n.stallLink(i) })
	}
	if len(c.inFlight) > 0 {
		fault(prefix+": a frame arrives twice", func(n *streamState) { n.deliverFrame(i, 0, false) })
		fault(prefix+": a frame is lost", func(n *streamState) { n.callers[i].inFlight = n.callers[i].inFlight[1:] })
	}
	if len(c.inFlight) > 1 {
		fault(prefix+": a later frame arrives first", func(n *streamState) { n.deliverFrame(i, 1, true) })
	}
	if c.gen.Attempt > 0 {
		fault(prefix+": a frame of another request arrives", func(n *streamState) { n.deliverForeignFrame(i) })
		fault(prefix+": the caller cancels", func(n *streamState) { n.step(&n.callers[i], core.CallerGone{}) })
	}
	if len(c.delivered) > 0 && c.box < len(boxNames)-1 {
		fault(prefix+": its entry box crashes and it reconnects through another", func(n *streamState) { n.moveToNextBox(i) })
	}
}

// restart restarts an engine and breaks its connections. With reuse, the engine starts
// other generations under the ids of those that it lost.
func (s *streamState) restart(e int, reuse bool) {
	s.engines[e].incarnation++
	if !reuse {
		s.engines[e].retained = nil
	}
	for i := range s.callers {
		c := &s.callers[i]
		for _, r := range c.readers {
			if r.engine == e && !r.ended {
				c.inFlight = append(c.inFlight, streamFrame{
					kind:    frameLinkLost,
					attempt: r.attempt,
				})
			}
		}
		c.readers = slices.DeleteFunc(c.readers, func(r streamReader) bool { return r.engine == e })
	}
}

// breakWrite breaks the connection while the request is written. The generation starts
// if the whole request arrived.
func (s *streamState) breakWrite(i int, arrived bool) {
	c := &s.callers[i]
	attempt, origin := c.send.Attempt, c.send.Origin
	c.send = nil
	s.step(c, core.Sending{Attempt: attempt})
	if arrived {
		s.startGeneration(c, attempt, origin, false)
	}
	c.inFlight = append(c.inFlight, streamFrame{
		kind:    frameLinkLost,
		attempt: attempt,
	})
}

func (s *streamState) refuse(i int) {
	c := &s.callers[i]
	attempt := c.send.Attempt
	c.send = nil
	s.step(c, core.Sending{Attempt: attempt})
	c.inFlight = append(c.inFlight, streamFrame{
		kind:    frameRefused,
		attempt: attempt,
	})
}

// breakLinks closes every link. Frames in flight may still arrive.
func (s *streamState) breakLinks(i int) {
	c := &s.callers[i]
	c.readers = nil
	s.step(c, core.LinkLost{Attempt: c.gen.Attempt})
}

// stallLink times out the link but leaves it open, so that frames of the old attempt
// keep arriving.
func (s *streamState) stallLink(i int) {
	c := &s.callers[i]
	s.step(c, core.LinkLost{Attempt: c.gen.Attempt})
}

// deliverForeignFrame passes a frame of another generation to the caller's stream.
func (s *streamState) deliverForeignFrame(i int) {
	c := &s.callers[i]
	s.handleFrame(c, streamFrame{
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

// moveToNextBox reconnects the caller through another box after its last event.
func (s *streamState) moveToNextBox(i int) {
	c := &s.callers[i]
	c.box++
	c.inFlight, c.readers, c.send, c.place = nil, nil, nil, false
	next := uint64(len(c.delivered))
	c.gen = core.ContinueGeneration(c.delivered[0].origin, next, generationRules(), s.rules.Options...)
	c.resume = &core.Resume{
		Attempt: c.gen.Attempt,
		Origin:  c.gen.Origin,
		From:    next,
	}
}
