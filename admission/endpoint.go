package admission

import (
	"slices"
	"strconv"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// place is what one box knows of one endpoint.
type place struct {
	name     string
	leases   [core.SlotCount]core.Lease
	growths  [core.SlotCount]float64
	others   Profile
	otherRun int
	step     time.Duration
	sentAt   time.Time
	own      Profile
	running  []*running // in the order of their placing: sums come out the same in every run
	prefixes *prefixes
}

type running struct {
	request   Request
	endpoint  string
	generated int
	profile   Profile
}

func newPlace(name string) *place {
	return &place{
		name:     name,
		prefixes: newPrefixes(),
	}
}

// room is what the usable leases allow at a moment.
type room struct {
	tokens float64
	slots  int
	growth float64
	until  time.Time // end of the lease that ends first
}

func (p *place) room(now time.Time) room {
	var r room
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

// due reports whether a lease must be renewed while no request waits.
func (p *place) due(now time.Time) bool {
	margin := renewIdle
	if len(p.running) > 0 {
		margin = renewInUse
	}
	for slot := range p.leases {
		if p.leases[slot].Until.Sub(now) < margin {
			return true
		}
	}
	return false
}

// teller is the first owner whose lease is still good.
func (p *place) teller(now time.Time) int {
	for slot := range p.leases {
		if p.leases[slot].Usable(now) {
			return slot
		}
	}
	return 0
}

// load is the planned part of the leased memory.
func (p *place) load(r room) float64 {
	if r.tokens == 0 {
		return 1
	}
	total := p.own
	total.Add(&p.others)
	return total.Peak(0) / r.tokens
}

// total is the planned memory of all boxes at a risk.
func (p *place) total(with *Profile, z float64) float64 {
	sum := p.own
	sum.Add(&p.others)
	sum.Add(with)
	return sum.Peak(z)
}

func (p *place) count() int { return len(p.running) + p.otherRun }

// The pause between two prompts that a box sends to one endpoint, in steps of the
// endpoint: computing a prompt holds up the tokens of all others, and two in one
// step add up.
const (
	promptPause = 3
	unknownStep = 20 * time.Millisecond
)

// pause gives how long the next prompt must wait.
func (p *place) pause(now time.Time) time.Duration {
	step := p.step
	if step <= 0 {
		step = unknownStep
	}
	return p.sentAt.Add(promptPause * step).Sub(now)
}

// fits reports whether a request with a profile may be sent now: memory and
// batch, each less what is kept for higher ranks.
func (p *place) fits(r room, with *Profile, z, kept float64) bool {
	slots := int(float64(r.slots) * (1 - kept))
	if p.count() >= max(1, slots) {
		return false
	}
	before := p.total(&Profile{}, z)
	after := p.total(with, z)
	if after > r.tokens*(1-kept) {
		return false
	}
	return after-before <= r.growth || len(p.running) == 0 && r.growth > 0
}

func (p *place) add(r *running) {
	before := p.total(&Profile{}, 0)
	p.running = append(p.running, r)
	p.own.Add(&r.profile)
	p.spend(max(1, p.total(&Profile{}, 0)-before))
}

// spend takes from the growth of the leases, the first one first.
func (p *place) spend(amount float64) {
	for i := range p.growths {
		part := min(amount, max(0, p.growths[i]))
		p.growths[i] -= part
		amount -= part
	}
}

func (p *place) drop(r *running) {
	if at := slices.Index(p.running, r); at >= 0 {
		p.running = slices.Delete(p.running, at, at+1)
	}
	p.own.Sub(&r.profile)
}

// refresh recomputes the own profile from how far each generation is.
func (p *place) refresh(profile func(*running) Profile) {
	p.own = Profile{}
	for _, r := range p.running {
		r.profile = profile(r)
		p.own.Add(&r.profile)
	}
}

// affinity is higher for an endpoint that more likely holds a prefix: by what
// was heard of its cache, then by rendezvous.
func (p *place) affinity(prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	score := core.RendezvousScore(strconv.FormatUint(prefix, 16), p.name) >> 1
	if p.prefixes.held[prefix] {
		score |= 1 << 63
	}
	return score
}

// prefixLimit bounds how many prefixes are remembered for an endpoint.
const prefixLimit = 4096

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
	if len(x.order) >= prefixLimit {
		delete(x.held, x.order[0])
		x.order = x.order[1:]
	}
	x.held[prefix] = true
	x.order = append(x.order, prefix)
}

func (x *prefixes) drop(prefix uint64) { delete(x.held, prefix) }
