package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/policy"
	"dillsaddle.example/dillsaddle/trace"
	"dillsaddle.example/dillsaddle/watch"
	"dillsaddle.example/dillsaddle/wire"
)

// A box uses only a subset of each model's endpoints, so that its lease traffic is
// independent of the fleet size: maxLeasedEndpoints divided by the number of models, but
// from minSubset to maxSubset per model.
const (
	maxLeasedEndpoints = 96
	minSubset          = 3
	maxSubset          = 16
)

func subsetSize(models int) int {
	return min(maxSubset, max(minSubset, maxLeasedEndpoints/max(1, models)))
}

// model holds a box's admission state of one model. mu guards all mutable fields.
type model struct {
	name          string
	mu            sync.Mutex
	core          *admission.Model
	waiters       map[string]chan core.Command // by request ID
	recorder      *trace.Recorder
	until         map[string]time.Time // lease expiry by endpoint
	requestLeases func()
}

func (e *Entry) modelOf(name string) *model {
	return e.models.GetOrCreate(name, func() *model {
		m := &model{
			name:          name,
			core:          admission.NewModel(),
			waiters:       make(map[string]chan core.Command),
			recorder:      e.recorder,
			until:         make(map[string]time.Time),
			requestLeases: func() { go e.renewModels(context.Background(), name) },
		}
		rules := admission.DefaultRules()
		m.recorder.Event(time.Now(), trace.Model+name, trace.ModelBegun{
			ExpectTokens: rules.ExpectTokens,
			MaxWait:      rules.MaxWait,
		})
		return m
	})
}

// step applies an event and passes each resulting answer to the waiting request.
func (m *model) step(now time.Time, ev core.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorder.Event(now, trace.Model+m.name, ev)
	for _, command := range m.core.Step(now, ev) {
		switch c := command.(type) {
		case admission.PlaceRequest:
			m.reply(c.ID, c)
		case admission.RefuseRequest:
			m.reply(c.ID, c)
		case admission.Wake:
			time.AfterFunc(c.After, func() { m.step(time.Now(), admission.Ticked{}) })
		case admission.WantLeases:
			m.requestLeases()
		case admission.PolicyFailed:
			policyFailures.Inc()
		}
	}
}

func (m *model) reply(id string, c core.Command) {
	waiter := m.waiters[id]
	delete(m.waiters, id)
	if waiter != nil {
		waiter <- c
	}
}

// enqueue submits a request and returns the channel that receives its answer.
func (m *model) enqueue(now time.Time, r admission.Request) <-chan core.Command {
	waiter := make(chan core.Command, 1)
	m.mu.Lock()
	m.waiters[r.ID] = waiter
	m.mu.Unlock()
	m.step(now, admission.RequestArrived{Request: r})
	return waiter
}

// withdraw removes a waiting request. If the request was placed in the meantime, its
// placement is ended.
func (m *model) withdraw(now time.Time, id, customer string, waiter <-chan core.Command) {
	m.step(now, admission.RequestWithdrawn{
		ID:       id,
		Customer: customer,
	})
	m.mu.Lock()
	delete(m.waiters, id)
	m.mu.Unlock()
	select {
	case c := <-waiter:
		if _, placed := c.(admission.PlaceRequest); placed {
			m.step(now, admission.GenerationEnded{ID: id})
		}
	default:
	}
}

