package bench

import (
	"container/heap"
	"fmt"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/standin"
	"dillsaddle.example/dillsaddle/wire"
)

// Sizes and intervals of every replay.
const (
	boxCount        = 3
	engineCount     = 6
	slotCount       = 60
	leaseInterval   = 500 * time.Millisecond
	controlDelay    = 3 * time.Millisecond
	reportLag       = 500 * time.Millisecond
	tokensPerReport = 16
	targetStepTime  = 30 * time.Millisecond
	partitionTime   = 20 * time.Second
)

// rankRisks holds the accepted risk of running out of memory by the tier's rank, as in the
// example configurations.
var rankRisks = []float64{0.01, 0.05, 0.1}

// EngineRules returns the simulated engines' rules. Their memory is small enough to fill
// before their batch does.
func EngineRules() standin.BatchRules {
	rules := standin.DefaultBatchRules()
	rules.MemoryTokens = 32000
	rules.CacheTokens = 6000
	return rules
}

// request is the state of one arrival during a replay.
type request struct {
	arrival        *Arrival
	id             string
	seq            *standin.Sequence
	engine         string
	firstTokenAt   time.Time
	lastTokenAt    time.Time
	tokenGaps      []float64 // seconds
	stallSeconds   float64
	refused        bool // by the box's admission
	lost           bool // its engine crashed
	done           bool // the generation completed
	reportedTokens int  // tokens of which its box was informed
}

// simulation is the state of one replay.
type simulation struct {
	testCase        Case
	members         *core.List
	owners          *core.Owners
	start           time.Time
	now             time.Time
	queue           eventQueue
	engines         map[string]*simulatedEngine
	engineNames     []string
	boxes           []*admission.Model
	active          map[string]*request
	requests        []*request
	controlBytes    int
	controlMessages int
}

// Replay simulates one case of a deployment under a policy. The same seed gives the same
// outcome.
func Replay(d Deployment, c Case, p Policy, seed uint64) *Outcome {
	boxes := boxCount
	if p.Boxes > 0 {
		boxes = p.Boxes
	}
	sim := newSimulation(c, p, boxes)
	arrivals := d.Arrivals(c, d.SustainableRate(engineCount, EngineRules(), slotCount), boxes, seed)
	for i := range arrivals {
		a := &arrivals[i]
		sim.schedule(a.At, func() { sim.arrive(a, i) })
	}
	sim.scheduleFaults()
	for i := range sim.boxes {
		sim.schedule(time.Duration(i)*leaseInterval/time.Duration(boxes), func() { sim.renewLeases(i) })
	}
	end := sim.start.Add(c.Duration + drainTime)
	for sim.queue.Len() > 0 {
		next := heap.Pop(&sim.queue).(event)
		if next.at.After(end) {
			break
		}
		sim.now = next.at
		next.action()
	}
	return sim.outcome(d, p)
}

// drainTime is the time after the last arrival in which admitted requests can finish.
const drainTime = 30 * time.Second

func newSimulation(testCase Case, p Policy, boxes int) *simulation {
	sim := &simulation{
		testCase: testCase,
		start:    time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC),
		engines:  make(map[string]*simulatedEngine),
		active:   make(map[string]*request),
		members:  &core.List{Version: 1},
	}
	sim.now = sim.start
	for i := range boxes {
		sim.members.Boxes = append(sim.members.Boxes, core.Member{Name: fmt.Sprintf("box-%d", i+1)})
	}
	sim.owners = core.NewOwners(sim.members)
	for i := range engineCount {
		sim.addEngine(fmt.Sprintf("engine-%d", i+1))
	}
	for range boxes {
		rules := admission.DefaultRules()
		rules.MaxWaiting = func(string) int { return 100000 }
		rules.MaxWait = 20 * time.Second
		p.Apply(&rules, sim)
		m := admission.NewModel(admission.WithRules(rules))
		m.Step(sim.now, admission.EndpointsChanged{Names: sim.engineNames})
		sim.boxes = append(sim.boxes, m)
	}
	return sim
}

// scheduleFaults schedules the engine failure of the case, if any.
func (sim *simulation) scheduleFaults() {
	if sim.testCase.EngineFails {
		sim.schedule(sim.testCase.Duration/2, func() { sim.failEngine(sim.engines[sim.engineNames[0]]) })
	}
}

// isCutOff reports whether the partition separates a box from an owner now.
func (sim *simulation) isCutOff(box, owner string) bool {
	if !sim.testCase.IsPartitioned {
		return false
	}
	partitionStart := sim.start.Add(sim.testCase.Duration / 3)
	if sim.now.Before(partitionStart) || sim.now.After(partitionStart.Add(partitionTime)) {
		return false
	}
	firstOfSecondHalf := sim.members.Boxes[len(sim.members.Boxes)/2].Name
	return (box < firstOfSecondHalf) != (owner < firstOfSecondHalf)
}

