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
	n := newSimulation(c, p, boxes)
	arrivals := d.Arrivals(c, d.SustainableRate(engineCount, EngineRules(), slotCount), boxes, seed)
	for i := range arrivals {
		a := &arrivals[i]
		n.schedule(a.At, func() { n.arrive(a, i) })
	}
	n.scheduleFaults()
	for i := range n.boxes {
		n.schedule(time.Duration(i)*leaseInterval/time.Duration(boxes), func() { n.renewLeases(i) })
	}
	end := n.start.Add(c.Duration + drainTime)
	for n.queue.Len() > 0 {
		next := heap.Pop(&n.queue).(event)
		if next.at.After(end) {
			break
		}
		n.now = next.at
		next.action()
	}
	return n.outcome(d, p)
}

// drainTime is the time after the last arrival in which admitted requests can finish.
const drainTime = 30 * time.Second

func newSimulation(testCase Case, p Policy, boxes int) *simulation {
	n := &simulation{
		testCase: testCase,
		start:    time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC),
		engines:  make(map[string]*simulatedEngine),
		active:   make(map[string]*request),
		members:  &core.List{Version: 1},
	}
	n.now = n.start
	for i := range boxes {
		n.members.Boxes = append(n.members.Boxes, core.Member{Name: fmt.Sprintf("box-%d", i+1)})
	}
	n.owners = core.NewOwners(n.members)
	for i := range engineCount {
		n.addEngine(fmt.Sprintf("engine-%d", i+1))
	}
	for range boxes {
		rules := admission.DefaultRules()
		rules.MaxWaiting = func(string) int { return 100000 }
		rules.MaxWait = 20 * time.Second
		p.Apply(&rules, n)
		m := admission.NewModel(admission.WithRules(rules))
		m.Step(n.now, admission.EndpointsChanged{Names: n.engineNames})
		n.boxes = append(n.boxes, m)
	}
	return n
}

// scheduleFaults schedules the engine failure of the case, if any.
func (n *simulation) scheduleFaults() {
	if n.testCase.EngineFails {
		n.schedule(n.testCase.Duration/2, func() { n.failEngine(n.engines[n.engineNames[0]]) })
	}
}

// isCutOff reports whether the partition separates a box from an owner now.
func (n *simulation) isCutOff(box, owner string) bool {
	if !n.testCase.IsPartitioned {
		return false
	}
	partitionStart := n.start.Add(n.testCase.Duration / 3)
	if n.now.Before(partitionStart) || n.now.After(partitionStart.Add(partitionTime)) {
		return false
	}
	firstOfSecondHalf := n.members.Boxes[len(n.members.Boxes)/2].Name
	return (box < firstOfSecondHalf) != (owner < firstOfSecondHalf)
}

// renewLeases requests leases from every owner, and repeats this at every lease interval.
func (n *simulation) renewLeases(box int) {
	n.schedule(leaseInterval, func() { n.renewLeases(box) })
	n.requestLeases(box)
	n.execute(box, n.boxes[box].Step(n.now, admission.Ticked{}))
}

// requestLeases sends a box's current demands to the owners of all owner slots.
func (n *simulation) requestLeases(box int) {
	m := n.boxes[box]
	name := n.members.Boxes[box].Name
	requestedAt := n.now
	owners := make(map[string]*wire.LeaseRequest)
	for _, demand := range m.Demands(n.now, true) {
		for slot := range core.SlotCount {
			n.ask(box, name, requestedAt, demand, slot, owners)
		}
	}
	for _, ask := range owners {
		n.countMessage(ask)
	}
}

// ask adds a demand to the request for a slot's owner, and schedules the grant and its
// arrival at the box.
func (n *simulation) ask(box int, name string, requestedAt time.Time, demand admission.EndpointDemand, slot int, owners map[string]*wire.LeaseRequest) {
	owner := n.owners.Of(demand.Endpoint, "", slot)
	e := n.engines[demand.Endpoint]
	if e.hasFailed || n.isCutOff(name, owner) {
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
	n.schedule(controlDelay, func() {
		e.shares[slot].Ownership().Step(n.now, core.ListConfirmed{At: n.now})
		grant := e.shares[slot].Grant(n.now, name, demand.Demand)
		n.countMessage(wire.LeaseGrant{
			Endpoint:       demand.Endpoint,
			OtherMean:      mean,
			OtherDeviation: deviation,
		})
		n.schedule(controlDelay, func() {
			n.execute(box, n.boxes[box].Step(n.now, admission.LeaseArrived{
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
func (n *simulation) countMessage(m any) {
	n.controlBytes += wire.EncodedSize(m)
	n.controlMessages++
}

func (n *simulation) arrive(a *Arrival, i int) {
	r := &request{
		arrival: a,
		id:      fmt.Sprintf("r%d", i),
	}
	n.requests = append(n.requests, r)
	n.active[r.id] = r
	n.submit(r)
}

// submit passes a request to the admission of its box.
func (n *simulation) submit(r *request) {
	a := r.arrival
	n.execute(a.Box, n.boxes[a.Box].Step(n.now, admission.RequestArrived{Request: admission.Request{
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
		ArrivedAt:    n.start.Add(a.At),
	}}))
}

// execute carries out the commands of a box's admission.
func (n *simulation) execute(box int, commands []core.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case admission.PlaceRequest:
			r := n.active[c.ID]
			r.engine = c.Endpoint
			n.schedule(controlDelay, func() { n.startRequest(r) })
		case admission.Wake:
			n.schedule(c.After, func() { n.execute(box, n.boxes[box].Step(n.now, admission.Ticked{})) })
		case admission.RenewLeases:
			n.requestLeases(box)
		case admission.RefuseRequest:
			n.active[c.ID].refused = true
			delete(n.active, c.ID)
		}
	}
}
