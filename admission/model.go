package admission

import (
	"slices"
	"strconv"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/policy"
)

// Model admits the requests for one model on one box.
type Model struct {
	rules     Rules
	estimator *LengthEstimator
	waiting   queue
	places    map[string]*place
	names     []string
	running   map[string]*running
	rate      rate
	wake      time.Duration
	wakeAt    time.Time
	wantedAt  time.Time
}

// NewModel starts with no endpoint.
func NewModel(options ...Option) *Model {
	rules := DefaultRules()
	for _, o := range options {
		o(&rules)
	}
	return &Model{
		rules:     rules,
		estimator: NewLengthEstimator(rules.ExpectTokens),
		waiting:   newQueue(),
		places:    make(map[string]*place),
		running:   make(map[string]*running),
	}
}

// SetRules puts new rules in force for what arrives and waits from now on.
func (m *Model) SetRules(rules Rules) { m.rules = rules }

// Step applies one event.
func (m *Model) Step(now time.Time, ev core.Event) []core.Command {
	switch e := ev.(type) {
	case RequestArrived:
		return m.arrived(now, e.Request)
	case RequestWithdrawn:
		m.waiting.remove(e.ID, e.Customer)
	case LeaseArrived:
		m.leased(e)
		return m.pump(now)
	case TokensMade:
		m.progressed(e)
	case GenerationEnded:
		m.ended(e)
		return m.pump(now)
	case GenerationTakenOver:
		m.takenOver(e)
	case PrefixCached:
		m.prefixCached(e)
	case EndpointsChanged:
		m.endpointsChanged(e.Names)
	case Ticked:
		return m.tick(now)
	}
	return nil
}

// Waiting counts the requests that wait.
func (m *Model) Waiting() int { return m.waiting.length }

// Running counts the generations that run for this box.
func (m *Model) Running() int { return len(m.running) }

// WaitingByTier counts the requests that wait, by tier.
func (m *Model) WaitingByTier() map[string]int {
	count := make(map[string]int)
	for _, line := range m.waiting.lines {
		for _, r := range line {
			count[r.Tier]++
		}
	}
	return count
}

func (m *Model) endpointsChanged(names []string) {
	m.names = slices.Sorted(slices.Values(names))
	for _, name := range m.names {
		if m.places[name] == nil {
			m.places[name] = newPlace(name)
		}
	}
	for name, p := range m.places {
		if !slices.Contains(m.names, name) && len(p.running) == 0 {
			delete(m.places, name)
		}
	}
}

func (m *Model) leased(e LeaseArrived) {
	p := m.places[e.Lease.Endpoint]
	if p == nil {
		return
	}
	p.leases[e.Slot] = e.Lease
	p.growths[e.Slot] = float64(e.Growth)
	if e.HasOthers {
		p.others = e.Others
	}
	p.otherRun = e.OtherRunning
	p.step = e.Step
	p.refresh(m.profile)
}

func (m *Model) profile(r *running) Profile {
	return m.plan(&r.request, r.generated)
}

// plan is the memory profile by which a request is admitted.
func (m *Model) plan(r *Request, generated int) Profile {
	if m.rules.KnownLength != nil {
		return fixedProfile(r.PromptTokens, generated, m.rules.KnownLength(r.ID))
	}
	if m.rules.ReserveMaxLength {
		return reservedProfile(r.PromptTokens, r.MaxTokens)
	}
	return profileOf(m.estimator.Curve(r.key()), r.PromptTokens, generated, r.MaxTokens)
}

func (m *Model) progressed(e TokensMade) {
	r := m.running[e.ID]
	if r == nil || e.Generated <= r.generated {
		return
	}
	m.estimator.ObserveProgress(r.request.key(), r.generated, e.Generated)
	m.waiting.serve(r.request.Customer, float64(e.Generated-r.generated), r.request.Weight)
	r.generated = e.Generated
}

func (m *Model) ended(e GenerationEnded) {
	r := m.running[e.ID]
	if r == nil {
		return
	}
	m.progressed(TokensMade{
		ID:        e.ID,
		Generated: e.Generated,
	})
	if e.Whole {
		m.estimator.ObserveEnd(r.request.key(), e.Generated)
	}
	delete(m.running, e.ID)
	if p := m.places[r.endpoint]; p != nil {
		p.drop(r)
	}
}

func (m *Model) takenOver(e GenerationTakenOver) {
	p := m.places[e.Endpoint]
	if p == nil {
		p = newPlace(e.Endpoint)
		m.places[e.Endpoint] = p
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

func (m *Model) prefixCached(e PrefixCached) {
	p := m.places[e.Endpoint]
	if p == nil {
		return
	}
	if e.Dropped {
		p.prefixes.drop(e.Prefix)
		return
	}
	p.prefixes.add(e.Prefix)
}

func (m *Model) arrived(now time.Time, r Request) []core.Command {
	if m.waiting.waitingOf(r.Customer) >= m.rules.MaxWaiting(r.Customer) {
		return []core.Command{m.refusal(&r, RefuseTooManyWaiting)}
	}
	in := m.input(now, &r)
	commands := m.rank(&r, in)
	if verdict, failed := m.verdict(&r, in); verdict == policy.Refuse {
		return append(append(commands, failed...), m.refusal(&r, RefusePolicy))
	}
	if m.expectedWait(&r) > m.rules.MaxWait {
		return append(commands, m.refusal(&r, RefuseOverload))
	}
	m.waiting.push(&r)
	commands = append(commands, m.pump(now)...)
	if m.waiting.length > 0 && now.Sub(m.wantedAt) >= wantPause {
		m.wantedAt = now
		commands = append(commands, WantLeases{})
	}
	return commands
}

// wantPause is the least time between two wishes out of turn.
const wantPause = 100 * time.Millisecond

// rank sets a request's place in the order; a program that fails falls back to
// its tier's rank.
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

func (m *Model) verdict(r *Request, in *policy.Input) (policy.Verdict, []core.Command) {
	program := m.rules.Program(r.Tier)
	if program == nil {
		return fallback(in), nil
	}
	verdict, err := program.Decide(in)
	if err != nil {
		return fallback(in), []core.Command{PolicyFailed{
			Tier:  r.Tier,
			Cause: err,
		}}
	}
	return verdict, nil
}

func fallback(in *policy.Input) policy.Verdict {
	if in.Fits {
		return policy.Run
	}
	return policy.Wait
}

func (m *Model) input(now time.Time, r *Request) *policy.Input {
	curve := m.estimator.Curve(r.key())
	_, fits := m.choose(now, r)
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

func (m *Model) meanLoad(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, name := range m.names {
		p := m.places[name]
		if r := p.room(now); r.tokens > 0 {
			sum += p.load(r)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return min(1, sum/float64(n))
}

// Explain gives what the programs would see of a request now.
func (m *Model) Explain(now time.Time, r Request) *policy.Input { return m.input(now, &r) }

func (m *Model) tick(now time.Time) []core.Command {
	var commands []core.Command
	m.rate.tick(now)
	for _, head := range m.waiting.heads() {
		if now.Sub(head.ArrivedAt) > m.rules.MaxWait {
			m.waiting.remove(head.ID, head.Customer)
			commands = append(commands, m.refusal(head, RefuseTimeout))
		}
	}
	return append(commands, m.pump(now)...)
}

// String gives a short picture for logs.
func (m *Model) String() string {
	return strconv.Itoa(m.waiting.length) + " waiting, " + strconv.Itoa(len(m.running)) + " running"
}
