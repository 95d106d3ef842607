package admission

import (
	"slices"
	"strconv"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/policy"
)

// Model admits the requests for one model on one box. It holds the queue of waiting
// requests, the running generations and the leases on the model's endpoints.
type Model struct {
	rules             Rules
	estimator         *LengthEstimator
	waiting           queue
	endpoints         map[string]*endpointState // by name
	endpointNames     []string                  // endpoints that serve the model, sorted
	running           map[string]*running       // by request ID
	drainRate         drainRate
	shortestDelay     time.Duration // shortest prompt delay that holds a request back; 0 for none
	nextWakeAt        time.Time     // when the last requested wake-up is due
	leasesRequestedAt time.Time     // when WantLeases was last issued
}

// NewModel returns a model without endpoints.
func NewModel(options ...Option) *Model {
	rules := DefaultRules()
	for _, o := range options {
		o(&rules)
	}
	return &Model{
		rules:     rules,
		estimator: NewLengthEstimator(rules.ExpectTokens),
		waiting:   newQueue(),
		endpoints: make(map[string]*endpointState),
		running:   make(map[string]*running),
	}
}

// SetRules replaces the rules, also for requests that are already waiting.
func (m *Model) SetRules(rules Rules) { m.rules = rules }

// Step applies one event and returns the commands that result from it.
func (m *Model) Step(now time.Time, ev core.Event) []core.Command {
	switch e := ev.(type) {
	case RequestArrived:
		return m.handleArrival(now, e.Request)
	case RequestWithdrawn:
		m.waiting.remove(e.ID, e.Customer)
	case LeaseArrived:
		m.handleLease(e)
		return m.dispatch(now)
	case TokensMade:
		m.handleProgress(e)
	case GenerationEnded:
		m.handleEnd(e)
		return m.dispatch(now)
	case GenerationTakenOver:
		m.handleTakeover(e)
	case PrefixCached:
		m.handlePrefix(e)
	case EndpointsChanged:
		m.handleEndpoints(e.Names)
	case Ticked:
		return m.tick(now)
	}
	return nil
}

// Waiting returns the number of waiting requests.
func (m *Model) Waiting() int { return m.waiting.length }

// Running returns the number of generations that this box runs.
func (m *Model) Running() int { return len(m.running) }

// WaitingByTier returns the number of waiting requests of each tier.
func (m *Model) WaitingByTier() map[string]int {
	count := make(map[string]int)
	for _, line := range m.waiting.byCustomer {
		for _, r := range line {
			count[r.Tier]++
		}
	}
	return count
}

// handleEndpoints replaces the endpoints that serve the model. The state of a removed endpoint
// is kept while generations run there.
func (m *Model) handleEndpoints(endpointNames []string) {
	m.endpointNames = slices.Sorted(slices.Values(endpointNames))
	for _, name := range m.endpointNames {
		if m.endpoints[name] == nil {
			m.endpoints[name] = newEndpointState(name)
		}
	}
	for name, p := range m.endpoints {
		if !slices.Contains(m.endpointNames, name) && len(p.running) == 0 {
			delete(m.endpoints, name)
		}
	}
}

func (m *Model) handleLease(e LeaseArrived) {
	p := m.endpoints[e.Lease.Endpoint]
	if p == nil {
		return
	}
	p.leases[e.Slot] = e.Lease
	p.growths[e.Slot] = float64(e.Growth)
	if e.HasOthers {
		p.others = e.Others
	}
	p.othersRunning = e.OtherRunning
	p.step = e.Step
	p.recomputeOwn(m.profile)
}

// profile returns the memory profile of a running generation at its current length.
func (m *Model) profile(r *running) Profile {
	return m.plan(&r.request, r.generated)
}

// plan returns the memory profile that is assumed for a request.
func (m *Model) plan(r *Request, generated int) Profile {
	if m.rules.KnownLength != nil {
		return knownLengthProfile(r.PromptTokens, generated, m.rules.KnownLength(r.ID))
	}
	if m.rules.ReserveMaxLength {
		return reservedProfile(r.PromptTokens, r.MaxTokens)
	}
	return profileOf(m.estimator.Curve(r.key()), r.PromptTokens, generated, r.MaxTokens)
}

func (m *Model) handleProgress(e TokensMade) {
	r := m.running[e.ID]
	if r == nil || e.Generated <= r.generated {
		return
	}
	m.estimator.ObserveProgress(r.request.key(), r.generated, e.Generated)
	m.waiting.addServed(r.request.Customer, float64(e.Generated-r.generated), r.request.Weight)
	r.generated = e.Generated
}

func (m *Model) handleEnd(e GenerationEnded) {
	r := m.running[e.ID]
	if r == nil {
		return
	}
	m.handleProgress(TokensMade{
		ID:        e.ID,
		Generated: e.Generated,
	})
	if e.Whole {
		m.estimator.ObserveEnd(r.request.key(), e.Generated)
	}
	delete(m.running, e.ID)
	if p := m.endpoints[r.endpoint]; p != nil {
		p.remove(r)
	}
}