// renewLeases requests leases from every owner, and repeats this after each lease interval.
func (sim *simulation) renewLeases(box int) {
	sim.schedule(leaseInterval, func() { sim.renewLeases(box) })
	sim.requestLeases(box)
	sim.execute(box, sim.boxes[box].Step(sim.now, admission.Ticked{}))
}

// requestLeases sends a box's current demands to the owners of all owner slots.
func (sim *simulation) requestLeases(box int) {
	m := sim.boxes[box]
	name := sim.members.Boxes[box].Name
	requestedAt := sim.now
	owners := make(map[string]*wire.LeaseRequest)
	for _, demand := range m.Demands(sim.now, true) {
		for slot := range core.SlotCount {
			sim.ask(box, name, requestedAt, demand, slot, owners)
		}
	}
	for _, ask := range owners {
		sim.countMessage(ask)
	}
}

// ask adds a demand to the request for a slot's owner, and schedules the grant and its
// arrival at the box.
func (sim *simulation) ask(box int, name string, requestedAt time.Time, demand admission.EndpointDemand, slot int, owners map[string]*wire.LeaseRequest) {
	owner := sim.owners.Of(demand.Endpoint, "", slot)
	e := sim.engines[demand.Endpoint]
	if e.hasFailed || sim.isCutOff(name, owner) {
		return
	}
	if owners[owner] == nil {
		owners[owner] = &wire.LeaseRequest{}
	}
	mean, deviation := demand.Profile.Floats()
	owners[owner].Demands = append(owners[owner].Demands, wire.LeaseDemand{
		Endpoint:  demand.Endpoint,
		Mean:      mean,
		Deviation: deviation,
		Running:   demand.Running,
		Waiting:   demand.Waiting,
	})
	sim.schedule(controlDelay, func() {
		e.shares[slot].Ownership().Step(sim.now, core.ListConfirmed{At: sim.now})
		grant := e.shares[slot].Grant(sim.now, name, demand.Demand)
		sim.countMessage(wire.LeaseGrant{
			Endpoint:       demand.Endpoint,
			OtherMean:      mean,
			OtherDeviation: deviation,
		})
		sim.schedule(controlDelay, func() {
			sim.execute(box, sim.boxes[box].Step(sim.now, admission.LeaseArrived{
				Slot:         slot,
				Lease:        core.NewLease(demand.Endpoint, requestedAt, grant.TTL, grant.Tokens, grant.Slots),
				HasOthers:    true,
				Others:       grant.Others,
				OtherRunning: grant.OtherRunning,
				Growth:       grant.Growth,
				Step:         e.visibleReport.Step,
			}))
		})
	})
}

// countMessage adds a message to the control traffic between boxes.
func (sim *simulation) countMessage(m any) {
	sim.controlBytes += wire.EncodedSize(m)
	sim.controlMessages++
}

func (sim *simulation) arrive(a *Arrival, i int) {
	r := &request{
		arrival: a,
		id:      fmt.Sprintf("r%d", i),
	}
	sim.requests = append(sim.requests, r)
	sim.active[r.id] = r
	sim.submit(r)
}

// submit passes a request to the admission of its box.
func (sim *simulation) submit(r *request) {
	a := r.arrival
	sim.execute(a.Box, sim.boxes[a.Box].Step(sim.now, admission.RequestArrived{Request: admission.Request{
		ID:           r.id,
		Customer:     a.Customer.Name,
		Class:        a.Customer.Class,
		Tier:         a.Customer.Tier,
		Rank:         a.Customer.Rank,
		Weight:       1,
		Risk:         rankRisks[a.Customer.Rank],
		PromptTokens: a.Prompt,
		MaxTokens:    a.Customer.MaxLength,
		Prefix:       a.Prefix,
		ArrivedAt:    sim.start.Add(a.At),
	}}))
}

// execute carries out the commands of a box's admission.
func (sim *simulation) execute(box int, commands []core.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case admission.PlaceRequest:
			r := sim.active[c.ID]
			r.engine = c.Endpoint
			sim.schedule(controlDelay, func() { sim.startRequest(r) })
		case admission.Wake:
			sim.schedule(c.After, func() { sim.execute(box, sim.boxes[box].Step(sim.now, admission.Ticked{})) })
		case admission.WantLeases:
			sim.requestLeases(box)
		case admission.RefuseRequest:
			sim.active[c.ID].refused = true
			delete(sim.active, c.ID)
		}
	}
}
