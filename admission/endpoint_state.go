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

// capacity is the sum of the usable leases on an endpoint.
type capacity struct {
	tokens float64
	slots  int
	growth float64   // tokens that may still be added under the leases
	until  time.Time // when the first of the leases expires
}

func (e *endpointState) capacity(now time.Time) capacity {
	var c capacity
	for i := range e.leases {
		l := &e.leases[i]
		if !l.Usable(now) {
			continue
		}
		c.tokens += float64(l.Tokens)
		c.slots += l.Slots
		c.growth += e.growths[i]
		if c.until.IsZero() || l.Until.Before(c.until) {
			c.until = l.Until
		}
	}
	return c
}

// needsRenewal reports whether a lease is close enough to its expiry to be renewed.
func (e *endpointState) needsRenewal(now time.Time) bool {
	margin := renewMarginIdle
	if len(e.running) > 0 {
		margin = renewMarginInUse
	}
	for slot := range e.leases {
		if e.leases[slot].Until.Sub(now) < margin {
			return true
		}
	}
	return false
}

// reportingSlot returns the first slot with a usable lease, or 0 if there is none. Its owner
// is asked for the usage of the other boxes.
func (e *endpointState) reportingSlot(now time.Time) int {
	for slot := range e.leases {
		if e.leases[slot].Usable(now) {
			return slot
		}
	}
	return 0
}

// load returns the planned peak memory as a fraction of the leased memory.
func (e *endpointState) load(c capacity) float64 {
	if c.tokens == 0 {
		return 1
	}
	total := e.own
	total.Add(&e.others)
	return total.Peak(0) / c.tokens
}

// plannedPeak returns the peak memory of all boxes, including the given profile, at z
// standard deviations.
func (e *endpointState) plannedPeak(with *Profile, z float64) float64 {
	sum := e.own
	sum.Add(&e.others)
	sum.Add(with)
	return sum.Peak(z)
}

func (e *endpointState) runningCount() int { return len(e.running) + e.othersRunning }

const (
	// promptIntervalSteps is the minimum interval between two prompts that a box sends to
	// one endpoint, in decoding steps. Prefill delays the tokens of all running generations,
	// so prompts must not share a step.
	promptIntervalSteps = 3
	// defaultStep is the assumed time of a decoding step before the endpoint reports one.
	defaultStep = 20 * time.Millisecond
)

// promptDelay returns how long the next prompt must wait.
func (e *endpointState) promptDelay(now time.Time) time.Duration {
	step := e.step
	if step <= 0 {
		step = defaultStep
	}
	return e.lastSentAt.Add(promptIntervalSteps * step).Sub(now)
}

// fits reports whether a request can start now: whether the endpoint has a free batch
// slot and enough memory, without the fraction reserved for more urgent ranks.
func (e *endpointState) fits(c capacity, with *Profile, z, reserved float64) bool {
	slots := int(float64(c.slots) * (1 - reserved))
	if e.runningCount() >= max(1, slots) {
		return false
	}
	before := e.plannedPeak(&Profile{}, z)
	after := e.plannedPeak(with, z)
	if after > c.tokens*(1-reserved) {
		return false
	}
	return after-before <= c.growth || len(e.running) == 0 && c.growth > 0
}

func (e *endpointState) add(r *running) {
	before := e.plannedPeak(&Profile{}, 0)
	e.running = append(e.running, r)
	e.own.Add(&r.profile)
	e.useGrowth(max(1, e.plannedPeak(&Profile{}, 0)-before))
}

// useGrowth subtracts tokens from the growth allowance of the leases, in slot order.
func (e *endpointState) useGrowth(amount float64) {
	for i := range e.growths {
		used := min(amount, max(0, e.growths[i]))
		e.growths[i] -= used
		amount -= used
	}
}

func (e *endpointState) remove(r *running) {
	if at := slices.Index(e.running, r); at >= 0 {
		e.running = slices.Delete(e.running, at, at+1)
	}
	e.own.Sub(&r.profile)
}

// recomputeOwn updates the profiles of this box's generations to their current lengths.
func (e *endpointState) recomputeOwn(profile func(*running) Profile) {
	e.own = Profile{}
	for _, r := range e.running {
		r.profile = profile(r)
		e.own.Add(&r.profile)
	}
}

// affinity scores how well an endpoint suits a prompt prefix. Endpoints that probably have
// the prefix in their cache come first; the others are ordered by rendezvous hashing.
func (e *endpointState) affinity(prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	score := core.RendezvousScore(strconv.FormatUint(prefix, 16), e.name) >> 1
	if e.prefixes.held[prefix] {
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
