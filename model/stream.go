package model

import (
	"fmt"
	"slices"
	"strconv"

	"dillsaddle.example/dillsaddle/core"
)

// StreamRules are the bounds of the specification of streams.
type StreamRules struct {
	Callers    int
	Tokens     int
	Faults     int
	Repeatable bool
	Options    []core.Option
}

// The size of the specification of streams.
const (
	streamEngines = 2 // number of engines
	streamWindow  = 2 // resume window in time steps
)

// frameKind is the kind of a streamFrame. The last two stand for a lost connection and for a
// generation that the engine no longer has.
type frameKind string

const (
	frameToken          frameKind = "token"
	frameFinal          frameKind = "final"
	frameRefused        frameKind = "refused"
	frameLinkLost       frameKind = "lost"
	frameGenerationGone frameKind = "gone"
)

// streamFrame is a message in flight to a caller's entry.
type streamFrame struct {
	kind    frameKind
	attempt int
	origin  core.Origin
	offset  uint64
}

// streamReader is a connection on which an engine sends the frames of a generation.
type streamReader struct {
	engine  int
	origin  core.Origin
	attempt int
	sent    uint64 // offset of the next frame
	ended   bool
}

// streamCaller is a caller's stream at its entry: the generation, its next actions, the
// frames in flight and the tokens delivered.
type streamCaller struct {
	gen       *core.Generation
	box       int
	place     bool              // the generation needs an endpoint
	send      *core.SendAttempt // the attempt to write next, nil for none
	resume    *core.Resume      // the resume to write next, nil for none
	inFlight  []streamFrame
	readers   []streamReader
	delivered []streamFrame
	started   []core.Origin // every generation started for this caller
}

// streamEngine is an engine with the generations that it retains.
type streamEngine struct {
	incarnation core.Incarnation
	retained    []string // generations that can still be read
}

// streamState holds callers with their entries and links, and the engines.
type streamState struct {
	rules   *StreamRules
	now     int
	faults  int
	engines [streamEngines]streamEngine
	callers []streamCaller
}

// Streams returns the first state of the specification of streams.
func Streams(rules StreamRules) State {
	s := &streamState{
		rules:  &rules,
		faults: rules.Faults,
	}
	for i := range s.engines {
		s.engines[i].incarnation = 1
	}
	for range rules.Callers {
		s.callers = append(s.callers, streamCaller{
			gen:   core.NewGeneration(rules.Repeatable, generationRules(), rules.Options...),
			place: true,
		})
	}
	return s
}

func generationRules() core.GenerationRules {
	return core.GenerationRules{
		Attempts:     2,
		ResumeWindow: streamWindow * timeStep,
	}
}

func (s *streamState) clone() *streamState {
	copied := *s
	copied.callers = slices.Clone(s.callers)
	for i := range copied.engines {
		copied.engines[i].retained = slices.Clone(s.engines[i].retained)
	}
	for i := range copied.callers {
		c := &copied.callers[i]
		c.gen = c.gen.Clone()
		c.inFlight = slices.Clone(c.inFlight)
		c.readers = slices.Clone(c.readers)
		c.delivered = slices.Clone(c.delivered)
		c.started = slices.Clone(c.started)
	}
	return &copied
}

// Key encodes everything that the later states depend on.
func (s *streamState) Key() string {
	b := fmt.Appendf(nil, "%d;%d;%v;", s.now, s.faults, s.engines)
	for i := range s.callers {
		c := &s.callers[i]
		b = c.gen.Fingerprint(b, at(s.now))
		b = fmt.Appendf(b, "%d,%v,%v,%v,%v,%v,%v,%v;", c.box, c.place, c.send != nil, c.resume, c.inFlight, c.readers, c.delivered, c.started)
	}
	return string(b)
}

// step passes an event to the caller's generation and records its commands.
func (s *streamState) step(c *streamCaller, ev core.Event) {
	for _, command := range c.gen.Step(at(s.now), ev) {
		switch t := command.(type) {
		case core.PlaceAgain:
			c.place = true
		case core.SendAttempt:
			c.send = &t
		case core.Resume:
			c.resume = &t
		case core.ForwardToken:
			c.delivered = append(c.delivered, streamFrame{
				origin: t.Origin,
				offset: t.Offset,
			})
		}
	}
}

// Next returns the steps of callers, entries, engines, links and faults.
func (s *streamState) Next() []Transition {
	return collectTransitions(s, s.addSteps)
}

func (s *streamState) addSteps(add func(string, func(*streamState))) {
	for i := range s.callers {
		s.addCallerSteps(i, add)
	}
	if s.faults > 0 {
		s.addFaults(add)
	}
}

// streamAdder adds a transition that changes a copy of the state.
type streamAdder func(label string, change func(*streamState))

