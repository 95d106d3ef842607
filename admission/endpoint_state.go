package admission

import (
	"slices"
	"strconv"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// endpointState is what one box knows of one endpoint.
type endpointState struct {
	name          string
	leases        [core.SlotCount]core.Lease
	growths       [core.SlotCount]float64
	others        Profile
	othersRunning int
	step          time.Duration
	lastSentAt    time.Time
	own           Profile
	running       []*running // in the order of their placing: sums come out the same in every run
	prefixes      *prefixes
}

type running struct {
	request   Request
	endpoint  string
	generated int
	profile   Profile
}

func newEndpointState(name string) *endpointState {
	return &endpointState{
		name:     name,
		prefixes: newPrefixes(),
	}
}

// capacity is what the usable leases allow at a moment.
type capacity struct {
	tokens float64
	slots  int
	growth float64
	until  time.Time // end of the lease that ends first
}

func (p *endpointState) capacity(now time.Time) capacity {
	var r capacity
	for i := range p.leases {
		l := &p.leases[i]
		if !l.Usable(now) {
			continue
		}
		r.tokens += float64(l.Tokens)
		r.slots += l.Slots
		r.growth += p.growths[i]
		if r.until.IsZero() || l.Until.Before(r.until) {
			r.until = l.Until
		}
	}
	return r
}

// needsRenewal reports whether a lease must be renewed while no request waits.
func (p *endpointState) needsRenewal(now time.Time) bool {
	margin := renewMarginIdle
	if len(p.running) > 0 {
		margin = renewMarginInUse
	}
	for slot := range p.leases {
		if p.leases[slot].Until.Sub(now) < margin {
			return true
		}
	}
	return false
}

// reportingSlot is the first owner whose lease is still good.
func (p *endpointState) reportingSlot(now time.Time) int {
	for slot := range p.leases {
		if p.leases[slot].Usable(now) {
			return slot
		}
	}
	return 0
}

// load is the planned part of the leased memory.
func (p *endpointState) load(r capacity) float64 {
	if r.tokens == 0 {
		return 1
	}
	total := p.own
	total.Add(&p.others)
	return total.Peak(0) / r.tokens
}

// plannedPeak is the planned memory of all boxes at a risk.
func (p *endpointState) plannedPeak(with *Profile, z float64) float64 {
	sum := p.own
	sum.Add(&p.others)
	sum.Add(with)
	return sum.Peak(z)
}

func (p *endpointState) runningCount() int { return len(p.running) + p.othersRunning }

// The pause between two prompts that a box sends to one endpoint, in steps of the
// endpoint: computing a prompt holds up the tokens of all others, and two in one
// step add up.
const (
	promptIntervalSteps = 3
	defaultStep         = 20 * time.Millisecond
)

// promptDelay gives how long the next prompt must wait.
func (p *endpointState) promptDelay(now time.Time) time.Duration {
	step := p.step
	if step <= 0 {
		step = defaultStep
	}
	return p.lastSentAt.Add(promptIntervalSteps * step).Sub(now)
}

// fits reports whether a request with a profile may be sent now: memory and
// batch, each less what is kept for higher ranks.
func (p *endpointState) fits(r capacity, with *Profile, z, reserved float64) bool {
	slots := int(float64(r.slots) * (1 - reserved))
	if p.runningCount() >= max(1, slots) {
		return false
	}
	before := p.plannedPeak(&Profile{}, z)
	after := p.plannedPeak(with, z)
	if after > r.tokens*(1-reserved) {
		return false
	}
	return after-before <= r.growth || len(p.running) == 0 && r.growth > 0
}

func (p *endpointState) add(r *running) {
	before := p.plannedPeak(&Profile{}, 0)
	p.running = append(p.running, r)
	p.own.Add(&r.profile)
	p.useGrowth(max(1, p.plannedPeak(&Profile{}, 0)-before))
}

// useGrowth takes from the growth of the leases, the first one first.
func (p *endpointState) useGrowth(amount float64) {
	for i := range p.growths {
		used := min(amount, max(0, p.growths[i]))
		p.growths[i] -= used
		amount -= used
	}
}

func (p *endpointState) remove(r *running) {
	if at := slices.Index(p.running, r); at >= 0 {
		p.running = slices.Delete(p.running, at, at+1)
	}
	p.own.Sub(&r.profile)
}

// recomputeOwn recomputes the own profile from how far each generation is.
func (p *endpointState) recomputeOwn(profile func(*running) Profile) {
	p.own = Profile{}
	for _, r := range p.running {
		r.profile = profile(r)
		p.own.Add(&r.profile)
	}
}

// affinity is higher for an endpoint that more likely holds a prefix: by what
// was heard of its cache, then by rendezvous.
func (p *endpointState) affinity(prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	score := core.Score(strconv.FormatUint(prefix, 16), p.name) >> 1
	if p.prefixes.held[prefix] {
		score |= 1 << 63
	}
	return score
}

// maxPrefixes bounds how many prefixes are remembered for an endpoint.
const maxPrefixes = 4096

// prefixes remembers which prompt prefixes an endpoint likely holds.
type prefixes struct {
	held  map[uint64]bool
	order []uint64
}

func newPrefixes() *prefixes {
	return &prefixes{held: make(map[uint64]bool)}
}

func (x *prefixes) add(prefix uint64) {
	if x.held[prefix] {
		return
	}
	if len(x.order) >= maxPrefixes {
		delete(x.held, x.order[0])
		x.order = x.order[1:]
	}
	x.held[prefix] = true
	x.order = append(x.order, prefix)
}

func (x *prefixes) drop(prefix uint64) { delete(x.held, prefix) }
