package admission

import (
	"math"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/policy"
)

// pump places the waiting requests that may run now, in their order. When a
// request of one order can't be placed, no later order is tried, so that a
// lower tier doesn't take the memory that a higher one waits for.
func (m *Model) pump(now time.Time) []core.Command {
	var commands []core.Command
	for m.waiting.length > 0 {
		placed, more := m.pumpOnce(now)
		commands = append(commands, more...)
		if !placed {
			break
		}
	}
	return append(commands, m.wakeUp(now)...)
}

// wakeUp asks for a tick when only a pause between prompts holds a request. One
// wake-up is under way at a time: each pump would add its own otherwise.
func (m *Model) wakeUp(now time.Time) []core.Command {
	after := m.wake
	m.wake = 0
	if after <= 0 || m.waiting.length == 0 || now.Before(m.wakeAt) {
		return nil
	}
	m.wakeAt = now.Add(after)
	return []core.Command{Wake{After: after}}
}

// paused notes the shortest pause that holds a request.
func (m *Model) paused(after time.Duration) {
	if m.wake == 0 || after < m.wake {
		m.wake = after
	}
}

func (m *Model) pumpOnce(now time.Time) (bool, []core.Command) {
	var commands []core.Command
	blocked := math.Inf(1)
	for i, head := range m.waiting.heads() {
		if i >= m.rules.MaxHeads || m.aged(now, head) > blocked {
			break
		}
		acted, more := m.try(now, head)
		commands = append(commands, more...)
		if acted {
			return true, commands
		}
		blocked = min(blocked, m.aged(now, head))
	}
	return false, commands
}

// aged is the order of a request less one rank for each aging time waited.
func (m *Model) aged(now time.Time, r *Request) float64 {
	if m.rules.Aging <= 0 {
		return r.order
	}
	return r.order - math.Floor(now.Sub(r.ArrivedAt).Seconds()/m.rules.Aging.Seconds())
}

func (m *Model) try(now time.Time, r *Request) (bool, []core.Command) {
	name, fits := m.choose(now, r)
	verdict, commands := policy.Run, []core.Command(nil)
	if m.rules.Program(r.Tier) != nil || !fits {
		in := m.input(now, r)
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
	return true, append(commands, m.start(now, r, name, !fits))
}

func (m *Model) start(now time.Time, r *Request, name string, forced bool) core.Command {
	m.waiting.remove(r.ID, r.Customer)
	m.waiting.serve(r.Customer, float64(r.PromptTokens)/8, r.Weight)
	p := m.places[name]
	placed := &running{
		request:  *r,
		endpoint: name,
	}
	placed.profile = m.profile(placed)
	m.running[r.ID] = placed
	p.add(placed)
	p.sentAt = now
	p.prefixes.add(r.Prefix)
	m.rate.started(now)
	return PlaceRequest{
		ID:       r.ID,
		Endpoint: name,
		Until:    p.room(now).until,
		Waited:   now.Sub(r.ArrivedAt),
		Forced:   forced,
	}
}

// choose gives the endpoint for a request, and whether the request fits there.
// The endpoints are tried in the rendezvous order of the prompt's prefix, so
// that all boxes send one prefix to the same few; the first with room and a load
// bounded by the mean's goes, else the least loaded with room.
func (m *Model) choose(now time.Time, r *Request) (string, bool) {
	with := m.plan(r, 0)
	z := deviations(r.Risk)
	kept := m.rules.Reserve * float64(r.Rank)
	bound := m.meanLoad(now) * m.rules.BoundedLoad
	best := candidate{load: math.Inf(1)}
	affine := candidate{}
	least := candidate{load: math.Inf(1)}
	var usable []string
	for _, name := range m.names {
		p := m.places[name]
		space := p.room(now)
		if space.tokens == 0 || name == r.Avoid && len(m.names) > 1 {
			continue
		}
		usable = append(usable, name)
		c := candidate{
			name:  name,
			load:  p.load(space),
			score: p.affinity(r.Prefix),
		}
		if c.load < least.load {
			least = c
		}
		if !p.fits(space, &with, z, kept) {
			continue
		}
		if after := p.pause(now); after > 0 {
			m.paused(after)
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

// candidate is an endpoint that may take a request.
type candidate struct {
	name  string
	load  float64
	score uint64
}

func (m *Model) refusal(r *Request, reason RefusalReason) core.Command {
	return RefuseRequest{
		ID:         r.ID,
		Reason:     reason,
		RetryAfter: m.retryAfter(r),
	}
}