// addCallerSteps adds the steps of a caller's stream.
func (s *streamState) addCallerSteps(i int, add streamAdder) {
	c := &s.callers[i]
	prefix := "caller " + strconv.Itoa(i)
	if c.gen.State == core.GenerationEnded {
		return
	}
	if c.place {
		for e := range s.engines {
			add(fmt.Sprintf("%s: placed on engine %d", prefix, e), func(n *streamState) { n.place(i, e) })
		}
	}
	if c.send != nil {
		add(prefix+": request reaches its engine", func(n *streamState) { n.send(i) })
	}
	if c.resume != nil {
		add(prefix+": resume reaches its engine", func(n *streamState) { n.resume(i) })
	}
	for r := range c.readers {
		if !c.readers[r].ended {
			add(fmt.Sprintf("%s: engine sends frame %d of attempt %d", prefix, c.readers[r].sent, c.readers[r].attempt), func(n *streamState) { n.sendFrame(i, r) })
		}
	}
	if len(c.inFlight) > 0 {
		add(fmt.Sprintf("%s: %s %d of attempt %d arrives", prefix, c.inFlight[0].kind, c.inFlight[0].offset, c.inFlight[0].attempt), func(n *streamState) { n.deliverFrame(i, 0, true) })
	}
}

func (s *streamState) place(i, e int) {
	c := &s.callers[i]
	c.place = false
	s.step(c, core.Placed{
		Endpoint:   strconv.Itoa(e),
		Generation: fmt.Sprintf("g%d", i),
	})
}

func (s *streamState) engineOf(origin core.Origin) int {
	e, _ := strconv.Atoi(origin.Endpoint)
	return e
}

// send starts the generation on the engine, with a reader for the caller.
func (s *streamState) send(i int) {
	c := &s.callers[i]
	attempt, origin := c.send.Attempt, c.send.Origin
	c.send = nil
	s.step(c, core.Sending{Attempt: attempt})
	s.startGeneration(c, attempt, origin, true)
}

// startGeneration starts a generation on its engine, and reads it if reading is true.
func (s *streamState) startGeneration(c *streamCaller, attempt int, origin core.Origin, reading bool) {
	e := s.engineOf(origin)
	origin.Incarnation = s.engines[e].incarnation
	s.engines[e].retained = append(s.engines[e].retained, origin.Generation)
	c.started = append(c.started, origin)
	if reading {
		c.readers = append(c.readers, streamReader{
			engine:  e,
			origin:  origin,
			attempt: attempt,
		})
	}
}

// resume reads a generation again. An engine that has restarted reports that the
// generation is gone, or has started another with the same id.
func (s *streamState) resume(i int) {
	c := &s.callers[i]
	r := *c.resume
	c.resume = nil
	e := s.engineOf(r.Origin)
	if !slices.Contains(s.engines[e].retained, r.Origin.Generation) {
		c.inFlight = append(c.inFlight, streamFrame{
			kind:    frameGenerationGone,
			attempt: r.Attempt,
		})
		return
	}
	origin := r.Origin
	origin.Incarnation = s.engines[e].incarnation
	c.readers = append(c.readers, streamReader{
		engine:  e,
		origin:  origin,
		attempt: r.Attempt,
		sent:    r.From,
	})
}

// sendFrame sends the next token, or the final frame after the last token.
func (s *streamState) sendFrame(i, r int) {
	c := &s.callers[i]
	reader := &c.readers[r]
	kind := frameToken
	if reader.sent >= uint64(s.rules.Tokens) {
		kind = frameFinal
		reader.ended = true
	}
	offset := min(reader.sent, uint64(s.rules.Tokens))
	c.inFlight = append(c.inFlight, streamFrame{
		kind:    kind,
		attempt: reader.attempt,
		origin:  reader.origin,
		offset:  offset,
	})
	reader.sent++
}

// deliverFrame passes an in-flight frame to the caller's generation. A frame that isn't
// removed arrives again later.
func (s *streamState) deliverFrame(i, at int, remove bool) {
	c := &s.callers[i]
	f := c.inFlight[at]
	if remove {
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
	}
	s.handleFrame(c, f)
}

func (s *streamState) handleFrame(c *streamCaller, f streamFrame) {
	switch f.kind {
	case frameRefused:
		s.step(c, core.Refused{Attempt: f.attempt})
	case frameLinkLost:
		s.step(c, core.LinkLost{Attempt: f.attempt})
	case frameGenerationGone:
		s.step(c, core.GenerationGone{Attempt: f.attempt})
	default:
		s.step(c, core.FrameArrived{
			Attempt: f.attempt,
			Origin:  f.origin,
			Offset:  f.offset,
			Final:   f.kind == frameFinal,
		})
	}
}

// FindViolation reports a broken promise about streams.
func (s *streamState) FindViolation() (string, bool) {
	for i := range s.callers {
		if violation := s.callers[i].findViolation(s.rules); violation != "" {
			return violation, true
		}
	}
	return "", false
}

func (c *streamCaller) findViolation(rules *StreamRules) string {
	for n, f := range c.delivered {
		if f.offset != uint64(n) {
			return fmt.Sprintf("token %d was delivered in place of token %d", f.offset, n)
		}
		if f.origin != c.delivered[0].origin {
			return "tokens of two generations were delivered"
		}
		if !slices.Contains(c.started, f.origin) {
			return "a token of another request was delivered"
		}
	}
	if !rules.Repeatable && len(c.started) > 1 {
		return "a request that may not be repeated was started twice"
	}
	if c.gen.State != core.GenerationEnded {
		return ""
	}
	if c.gen.Code == core.EndDone && len(c.delivered) != rules.Tokens {
		return fmt.Sprintf("%d of %d tokens were delivered as the complete answer", len(c.delivered), rules.Tokens)
	}
	if c.gen.Outcome == core.NotRun && len(c.started) > 0 {
		return "a request that ran was reported as not run"
	}
	return ""
}