func (m *Model) handleTakeover(e GenerationTakenOver) {
	p := m.endpoints[e.Endpoint]
	if p == nil {
		p = newEndpointState(e.Endpoint)
		m.endpoints[e.Endpoint] = p
	}
	r := &running{
		request:   e.Request,
		endpoint:  e.Endpoint,
		generated: e.Generated,
	}
	r.profile = m.profile(r)
	m.running[e.Request.ID] = r
	p.add(r)
}

func (m *Model) handlePrefix(e PrefixCached) {
	p := m.endpoints[e.Endpoint]
	if p == nil {
		return
	}
	if e.Dropped {
		p.prefixes.remove(e.Prefix)
		return
	}
	p.prefixes.add(e.Prefix)
}

func (m *Model) handleArrival(now time.Time, r Request) []core.Command {
	if m.waiting.waitingOf(r.Customer) >= m.rules.MaxWaiting(r.Customer) {
		return []core.Command{m.refusal(&r, RefuseTooManyWaiting)}
	}
	in := m.policyInput(now, &r)
	commands := m.rank(&r, in)
	if verdict, failed := m.verdict(&r, in); verdict == policy.Refuse {
		return append(append(commands, failed...), m.refusal(&r, RefusePolicy))
	}
	if m.expectedWait(&r) > m.rules.MaxWait {
		return append(commands, m.refusal(&r, RefuseOverload))
	}
	m.waiting.push(&r)
	commands = append(commands, m.dispatch(now)...)
	if m.waiting.length > 0 && now.Sub(m.leasesRequestedAt) >= leaseRequestInterval {
		m.leasesRequestedAt = now
		commands = append(commands, WantLeases{})
	}
	return commands
}

// leaseRequestInterval is the minimum interval between two WantLeases commands.
const leaseRequestInterval = 100 * time.Millisecond

// rank sets a request's order in the queue from the tier's policy program, or from the
// tier's rank if there is no program or it fails.
func (m *Model) rank(r *Request, in *policy.Input) []core.Command {
	r.order = float64(r.Rank)
	program := m.rules.Program(r.Tier)
	if program == nil {
		return nil
	}
	rank, err := program.Rank(in)
	if err != nil {
		return []core.Command{PolicyFailed{
			Tier:  r.Tier,
			Cause: err,
		}}
	}
	r.order = rank
	return nil
}

// verdict evaluates the tier's policy program. If there is none or it fails, a request runs
// if it fits and waits otherwise.
func (m *Model) verdict(r *Request, in *policy.Input) (policy.Verdict, []core.Command) {
	program := m.rules.Program(r.Tier)
	if program == nil {
		return fallbackVerdict(in), nil
	}
	verdict, err := program.Decide(in)
	if err != nil {
		return fallbackVerdict(in), []core.Command{PolicyFailed{
			Tier:  r.Tier,
			Cause: err,
		}}
	}
	return verdict, nil
}

func fallbackVerdict(in *policy.Input) policy.Verdict {
	if in.Fits {
		return policy.Run
	}
	return policy.Wait
}

// policyInput returns the input of a policy program for a request.
func (m *Model) policyInput(now time.Time, r *Request) *policy.Input {
	curve := m.estimator.Curve(r.key())
	_, fits := m.chooseEndpoint(now, r)
	return &policy.Input{
		Customer:      r.Customer,
		Class:         r.Class,
		Tier:          r.Tier,
		TierRank:      int64(r.Rank),
		PromptTokens:  int64(r.PromptTokens),
		ExpectTokens:  int64(curve.Remaining(0, r.MaxTokens)),
		FreeShare:     1 - m.meanLoad(now),
		WaitSeconds:   now.Sub(r.ArrivedAt).Seconds(),
		WaitingAhead:  int64(m.waiting.ahead(float64(r.Rank))),
		CustomerShare: m.customerShare(r.Customer),
		Fits:          fits,
	}
}

// customerShare returns the fraction of the running generations that are a customer's.
func (m *Model) customerShare(customer string) float64 {
	if len(m.running) == 0 {
		return 0
	}
	n := 0
	for _, r := range m.running {
		if r.request.Customer == customer {
			n++
		}
	}
	return float64(n) / float64(len(m.running))
}

// meanLoad returns the average load of the endpoints that have a usable lease, at most 1.
func (m *Model) meanLoad(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, name := range m.endpointNames {
		p := m.endpoints[name]
		if r := p.capacity(now); r.tokens > 0 {
			sum += p.load(r)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return min(1, sum/float64(n))
}

// Explain returns the input that a policy program would get for a request now.
func (m *Model) Explain(now time.Time, r Request) *policy.Input { return m.policyInput(now, &r) }

// tick refuses the requests at the heads of the customers' queues that have waited longer
// than MaxWait, then dispatches.
func (m *Model) tick(now time.Time) []core.Command {
	var commands []core.Command
	m.drainRate.tick(now)
	for _, head := range m.waiting.heads() {
		if now.Sub(head.ArrivedAt) > m.rules.MaxWait {
			m.waiting.remove(head.ID, head.Customer)
			commands = append(commands, m.refusal(head, RefuseTimeout))
		}
	}
	return append(commands, m.dispatch(now)...)
}

// String returns a summary for logs.
func (m *Model) String() string {
	return strconv.Itoa(m.waiting.length) + " waiting, " + strconv.Itoa(len(m.running)) + " running"
}
