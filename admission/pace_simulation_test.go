package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

// The engines of paceSim run a batch: each step makes one token of each run and prefills at
// most one piece of a prompt, which doubles its time.
const (
	paceStep        = 7830 * time.Microsecond
	paceFastFactor  = 0.55
	paceSlowFactor  = 1.2
	paceFastShare   = 0.25 // of the engines, by default
	paceSpellFactor = 2.5
	paceSpell       = 600 * time.Millisecond // mean length of a slow spell
	paceUsual       = paceSpell * 85 / 15    // mean time between slow spells
	pacePiece       = 256                    // prompt tokens per step
	paceEventTokens = 4
	paceLife        = 20 * time.Second // mean life of an engine
	paceTarget      = 180 * time.Millisecond
	paceWarmup      = 10 * time.Second // not counted: the boxes learn
	paceLearning    = 4 * time.Second  // the same for a new box among others
)

// paceLoad is a simulated load of long and short streams on engines of two speeds.
type paceLoad struct {
	Boxes, Engines int
	Rate           float64 // requests per second
	LongShare      float64
	Baseline       bool    // without what the boxes learn of pauses
	Spells         bool    // with what the boxes see of slow spells
	FastShare      float64 // of the engines; paceFastShare if 0, none if negative
	LostShare      float64 // of the messages between boxes
	Duration       time.Duration
	FreshBoxAt     time.Duration // if set, when a box is replaced by one that knows nothing
}

// paceResult counts streams of a kind and how many of them missed a target.
type paceResult struct{ Streams, LateFirst, Paused int }

type paceRun struct {
	box                  *admission.Balancer
	req                  admission.Requirements
	prompt, output, left int // tokens
	prefilled            int
	sentAt, lastAt       time.Duration
	queued               float64
	since                int // tokens since the last event
	exposed              int
	intervals            []time.Duration
	late, paused         bool
}

func (r *paceRun) isLong() bool { return r.req.PauseSensitive }

type paceEngine struct {
	routing.Endpoint
	factor          float64
	waiting, active []*paceRun
	running, gone   bool
	spellEnds       time.Duration // end of the current spell, slow or usual
	isSlow          bool
}

type paceSim struct {
	paceLoad
	now         time.Duration
	events      simEvents
	count       int
	random      *rand.Rand
	boxes       []*admission.Balancer
	engines     []*paceEngine
	created     int
	long, short paceResult
	spellsSeen  int        // messages about slow spells
	fresh       paceResult // long streams of the box that was replaced, from paceLearning after that
}

// simulate runs the simulation with a seed.
func (c paceLoad) simulate(seed uint64) *paceSim {
	s := &paceSim{
		paceLoad: c,
		random:   rand.New(rand.NewPCG(seed, 3)),
	}
	for range c.Boxes {
		s.boxes = append(s.boxes, admission.NewBalancer("z", s.random.Float64))
	}
	for range c.Engines {
		s.join()
	}
	s.arrive()
	if c.FreshBoxAt > 0 {
		s.after(c.FreshBoxAt, s.replaceBox)
	}
	for s.now < c.Duration {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.action()
	}
	return s
}

// replaceBox replaces the first box by one that knows the list of engines only.
func (s *paceSim) replaceBox() {
	s.boxes[0] = admission.NewBalancer("z", s.random.Float64)
	s.publish()
}

func (s *paceSim) after(d time.Duration, action func()) {
	s.count++
	heap.Push(&s.events, simEvent{
		at:       s.now + d,
		sequence: s.count,
		action:   action,
	})
}

func (s *paceSim) clock() time.Time { return simStart.Add(s.now) }

func (s *paceSim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// tell applies a message to the other boxes that don't lose it, after the delay of a message.
func (s *paceSim) tell(from *admission.Balancer, apply func(*admission.Balancer)) {
	s.after(simNotifyDelay, func() {
		for _, b := range s.boxes {
			if b != from && s.random.Float64() >= s.LostShare {
				apply(b)
			}
		}
	})
}

func (s *paceSim) join() {
	s.created++
	e := &paceEngine{
		Endpoint: routing.Endpoint{
			ID:    fmt.Sprintf("e%d", s.created),
			Zone:  "z",
			Slots: 24,
		},
		factor: paceSlowFactor,
	}
	fast := s.FastShare
	if fast == 0 {
		fast = paceFastShare
	}
	if s.random.Float64() < fast {
		e.factor = paceFastFactor
	}
	s.engines = append(s.engines, e)
	s.publish()
	s.report(e)
	s.after(s.exponential(paceLife), func() {
		e.gone = true
		s.engines = slices.DeleteFunc(s.engines, func(other *paceEngine) bool { return other == e })
		for _, b := range s.boxes {
			b.Forget(e.ID)
		}
		s.join()
	})
}

func (s *paceSim) publish() {
	own := make(map[string]bool)
	for _, e := range s.engines {
		own[e.ID] = true
	}
	for _, b := range s.boxes {
		b.SetGroupEngines(own)
	}
}

func (s *paceSim) report(e *paceEngine) {
	if e.gone {
		return
	}
	at, used := s.clock(), 0
	for _, r := range e.active {
		used += r.prompt + r.output - r.left
	}
	report := routing.Report{
		Endpoint: e.ID,
		Running:  len(e.active),
		Waiting:  len(e.waiting),
		Used:     used,
		Total:    simMemory,
	}
	s.after(simReportInterval, func() {
		for _, b := range s.boxes {
			b.Memory(at, report)
		}
		s.report(e)
	})
}

func (s *paceSim) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.Rate*float64(time.Second)), func() {
		s.place(s.boxes[s.random.IntN(len(s.boxes))])
		s.arrive()
	})
}