func (m *model) hasLease(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, until := range m.until {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// applyView updates the rules and endpoints of every model from a new view.
func (e *Entry) applyView(v watch.View) {
	if v.Document == nil || v.List == nil {
		return
	}
	now := time.Now()
	self := &core.Member{
		Name:   e.settings.Name,
		Zone:   e.settings.Zone,
		Region: e.settings.Region,
	}
	for i := range v.Document.Models {
		settings := &v.Document.Models[i]
		m := e.modelOf(settings.Name)
		names := selectEndpoints(v, self, settings.Name)
		m.mu.Lock()
		m.core.SetRules(admissionRules(v.Document, settings))
		m.mu.Unlock()
		m.step(now, admission.EndpointsChanged{Names: names})
	}
}

// selectEndpoints returns the subset of a model's endpoints that a box uses. Half are in the
// box's availability zone and half in the rest of its region, ranked by rendezvous hashing.
// If there are too few, more endpoints of the zone and then of other regions are added.
func selectEndpoints(v watch.View, self *core.Member, model string) []string {
	regions := make(map[string]string)
	for i := range v.List.Boxes {
		regions[v.List.Boxes[i].Zone] = v.List.Boxes[i].Region
	}
	var zone, region, rest []string
	for i := range v.Document.Endpoints {
		c := &v.Document.Endpoints[i]
		switch {
		case !slices.Contains(c.Models, model):
		case c.Zone == self.Zone:
			zone = append(zone, c.Name)
		case regions[c.Zone] == self.Region:
			region = append(region, c.Name)
		default:
			rest = append(rest, c.Name)
		}
	}
	size := subsetSize(len(v.Document.Models))
	chosen := core.TopByScore(self.Name, zone, (size+1)/2)
	chosen = append(chosen, core.TopByScore(self.Name, region, size-len(chosen))...)
	for _, more := range [][]string{zone, rest} {
		for _, name := range core.TopByScore(self.Name, more, len(more)) {
			if len(chosen) < size && !slices.Contains(chosen, name) {
				chosen = append(chosen, name)
			}
		}
	}
	return chosen
}

func admissionRules(d *config.Document, m *config.Model) admission.Rules {
	rules := admission.DefaultRules()
	rules.ExpectTokens = m.ExpectTokens
	rules.MaxWait = d.Limits.MaxWait
	rules.MaxWaiting = func(customer string) int {
		if c := d.Customer(customer); c != nil {
			return c.MaxWaiting
		}
		return 0
	}
	rules.Program = func(tier string) *policy.Program {
		t := d.Tier(tier)
		if t == nil {
			return nil
		}
		if p := d.Policy(t.Policy); p != nil {
			return p.Program
		}
		return nil
	}
	return rules
}

// renewLeases requests leases at an interval until the context ends.
func (e *Entry) renewLeases(ctx context.Context) {
	tick := time.NewTicker(e.settings.LeaseInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.renewAll(ctx)
			e.models.Each(func(_ string, m *model) { m.step(time.Now(), admission.Ticked{}) })
		case <-ctx.Done():
			return
		}
	}
}

// renewModels sends one lease request to each owner, with a demand for each owner slot.
// Leases that are not due yet are requested only while the byte budget lasts.
func (e *Entry) renewModels(ctx context.Context, models ...string) {
	v := e.state.View()
	if v.Document == nil || v.List == nil {
		return
	}
	eager := e.leaseByteBudget.isAvailable(time.Now())
	requests := make(map[string]*wire.LeaseRequest)
	for _, name := range models {
		e.demands(v, name, eager, requests)
	}
	for owner, request := range requests {
		e.leaseByteBudget.charge(len(request.Demands) * demandBytes)
		if member := v.List.Member(owner); member != nil {
			go e.sendLeaseRequest(ctx, *member, *request)
		}
	}
}

func (e *Entry) renewAll(ctx context.Context) {
	d := e.state.View().Document
	if d == nil {
		return
	}
	names := make([]string, 0, len(d.Models))
	for i := range d.Models {
		names = append(names, d.Models[i].Name)
	}
	e.renewModels(ctx, names...)
}

func (e *Entry) demands(v watch.View, modelName string, eager bool, requests map[string]*wire.LeaseRequest) {
	m := e.modelOf(modelName)
	m.mu.Lock()
	demands := m.core.Demands(time.Now(), eager)
	m.mu.Unlock()
	for _, w := range demands {
		for slot := range core.SlotCount {
			owner := e.owners.Of(v, w.Endpoint, slot)
			if requests[owner] == nil {
				requests[owner] = &wire.LeaseRequest{Box: e.self}
			}
			requests[owner].Demands = append(requests[owner].Demands, newLeaseDemand(modelName, w, slot))
		}
	}
}

func newLeaseDemand(model string, w admission.EndpointDemand, slot int) wire.LeaseDemand {
	mean, deviation := w.Profile.Floats()
	return wire.LeaseDemand{
		Endpoint:  w.Endpoint,
		Slot:      slot,
		Model:     model,
		Mean:      mean,
		Deviation: deviation,
		Running:   w.Running,
		Waiting:   w.Waiting,
		Rank:      w.Rank,

		WantOtherUsage: slot == w.ReportingSlot,
	}
}

func (e *Entry) sendLeaseRequest(ctx context.Context, owner core.Member, request wire.LeaseRequest) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	requestedAt := time.Now()
	answer, err := wire.Request[wire.LeaseGrants](ctx, e.pool, owner.Scheduler, request)
	if err != nil {
		leaseFaults.Inc()
		return
	}
	for _, g := range answer.Grants {
		e.applyLeaseGrant(requestedAt, g)
	}
}

func (e *Entry) applyLeaseGrant(requestedAt time.Time, g wire.LeaseGrant) {
	m := e.modelOf(g.Model)
	lease := core.NewLease(g.Endpoint, requestedAt, g.TTL, g.Tokens, g.Slots)
	m.mu.Lock()
	m.until[g.Endpoint] = lease.Until
	m.mu.Unlock()
	m.step(time.Now(), admission.LeaseArrived{
		Slot:         g.Slot,
		Lease:        lease,
		HasOthers:    g.HasOthers,
		Others:       admission.ProfileFrom(g.OtherMean, g.OtherDeviation),
		OtherRunning: g.OtherRunning,
		Growth:       g.Growth,
		Step:         g.Step,
	})
	for _, h := range g.Hints {
		m.step(time.Now(), admission.PrefixCached{
			Endpoint: g.Endpoint,
			Prefix:   h.Prefix,
			Dropped:  h.Dropped,
		})
	}
}
