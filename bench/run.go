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

// The fixed sizes of a run.
const (
	boxCount     = 3
	engineCount  = 6
	slotCount    = 60
	leaseEvery   = 500 * time.Millisecond
	controlDelay = 3 * time.Millisecond
	reportLag    = 500 * time.Millisecond
	reportEvery  = 16
	targetStep   = 30 * time.Millisecond
	cutFor       = 20 * time.Second
)

// tierRisks are the risks of the tiers by rank, as the examples' configurations
// have them.
var tierRisks = []float64{0.01, 0.05, 0.1}

// EngineRules are the engines of a run; memory binds before the batch does.
func EngineRules() standin.BatchRules {
	rules := standin.DefaultBatchRules()
	rules.MemoryTokens = 32000
	rules.CacheTokens = 6000
	return rules
}

// request is one arrival on its way through a run.
type request struct {
	arrival *Arrival
	id      string
	seq     *standin.Sequence
	engine  string
	first   time.Time
	last    time.Time
	gaps    []float64 // seconds between tokens
	stall   float64
	refused bool
	lost    bool
	done    bool
	counted int
}

// run is one replay.
type run struct {
	c        Case
	list     *core.List
	owners   *core.Owners
	start    time.Time
	now      time.Time
	queue    events
	engines  map[string]*engineRun
	names    []string
	boxes    []*admission.Model
	live     map[string]*request
	all      []*request
	bytes    int
	messages int
}

// Replay runs one deployment, case and policy.
func Replay(d Deployment, c Case, p Policy, seed uint64) *Outcome {
	boxes := boxCount
	if p.Boxes > 0 {
		boxes = p.Boxes
	}
	n := newRun(c, p, boxes)
	arrivals := d.Arrivals(c, d.Rate(engineCount, EngineRules(), slotCount), boxes, seed)
	for i := range arrivals {
		a := &arrivals[i]
		n.after(a.At, func() { n.arrive(a, i) })
	}
	n.disturb()
	for i := range n.boxes {
		n.after(time.Duration(i)*leaseEvery/time.Duration(boxes), func() { n.renew(i) })
	}
	end := n.start.Add(c.Duration + drainTime)
	for n.queue.Len() > 0 {
		next := heap.Pop(&n.queue).(event)
		if next.at.After(end) {
			break
		}
		n.now = next.at
		next.do()
	}
	return n.outcome(d, p)
}

// drainTime lets what was admitted end after the last arrival.
const drainTime = 30 * time.Second

func newRun(c Case, p Policy, boxes int) *run {
	n := &run{
		c:       c,
		start:   time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC),
		engines: make(map[string]*engineRun),
		live:    make(map[string]*request),
		list:    &core.List{Version: 1},
	}
	n.now = n.start
	for i := range boxes {
		n.list.Boxes = append(n.list.Boxes, core.Member{Name: fmt.Sprintf("box-%d", i+1)})
	}
	n.owners = core.NewOwners(n.list)
	for i := range engineCount {
		n.addEngine(fmt.Sprintf("engine-%d", i+1))
	}
	for range boxes {
		rules := admission.DefaultRules()
		rules.MaxWaiting = func(string) int { return 100000 }
		rules.MaxWait = 20 * time.Second
		p.Change(&rules, n)
		m := admission.NewModel(admission.WithRules(rules))
		m.Step(n.now, admission.EndpointsChanged{Names: n.names})
		n.boxes = append(n.boxes, m)
	}
	return n
}

// disturb arranges what goes wrong in the case.
func (n *run) disturb() {
	if n.c.Death {
		n.after(n.c.Duration/2, func() { n.kill(n.engines[n.names[0]]) })
	}
}

// cutOff reports whether a box can't reach an owner now.
func (n *run) cutOff(box, owner string) bool {
	if !n.c.Cut {
		return false
	}
	began := n.start.Add(n.c.Duration / 3)
	if n.now.Before(began) || n.now.After(began.Add(cutFor)) {
		return false
	}
	half := n.list.Boxes[len(n.list.Boxes)/2].Name
	return (box < half) != (owner < half)
}