func (s *paceSim) place(box *admission.Balancer) {
	r := &paceRun{
		box:    box,
		prompt: 2550,
		output: 2 * paceEventTokens,
		sentAt: s.now,
	}
	target, long := 1500*time.Millisecond, s.random.Float64() < s.LongShare
	if long {
		r.prompt, target = 3080, 4*time.Second
		r.output = paceEventTokens * int(27*math.Pow(12, s.random.Float64()))
	}
	r.left = r.output
	r.req = admission.Requirements{
		Tokens: r.prompt + r.output,
		Prompt: r.prompt,
		Memory: simMemory,
		Shared: true,
	}
	if !s.Baseline {
		r.req.PauseSensitive = long
		r.req.ExpectedEvents = r.output / paceEventTokens
		r.req.LatencyTarget = target
		r.req.Size = r.output
	}
	var endpoints []routing.Endpoint
	for _, e := range s.engines {
		endpoints = append(endpoints, e.Endpoint)
	}
	chosen, ok := box.Pick(s.clock(), endpoints, r.req)
	if !ok {
		return
	}
	e := s.engines[slices.IndexFunc(s.engines, func(e *paceEngine) bool { return e.ID == chosen.ID })]
	box.BeginSend(s.clock(), e.ID, r.req.Tokens, r.prompt)
	r.queued = box.AddPrompt(s.clock(), e.ID, r.prompt)
	s.tell(box, func(b *admission.Balancer) { b.AddRemotePrompt(s.clock(), e.ID, r.prompt) })
	if r.isLong() {
		box.BeginStream(s.clock(), e.ID, r.prompt, r.output, false)
		s.tell(box, func(b *admission.Balancer) { b.BeginStream(s.clock(), e.ID, r.prompt, 0, true) })
	}
	e.waiting = append(e.waiting, r)
	if !e.running {
		e.running = true
		s.step(e)
	}
}

// step runs one step of an engine's batch, and further ones while it has work.
func (s *paceSim) step(e *paceEngine) {
	if e.gone {
		return
	}
	var prefilling *paceRun
	used := 0
	for _, r := range e.active {
		used += r.prompt + r.output - r.left
	}
	if len(e.waiting) > 0 && used+e.waiting[0].prompt <= simMemory {
		prefilling = e.waiting[0]
	}
	if prefilling == nil && len(e.active) == 0 {
		e.running = false
		return
	}
	d := float64(paceStep) * e.factor
	if prefilling != nil {
		d *= 2
	}
	for e.spellEnds <= s.now {
		e.isSlow = !e.isSlow
		mean := paceUsual
		if e.isSlow {
			mean = paceSpell
		}
		e.spellEnds = max(e.spellEnds, s.now-time.Minute) + s.exponential(mean)
	}
	if e.isSlow {
		d *= paceSpellFactor
	}
	s.after(time.Duration(d), func() {
		s.advance(e, prefilling)
		s.step(e)
	})
}

// advance applies a step: one token for each run, and one piece of a prompt.
func (s *paceSim) advance(e *paceEngine, prefilling *paceRun) {
	for _, r := range slices.Clone(e.active) {
		r.left--
		r.since++
		if r.since == paceEventTokens || r.left == 0 {
			r.since = 0
			s.event(e, r)
		}
		if r.left <= 0 {
			e.active = slices.DeleteFunc(e.active, func(other *paceRun) bool { return other == r })
			s.end(e, r)
		}
	}
	if prefilling == nil {
		return
	}
	prefilling.prefilled += pacePiece
	if prefilling.prefilled >= prefilling.prompt {
		e.waiting = e.waiting[1:]
		e.active = append(e.active, prefilling)
	}
}
