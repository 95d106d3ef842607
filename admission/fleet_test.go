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

// fleetLoad is a fleet in virtual time: the boxes of each zone place prompts on engines
// by a spread each, hear of each other's placements, and know the engines' reports as
// greetings carry them.
type fleetLoad struct {
	Zones      int
	Boxes      int     // of a zone
	Engines    int     // of a zone
	Rate       float64 // prompts in a second, of a zone
	Hot        float64 // how many times as many the first zone has
	LeaveEvery time.Duration
	LeavePart  float64 // of all engines, in each wave
	JoinAfter  time.Duration
	For        time.Duration
}

// largeFleet has engines of which a quarter's time goes to prompts, and five times the
// boxes of one that places all by one group.
func largeFleet() fleetLoad {
	return fleetLoad{
		Zones:      3,
		Boxes:      59,
		Engines:    26,
		Rate:       34,
		Hot:        1,
		LeaveEvery: 3300 * time.Millisecond,
		LeavePart:  0.17,
		JoinAfter:  4 * time.Second,
		For:        20 * time.Second,
	}
}

const (
	// simMemory is an engine's memory, in tokens; simReading is how many tokens of
	// prompts it reads in a second, one prompt after the other.
	simMemory  = 33_620
	simReading = 7000.0
	// simStep is the time of one generated token.
	simStep = 8 * time.Millisecond
	// simPrompt and simOutput are means in tokens; two requests in five generate
	// simShort.
	simPrompt = 2670.0
	simOutput = 468.0
	simShort  = 12
	shortPart = 0.41
	// simTold is the time until the boxes of a zone know of a placement.
	simTold = 18 * time.Millisecond
	// simReport spaces an engine's reports, which are as old when they are given.
	simReport = 500 * time.Millisecond
	// simGreet spaces a box's greetings; one in simAbroad goes to any zone.
	simGreet  = 250 * time.Millisecond
	simAbroad = 3
	// simCallers is the part of a zone's boxes that has callers.
	simCallers = 0.6
	// simTarget is the first events' target.
	simTarget = 1500 * time.Millisecond
)

// fleetResult is what the callers of a fleet got.
type fleetResult struct {
	Prompts int
	Late    int // whose first event came after the target
	Crossed int // placed in another zone
}

func (r fleetResult) late() float64 { return float64(r.Late) / float64(r.Prompts) }

// simEvents is what is to happen, the earliest first.
type simEvents []simEvent