// renew asks every owner for leases, as an entry does.
func (n *run) renew(box int) {
	n.after(leaseEvery, func() { n.renew(box) })
	n.askOwners(box)
	n.perform(box, n.boxes[box].Step(n.now, admission.Ticked{}))
}

func (n *run) askOwners(box int) {
	m := n.boxes[box]
	name := n.list.Boxes[box].Name
	asked := n.now
	owners := make(map[string]*wire.LeaseRequest)
	for _, w := range m.Demands(n.now, true) {
		for slot := range core.SlotCount {
			n.ask(box, name, asked, w, slot, owners)
		}
	}
	for _, ask := range owners {
		n.count(ask)
	}
}

func (n *run) ask(box int, name string, asked time.Time, w admission.EndpointDemand, slot int, owners map[string]*wire.LeaseRequest) {
	owner := n.owners.Of(w.Endpoint, "", slot)
	e := n.engines[w.Endpoint]
	if e.dead || n.cutOff(name, owner) {
		return
	}
	if owners[owner] == nil {
		owners[owner] = &wire.LeaseRequest{}
	}
	mean, deviation := w.Profile.Floats()
	owners[owner].Demands = append(owners[owner].Demands, wire.LeaseDemand{
		Endpoint:  w.Endpoint,
		Mean:      mean,
		Deviation: deviation,
		Running:   w.Running,
		Waiting:   w.Waiting,
	})
	n.after(controlDelay, func() {
		e.shares[slot].Ownership().Step(n.now, core.ListConfirmed{At: n.now})
		g := e.shares[slot].Grant(n.now, name, w.Demand)
		n.count(wire.LeaseGrant{
			Endpoint:       w.Endpoint,
			OtherMean:      mean,
			OtherDeviation: deviation,
		})
		n.after(controlDelay, func() {
			n.perform(box, n.boxes[box].Step(n.now, admission.LeaseArrived{
				Slot:         slot,
				Lease:        core.NewLease(w.Endpoint, asked, g.TTL, g.Tokens, g.Slots),
				HasOthers:    true,
				Others:       g.Others,
				OtherRunning: g.OtherRunning,
				Growth:       g.Growth,
				Step:         e.reported.Step,
			}))
		})
	})
}

// count adds a control message to the bytes that boxes exchange.
func (n *run) count(m any) {
	n.bytes += wire.EncodedSize(m)
	n.messages++
}

func (n *run) arrive(a *Arrival, i int) {
	r := &request{
		arrival: a,
		id:      fmt.Sprintf("r%d", i),
	}
	n.all = append(n.all, r)
	n.live[r.id] = r
	n.submit(r)
}

func (n *run) submit(r *request) {
	a := r.arrival
	n.perform(a.Box, n.boxes[a.Box].Step(n.now, admission.RequestArrived{Request: admission.Request{
		ID:           r.id,
		Customer:     a.Customer.Name,
		Class:        a.Customer.Class,
		Tier:         a.Customer.Tier,
		Rank:         a.Customer.Rank,
		Weight:       1,
		Risk:         tierRisks[a.Customer.Rank],
		PromptTokens: a.Prompt,
		MaxTokens:    a.Customer.Most,
		Prefix:       a.Prefix,
		ArrivedAt:    n.start.Add(a.At),
	}}))
}

func (n *run) perform(box int, commands []core.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case admission.PlaceRequest:
			r := n.live[c.ID]
			r.engine = c.Endpoint
			n.after(controlDelay, func() { n.startOn(r) })
		case admission.Wake:
			n.after(c.After, func() { n.perform(box, n.boxes[box].Step(n.now, admission.Ticked{})) })
		case admission.WantLeases:
			n.askOwners(box)
		case admission.RefuseRequest:
			n.live[c.ID].refused = true
			delete(n.live, c.ID)
		}
	}
}
