package admission

import (
	"math"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/policy"
)

// dispatch starts the waiting requests that may run now, in queue order. When a request
// can't be placed, no request of a later order is tried, so that lower tiers don't take the
// memory that a higher tier waits for.
func (m *Model) dispatch(now time.Time) []core.Command {
	var commands []core.Command
	for m.waiting.length > 0 {
		placed, more := m.dispatchNext(now)
		commands = append(commands, more...)
		if !placed {
			break
		}
	}
	return append(commands, m.scheduleWake(now)...)
}

// scheduleWake requests a wake-up if the interval between prompts holds a request back.
// At most one wake-up is outstanding.
func (m *Model) scheduleWake(now time.Time) []core.Command {
	after := m.shortestDelay
	m.shortestDelay = 0
	if after <= 0 || m.waiting.length == 0 || now.Before(m.nextWakeAt) {
		return nil
	}
	m.nextWakeAt = now.Add(after)
	return []core.Command{Wake{After: after}}
}

// noteDelay records a prompt delay that holds a request back, keeping the shortest.
func (m *Model) noteDelay(after time.Duration) {
	if m.shortestDelay == 0 || after < m.shortestDelay {
		m.shortestDelay = after
	}
}

// dispatchNext starts or refuses one of the requests at the head of the customers' queues
// and reports whether it did.
func (m *Model) dispatchNext(now time.Time) (bool, []core.Command) {
	var commands []core.Command
	blocked := math.Inf(1)
	for i, head := range m.waiting.heads() {
		if i >= m.rules.MaxHeads || m.agedOrder(now, head) > blocked {
			break
		}
		acted, more := m.tryHead(now, head)
		commands = append(commands, more...)
		if acted {
			return true, commands
		}
		blocked = min(blocked, m.agedOrder(now, head))
	}
	return false, commands
}

// agedOrder returns a request's order, lowered by one for each aging period it has waited.
func (m *Model) agedOrder(now time.Time, r *Request) float64 {
	if m.rules.Aging <= 0 {
		return r.order
	}
	return r.order - math.Floor(now.Sub(r.ArrivedAt).Seconds()/m.rules.Aging.Seconds())
}

// tryHead starts or refuses a request if its policy says so, and reports whether it did.
func (m *Model) tryHead(now time.Time, r *Request) (bool, []core.Command) {
	name, fits := m.chooseEndpoint(now, r)
	verdict, commands := policy.Run, []core.Command(nil)
	if m.rules.Program(r.Tier) != nil || !fits {
		in := m.policyInput(now, r)
		in.Fits = fits
		verdict, commands = m.verdict(r, in)
	}
	if verdict == policy.Refuse {
		m.waiting.remove(r.ID, r.Customer)
		return true, append(commands, m.refusal(r, RefusePolicy))
	}
	if verdict == policy.Wait || name == "" {
		return false, commands
	}
	return true, append(commands, m.startRun(now, r, name, !fits))
}

// startRun removes a request from the queue and counts it as running on an endpoint.
func (m *Model) startRun(now time.Time, r *Request, name string, forced bool) core.Command {
	m.waiting.remove(r.ID, r.Customer)
	// A prompt token is cheaper than a generated one and counts as an eighth of it.
	m.waiting.addServed(r.Customer, float64(r.PromptTokens)/8, r.Weight)
	state := m.endpoints[name]
	placed := &running{
		request:  *r,
		endpoint: name,
	}
	placed.profile = m.profile(placed)
	m.running[r.ID] = placed
	state.add(placed)
	state.lastSentAt = now
	state.prefixes.add(r.Prefix)
	m.drainRate.countStart(now)
	return PlaceRequest{
		ID:       r.ID,
		Endpoint: name,
		Until:    state.capacity(now).until,
		Waited:   now.Sub(r.ArrivedAt),
		Forced:   forced,
	}
}

// chooseEndpoint returns the endpoint for a request and reports whether the request fits
// there. It prefers the endpoint with the highest affinity for the prompt's prefix, so that
// all boxes send a prefix to the same endpoints, as long as its load is within BoundedLoad
// of the mean. The next choices are the least loaded endpoint that fits, and the least
// loaded one.
func (m *Model) chooseEndpoint(now time.Time, r *Request) (string, bool) {
	with := m.plan(r, 0)
	z := normalQuantile(r.Risk)
	reserved := m.rules.Reserve * float64(r.Rank)
	bound := m.meanLoad(now) * m.rules.BoundedLoad
	best := candidate{load: math.Inf(1)}
	affine := candidate{}
	least := candidate{load: math.Inf(1)}
	var usable []string
	for _, name := range m.endpointNames {
		state := m.endpoints[name]
		space := state.capacity(now)
		if space.tokens == 0 || name == r.Avoid && len(m.endpointNames) > 1 {
			continue
		}
		usable = append(usable, name)
		c := candidate{
			name:  name,
			load:  state.load(space),
			score: state.affinity(r.Prefix),
		}
		if c.load < least.load {
			least = c
		}
		if !state.fits(space, &with, z, reserved) {
			continue
		}
		if after := state.promptDelay(now); after > 0 {
			m.noteDelay(after)
			continue
		}
		if c.load < best.load {
			best = c
		}
		if c.load <= bound && c.score > affine.score {
			affine = c
		}
	}
	if m.rules.Choose != nil {
		least.name = m.rules.Choose(usable)
	}
	switch {
	case m.rules.IgnoreFit:
		return least.name, least.name != ""
	case affine.name != "":
		return affine.name, true
	case best.name != "":
		return best.name, true
	}
	return least.name, false
}

// candidate is an endpoint considered for a request.
type candidate struct {
	name  string
	load  float64
	score uint64
}

// refusal returns the command to refuse a request.
func (m *Model) refusal(r *Request, reason RefusalReason) core.Command {
	return RefuseRequest{
		ID:         r.ID,
		Reason:     reason,
		RetryAfter: m.retryAfter(r),
	}
}