type simEvent struct {
	at time.Duration
	n  int // of the event, for those at the same time
	do func()
}

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].n < q[j].n)
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap's.
func (q *simEvents) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop is heap's.
func (q *simEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type simEngine struct {
	id      string
	zone    int
	gone    bool
	readAt  time.Duration // when all prompts that came are read
	waiting int
	running int
	used    int
}

// simReportAt is a report and when it was true.
type simReportAt struct {
	at     time.Duration
	report routing.Report
}

type simBox struct {
	zone    int
	spread  *admission.Balancer
	reports map[string]simReportAt
	greeted int
}

type simFleet struct {
	fleetLoad
	now     time.Duration
	events  simEvents
	planned int
	random  *rand.Rand
	boxes   []*simBox
	engines map[string]*simEngine
	ids     []string // of the engines, as they joined
	serving []routing.Endpoint
	result  fleetResult
}

var simStart = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// play runs the load and gives what callers got.
func (l fleetLoad) play(seed uint64) fleetResult {
	f := &simFleet{
		fleetLoad: l,
		random:    rand.New(rand.NewPCG(seed, 1)),
		engines:   make(map[string]*simEngine),
	}
	for i := range l.Zones * l.Boxes {
		zone := i % l.Zones
		b := &simBox{
			zone:    zone,
			spread:  admission.NewBalancer(zoneName(zone), f.random.Float64),
			reports: make(map[string]simReportAt),
		}
		f.boxes = append(f.boxes, b)
		f.after(time.Duration(f.random.Float64()*float64(simGreet)), func() { f.greet(b) })
	}
	for i := range l.Zones * l.Engines {
		f.join(i % l.Zones)
	}
	for zone := range l.Zones {
		f.arrive(zone)
	}
	f.after(l.LeaveEvery, f.leave)
	for f.now < l.For {
		next := heap.Pop(&f.events).(simEvent)
		f.now = next.at
		next.do()
	}
	return f.result
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.planned++
	heap.Push(&f.events, simEvent{
		at: f.now + d,
		n:  f.planned,
		do: do,
	})
}

func (f *simFleet) clock() time.Time { return simStart.Add(f.now) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// boxOf draws one of the first boxes of a zone.
func (f *simFleet) boxOf(zone int, part float64) *simBox {
	return f.boxes[zone+f.Zones*f.random.IntN(max(1, int(part*float64(f.Boxes))))]
}

func (f *simFleet) join(zone int) {
	e := &simEngine{
		id:   fmt.Sprintf("e%d", len(f.ids)),
		zone: zone,
	}
	f.engines[e.id] = e
	f.ids = append(f.ids, e.id)
	f.publish()
	f.report(e)
}

// leave takes a part of the engines away; others come for them later.
func (f *simFleet) leave() {
	var here []*simEngine
	for _, id := range f.ids {
		if e := f.engines[id]; !e.gone {
			here = append(here, e)
		}
	}
	n := int(math.Round(f.LeavePart * float64(f.Zones*f.Engines)))
	for _, i := range f.random.Perm(len(here))[:n] {
		here[i].gone = true
		f.after(f.JoinAfter, func() { f.join(here[i].zone) })
	}
	f.publish()
	f.after(f.LeaveEvery, f.leave)
}

// publish tells all boxes which engines there are, and which are their zone's.
func (f *simFleet) publish() {
	f.serving = nil
	shares := make([]map[string]bool, f.Zones)
	for zone := range shares {
		shares[zone] = make(map[string]bool)
	}
	for _, id := range f.ids {
		e := f.engines[id]
		if e.gone {
			continue
		}
		f.serving = append(f.serving, routing.Endpoint{
			ID:    id,
			Zone:  zoneName(e.zone),
			Slots: 24,
		})
		shares[e.zone][id] = true
	}
	for _, b := range f.boxes {
		b.spread.SetGroupEngines(shares[b.zone])
	}
}

// report gives what an engine says of itself now to one box of its zone, later.
func (f *simFleet) report(e *simEngine) {
	if e.gone {
		return
	}
	said := simReportAt{
		at: f.now,
		report: routing.Report{
			Endpoint: e.id,
			Running:  e.running,
			Waiting:  e.waiting,
			Used:     e.used,
			Total:    simMemory,
		},
	}
	asks := f.boxOf(e.zone, 1)
	f.after(simReport, func() {
		asks.take(said)
		f.report(e)
	})
}

func (b *simBox) take(said simReportAt) {
	id := said.report.Endpoint
	if known, ok := b.reports[id]; ok && known.at >= said.at {
		return
	}
	b.reports[id] = said
	b.spread.Memory(simStart.Add(said.at), said.report)
}

// greet exchanges all reports with another box.
func (f *simFleet) greet(b *simBox) {
	b.greeted++
	other := f.boxOf(b.zone, 1)
	if b.greeted%simAbroad == 0 {
		other = f.boxOf(f.random.IntN(f.Zones), 1)
	}
	for _, id := range f.ids {
		if f.engines[id].gone {
			continue
		}
		if said, ok := b.reports[id]; ok {
			other.take(said)
		}
		if said, ok := other.reports[id]; ok {
			b.take(said)
		}
	}
	f.after(simGreet, func() { f.greet(b) })
}

func (f *simFleet) arrive(zone int) {
	rate := f.Rate
	if zone == 0 {
		rate *= f.Hot
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		f.place(f.boxOf(zone, simCallers))
		f.arrive(zone)
	})
}

func (f *simFleet) place(b *simBox) {
	prompt := int(simPrompt * (0.4 + 1.2*f.random.Float64()))
	output := int(simOutput * (0.3 + 1.4*f.random.Float64()))
	if f.random.Float64() < shortPart {
		output = simShort
	}
	chosen, ok := b.spread.Pick(f.clock(), f.serving, admission.Requirements{
		Tokens: prompt + output,
		Memory: simMemory,
		Shared: true,
	})
	if !ok {
		return
	}
	e := f.engines[chosen.ID]
	if e.zone != b.zone {
		f.result.Crossed++
	}
	sent := f.clock()
	b.spread.BeginSend(sent, e.id, prompt+output, prompt)
	queued := b.spread.AddPrompt(sent, e.id, prompt)
	f.after(simTold, func() {
		for _, other := range f.boxes {
			if other != b && other.zone == b.zone {
				other.spread.AddRemotePrompt(f.clock(), e.id, prompt)
			}
		}
	})
	f.run(b, e, prompt, output, queued)
}

// run reads a prompt behind those that wait, then generates.
func (f *simFleet) run(b *simBox, e *simEngine, prompt, output int, queued float64) {
	sent, held := f.clock(), prompt+output/2
	e.waiting++
	e.readAt = max(e.readAt, f.now) + time.Duration(float64(prompt)/simReading*float64(time.Second))
	first := e.readAt - f.now + simStep
	f.after(first, func() {
		f.result.Prompts++
		if first > simTarget {
			f.result.Late++
		}
		b.spread.ObservePrefill(queued, first)
		e.waiting--
		e.running++
		e.used += held
	})
	f.after(first+time.Duration(output)*simStep, func() {
		e.running--
		e.used -= held
		b.spread.EndSend(f.clock(), e.id, sent, prompt+output)
		b.spread.Succeeded(f.clock(), e.id, first)
		b.spread.ObserveLengths(prompt, output)
	})
}
