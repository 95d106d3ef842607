package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

// fleetConfig configures a simulation in virtual time. Boxes in several zones send prompts
// to engines. The boxes of a zone notify each other of placements, and all boxes exchange
// engine reports by gossip.
type fleetConfig struct {
	Zones         int
	Boxes         int     // per zone
	Engines       int     // per zone
	PromptRate    float64 // prompts per second and zone
	HotZoneFactor float64 // multiple of PromptRate in the first zone
	LeaveInterval time.Duration
	LeaveFraction float64       // fraction of all engines that leave at each interval
	RejoinDelay   time.Duration // time until an engine that left is replaced
	Duration      time.Duration
}

// newLargeFleet returns a fleet of many boxes whose engines leave and join often. Prefill
// takes about a quarter of the engines' time.
func newLargeFleet() fleetConfig {
	return fleetConfig{
		Zones:         3,
		Boxes:         59,
		Engines:       26,
		PromptRate:    34,
		HotZoneFactor: 1,
		LeaveInterval: 3300 * time.Millisecond,
		LeaveFraction: 0.17,
		RejoinDelay:   4 * time.Second,
		Duration:      20 * time.Second,
	}
}

const (
	// simMemory is the memory of an engine in tokens.
	simMemory = 33_620
	// simPrefillRate is the prefill rate of an engine in tokens per second. Prompts are
	// prefilled one at a time.
	simPrefillRate = 7000.0
	// simStep is the time between two tokens.
	simStep = 8 * time.Millisecond
	// simMeanPrompt and simMeanOutput are mean lengths in tokens.
	simMeanPrompt = 2670.0
	simMeanOutput = 468.0
	// simShortFraction of the requests generate simShortOutput tokens.
	simShortOutput   = 12
	simShortFraction = 0.41
	// simNotifyDelay is the delay of the notifications of placements within a zone.
	simNotifyDelay = 18 * time.Millisecond
	// simReportInterval is the interval of an engine's reports, and their age when received.
	simReportInterval = 500 * time.Millisecond
	// simGossipInterval is the interval at which a box exchanges reports with another box.
	simGossipInterval = 250 * time.Millisecond
	// simCrossZoneEvery is the number of exchanges of which one is with a box of any zone.
	simCrossZoneEvery = 3
	// simCallerFraction is the fraction of the boxes that receive requests.
	simCallerFraction = 0.6
	// simFirstEventTarget is the target for the time to the first event.
	simFirstEventTarget = 1500 * time.Millisecond
)

// fleetResult counts the outcomes of a simulation.
type fleetResult struct {
	Prompts   int
	Late      int // first event after the target
	CrossZone int // sent to another zone
}

func (r fleetResult) lateFraction() float64 { return float64(r.Late) / float64(r.Prompts) }

// simEvents is a heap of scheduled events.
type simEvents []simEvent

type simEvent struct {
	at       time.Duration
	sequence int // order of events at the same time
	action   func()
}

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *simEvents) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *simEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simEngine is a simulated engine.
type simEngine struct {
	id            string
	zone          int
	hasLeft       bool
	prefillDoneAt time.Duration // when all prompts received so far are prefilled
	waiting       int
	running       int
	used          int // tokens of memory
}

// timedReport is an engine's report and when it was made.
type timedReport struct {
	at     time.Duration
	report routing.Report
}

// simBox is a simulated box.
type simBox struct {
	zone        int
	balancer    *admission.Balancer
	reports     map[string]timedReport // by engine ID
	gossipCount int
}

// simFleet is a running simulation.
type simFleet struct {
	fleetConfig
	now            time.Duration
	events         simEvents
	scheduledCount int
	random         *rand.Rand
	boxes          []*simBox
	engines        map[string]*simEngine
	engineIDs      []string           // in order of joining
	endpoints      []routing.Endpoint // engines that are up
	result         fleetResult
}

var simStart = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// simulate runs the simulation with a seed.
func (c fleetConfig) simulate(seed uint64) fleetResult {
	f := &simFleet{
		fleetConfig: c,
		random:      rand.New(rand.NewPCG(seed, 1)),
		engines:     make(map[string]*simEngine),
	}
	for i := range c.Zones * c.Boxes {
		zone := i % c.Zones
		b := &simBox{
			zone:     zone,
			balancer: admission.NewBalancer(zoneName(zone), f.random.Float64),
			reports:  make(map[string]timedReport),
		}
		f.boxes = append(f.boxes, b)
		f.schedule(time.Duration(f.random.Float64()*float64(simGossipInterval)), func() { f.gossip(b) })
	}
	for i := range c.Zones * c.Engines {
		f.join(i % c.Zones)
	}
	for zone := range c.Zones {
		f.arrive(zone)
	}
	f.schedule(c.LeaveInterval, f.leave)
	for f.now < c.Duration {
		next := heap.Pop(&f.events).(simEvent)
		f.now = next.at
		next.action()
	}
	return f.result
}

// schedule runs an action after a delay in virtual time.
func (f *simFleet) schedule(d time.Duration, action func()) {
	f.scheduledCount++
	heap.Push(&f.events, simEvent{
		at:       f.now + d,
		sequence: f.scheduledCount,
		action:   action,
	})
}

