package admission

import (
	"slices"
	"strconv"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// endpointState is this box's view of one endpoint: its leases there, its running
// generations, and the usage that other boxes reported.
type endpointState struct {
	name          string
	leases        [core.SlotCount]core.Lease // one from each owner of the endpoint's memory
	growths       [core.SlotCount]float64    // tokens that may still be added under each lease
	others        Profile                    // memory of the other boxes' generations
	othersRunning int                        // number of the other boxes' generations
	step          time.Duration              // time between two tokens
	lastSentAt    time.Time                  // when this box last sent a prompt
	own           Profile                    // memory of this box's generations
	running       []*running                 // ordered by start, so that float sums are reproducible
	prefixes      *prefixes
}

// running is a generation that this box runs on an endpoint.
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

// capacity is the sum of the usable leases of an endpoint.
type capacity struct {
	tokens float64
	slots  int
	growth float64
	until  time.Time // when the first of the leases expires
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

// needsRenewal reports whether a lease is close enough to its expiry to be renewed.
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

// reportingSlot returns the first slot with a usable lease; its owner is asked for the
// usage of the other boxes.
func (p *endpointState) reportingSlot(now time.Time) int {
	for slot := range p.leases {
		if p.leases[slot].Usable(now) {
			return slot
		}
	}
	return 0
}

// load returns the planned peak memory as a fraction of the leased memory.
func (p *endpointState) load(r capacity) float64 {
	if r.tokens == 0 {
		return 1
	}
	total := p.own
	total.Add(&p.others)
	return total.Peak(0) / r.tokens
}

// plannedPeak returns the peak memory of all boxes, including the given profile, at z
// standard deviations.
func (p *endpointState) plannedPeak(with *Profile, z float64) float64 {
	sum := p.own
	sum.Add(&p.others)
	sum.Add(with)
	return sum.Peak(z)
}

func (p *endpointState) runningCount() int { return len(p.running) + p.othersRunning }

const (
	// promptIntervalSteps is the minimum interval between two prompts that a box sends to
	// one endpoint, in decoding steps. Prefill delays the tokens of all running generations,
	// so prompts must not share a step.
	promptIntervalSteps = 3
	// defaultStep is the assumed time of a decoding step before the endpoint reports one.
	defaultStep = 20 * time.Millisecond
)

// promptDelay returns how long the next prompt must wait.
func (p *endpointState) promptDelay(now time.Time) time.Duration {
	step := p.step
	if step <= 0 {
		step = defaultStep
	}
	return p.lastSentAt.Add(promptIntervalSteps * step).Sub(now)
}

// fits reports whether a request can start now: whether the endpoint has a free batch
// slot and enough memory, without the fraction reserved for more urgent ranks.
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

// useGrowth subtracts tokens from the growth allowance of the leases, in slot order.
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

// recomputeOwn updates the profiles of this box's generations to their current lengths.
func (p *endpointState) recomputeOwn(profile func(*running) Profile) {
	p.own = Profile{}
	for _, r := range p.running {
		r.profile = profile(r)
		p.own.Add(&r.profile)
	}
}

// affinity scores how well an endpoint suits a prompt prefix. Endpoints that probably have
// the prefix in their cache come first; the others are ordered by rendezvous hashing.
func (p *endpointState) affinity(prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	score := core.RendezvousScore(strconv.FormatUint(prefix, 16), p.name) >> 1
	if p.prefixes.held[prefix] {
		score |= 1 << 63
	}
	return score
}

// maxPrefixes is the number of cached prefixes remembered per endpoint.
const maxPrefixes = 4096

// prefixes is the set of prompt prefixes that an endpoint probably has in its cache. The
// oldest are dropped first.
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

func (x *prefixes) remove(prefix uint64) { delete(x.held, prefix) }