func (f *simFleet) clock() time.Time { return simStart.Add(f.now) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// randomBox returns a random box among the given fraction of a zone's boxes.
func (f *simFleet) randomBox(zone int, fraction float64) *simBox {
	return f.boxes[zone+f.Zones*f.random.IntN(max(1, int(fraction*float64(f.Boxes))))]
}

// join adds an engine to a zone.
func (f *simFleet) join(zone int) {
	e := &simEngine{
		id:   fmt.Sprintf("e%d", len(f.engineIDs)),
		zone: zone,
	}
	f.engines[e.id] = e
	f.engineIDs = append(f.engineIDs, e.id)
	f.publish()
	f.report(e)
}

// leave removes a fraction of the engines and schedules their replacements.
func (f *simFleet) leave() {
	var alive []*simEngine
	for _, id := range f.engineIDs {
		if e := f.engines[id]; !e.hasLeft {
			alive = append(alive, e)
		}
	}
	n := int(math.Round(f.LeaveFraction * float64(f.Zones*f.Engines)))
	for _, i := range f.random.Perm(len(alive))[:n] {
		alive[i].hasLeft = true
		f.schedule(f.RejoinDelay, func() { f.join(alive[i].zone) })
	}
	f.publish()
	f.schedule(f.LeaveInterval, f.leave)
}

// publish updates the list of engines and each zone's preferred engines.
func (f *simFleet) publish() {
	f.endpoints = nil
	zoneEngines := make([]map[string]bool, f.Zones)
	for zone := range zoneEngines {
		zoneEngines[zone] = make(map[string]bool)
	}
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if e.hasLeft {
			continue
		}
		f.endpoints = append(f.endpoints, routing.Endpoint{
			ID:    id,
			Zone:  zoneName(e.zone),
			Slots: 24,
		})
		zoneEngines[e.zone][id] = true
	}
	for _, b := range f.boxes {
		b.balancer.SetGroupEngines(zoneEngines[b.zone])
	}
}

// report sends an engine's current state to a box of its zone, delayed, and repeats.
func (f *simFleet) report(e *simEngine) {
	if e.hasLeft {
		return
	}
	current := timedReport{
		at: f.now,
		report: routing.Report{
			Endpoint: e.id,
			Running:  e.running,
			Waiting:  e.waiting,
			Used:     e.used,
			Total:    simMemory,
		},
	}
	receiver := f.randomBox(e.zone, 1)
	f.schedule(simReportInterval, func() {
		receiver.storeReport(current)
		f.report(e)
	})
}

// storeReport stores a report if it is newer than the known one.
func (b *simBox) storeReport(current timedReport) {
	id := current.report.Endpoint
	if known, ok := b.reports[id]; ok && known.at >= current.at {
		return
	}
	b.reports[id] = current
	b.balancer.Memory(simStart.Add(current.at), current.report)
}

// gossip exchanges all reports with another box, and repeats.
func (f *simFleet) gossip(b *simBox) {
	b.gossipCount++
	partner := f.randomBox(b.zone, 1)
	if b.gossipCount%simCrossZoneEvery == 0 {
		partner = f.randomBox(f.random.IntN(f.Zones), 1)
	}
	for _, id := range f.engineIDs {
		if f.engines[id].hasLeft {
			continue
		}
		if stored, ok := b.reports[id]; ok {
			partner.storeReport(stored)
		}
		if stored, ok := partner.reports[id]; ok {
			b.storeReport(stored)
		}
	}
	f.schedule(simGossipInterval, func() { f.gossip(b) })
}

// arrive schedules the arrivals of prompts in a zone.
func (f *simFleet) arrive(zone int) {
	rate := f.PromptRate
	if zone == 0 {
		rate *= f.HotZoneFactor
	}
	f.schedule(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		f.place(f.randomBox(zone, simCallerFraction))
		f.arrive(zone)
	})
}

// place sends a prompt to the engine that a box's balancer picks.
func (f *simFleet) place(b *simBox) {
	prompt := int(simMeanPrompt * (0.4 + 1.2*f.random.Float64()))
	output := int(simMeanOutput * (0.3 + 1.4*f.random.Float64()))
	if f.random.Float64() < simShortFraction {
		output = simShortOutput
	}
	chosen, ok := b.balancer.Pick(f.clock(), f.endpoints, admission.Requirements{
		Tokens: prompt + output,
		Memory: simMemory,
		Shared: true,
	})
	if !ok {
		return
	}
	e := f.engines[chosen.ID]
	if e.zone != b.zone {
		f.result.CrossZone++
	}
	sent := f.clock()
	b.balancer.BeginSend(sent, e.id, prompt+output, prompt)
	queued := b.balancer.AddPrompt(sent, e.id, prompt)
	f.schedule(simNotifyDelay, func() {
		for _, other := range f.boxes {
			if other != b && other.zone == b.zone {
				other.balancer.AddRemotePrompt(f.clock(), e.id, prompt)
			}
		}
	})
	f.run(b, e, prompt, output, queued)
}

// run prefills a prompt after those queued earlier, then generates its output.
func (f *simFleet) run(b *simBox, e *simEngine, prompt, output int, queued float64) {
	sent, held := f.clock(), prompt+output/2
	e.waiting++
	e.prefillDoneAt = max(e.prefillDoneAt, f.now) + time.Duration(float64(prompt)/simPrefillRate*float64(time.Second))
	first := e.prefillDoneAt - f.now + simStep
	f.schedule(first, func() {
		f.result.Prompts++
		if first > simFirstEventTarget {
			f.result.Late++
		}
		b.balancer.ObservePrefill(queued, first)
		e.waiting--
		e.running++
		e.used += held
	})
	f.schedule(first+time.Duration(output)*simStep, func() {
		e.running--
		e.used -= held
		b.balancer.EndSend(f.clock(), e.id, sent, prompt+output)
		b.balancer.Succeeded(f.clock(), e.id, first)
		b.balancer.ObserveLengths(prompt, output)
	})
}
