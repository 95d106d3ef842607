package admission

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Demand is what one box uses of an endpoint and what more it needs.
type Demand struct {
	Profile Profile // memory of the running generations
	Running int
	Waiting int // expected tokens of the waiting requests of the most urgent rank
	Rank    int // the most urgent rank that has waiting requests
}

// Grant is the part of an endpoint's memory that is granted to one box.
type Grant struct {
	Tokens       int
	Slots        int
	TTL          time.Duration
	Others       Profile // memory of the other boxes' generations
	OtherRunning int     // number of the other boxes' generations
	Growth       int     // tokens that the box may add until its next lease
}

// Shares divides one owner slot of an endpoint's memory among boxes. A box may plan with
// all of the slot's memory that other boxes don't use: it gets their expected usage and the
// number of tokens that it may add until its next lease.
type Shares struct {
	Capacity       int // tokens of the whole endpoint
	Slots          int // batch slots of the whole endpoint
	ownership      *core.Ownership
	boxes          map[string]*share
	boxNames       []string // sorted, so that float sums are reproducible
	stepFit        StepFit
	targetStep     time.Duration
	reportedTokens int // memory in use by the endpoint's last report
}

// share is the last known usage of one box.
type share struct {
	demand Demand
	growth int // tokens granted with the last lease
	seenAt time.Time
}

// shareExpiryTTLs is the number of lease TTLs after which a silent box's share is dropped.
const shareExpiryTTLs = 3

// ownerOverflowRisk is the probability with which memory may exceed an owner's plan.
const ownerOverflowRisk = 0.02

// NewShares returns the shares of an endpoint that this box owns a slot of. TargetStep is
// the longest acceptable time between two tokens.
func NewShares(ownership *core.Ownership, capacity, slots int, targetStep time.Duration) *Shares {
	return &Shares{
		Capacity:   capacity,
		Slots:      slots,
		ownership:  ownership,
		boxes:      make(map[string]*share),
		targetStep: targetStep,
	}
}

// Ownership returns the ownership that the grants depend on.
func (s *Shares) Ownership() *core.Ownership { return s.ownership }

// Boxes returns the number of boxes that use the endpoint.
func (s *Shares) Boxes() int { return len(s.boxes) }

// Grant records a box's demand and returns what the box is granted.
func (s *Shares) Grant(now time.Time, box string, d Demand) Grant {
	slotTokens := s.Capacity / core.SlotCount
	tokens, ttl := s.ownership.Grantable(now, slotTokens)
	s.dropExpired(now, ttl)
	own := &share{
		demand: d,
		seenAt: now,
	}
	s.setShare(box, own)
	if tokens == 0 {
		return Grant{}
	}
	others, running := s.others(box)
	total := others
	total.Add(&d.Profile)
	unexplained := max(0, float64(s.reportedTokens)-total.Mean[0])
	planned := total.Peak(normalQuantile(ownerOverflowRisk)) + unexplained
	free := float64(tokens) - planned/core.SlotCount - float64(s.promisedGrowth(box))
	own.growth = s.growth(free, box)
	return Grant{
		Tokens:       tokens,
		Slots:        s.usableSlots() * tokens / s.Capacity,
		TTL:          ttl,
		Others:       others,
		OtherRunning: running,
		Growth:       own.growth,
	}
}

// setShare stores a box's share and keeps boxNames sorted.
func (s *Shares) setShare(box string, own *share) {
	if s.boxes[box] == nil {
		at, _ := slices.BinarySearch(s.boxNames, box)
		s.boxNames = slices.Insert(s.boxNames, at, box)
	}
	s.boxes[box] = own
}

// dropExpired removes the shares of boxes that have stopped renewing their leases.
func (s *Shares) dropExpired(now time.Time, ttl time.Duration) {
	for name, boxShare := range s.boxes {
		if ttl > 0 && now.Sub(boxShare.seenAt) > shareExpiryTTLs*ttl {
			delete(s.boxes, name)
		}
	}
	s.boxNames = slices.DeleteFunc(s.boxNames, func(name string) bool { return s.boxes[name] == nil })
}

// others returns the memory and the number of the other boxes' generations.
func (s *Shares) others(box string) (Profile, int) {
	var sum Profile
	running := 0
	for _, name := range s.boxNames {
		boxShare := s.boxes[name]
		if name == box {
			continue
		}
		sum.Add(&boxShare.demand.Profile)
		running += boxShare.demand.Running
	}
	return sum, running
}

// promisedGrowth returns the growth granted to the other boxes with their last leases.
func (s *Shares) promisedGrowth(box string) int {
	sum := 0
	for name, boxShare := range s.boxes {
		if name != box {
			sum += boxShare.growth
		}
	}
	return sum
}

// demandFactor is the growth granted per expected token of a box's waiting requests. It is
// above 1 because the box plans for longer outputs than the expected ones.
const demandFactor = 2

// growth returns the tokens that a box may add until its next lease. A box with waiting
// requests gets free memory up to its demand, except for an equal part for each box whose
// waiting requests are more urgent. Every box gets at least an equal part, which alone would
// often be too small for a single request.
func (s *Shares) growth(free float64, box string) int {
	if free <= 0 {
		return 0
	}
	d := s.boxes[box].demand
	equalPart := free / float64(len(s.boxes))
	left := free
	for _, name := range s.boxNames {
		other := s.boxes[name]
		if name != box && other.demand.Waiting > 0 && other.demand.Rank < d.Rank {
			left -= equalPart
		}
	}
	return int(max(equalPart, min(left, demandFactor*float64(d.Waiting))))
}

// usableSlots returns the batch size at which the time between tokens meets the target.
func (s *Shares) usableSlots() int {
	if limit := s.stepFit.Limit(s.targetStep); limit > 0 {
		return min(s.Slots, limit)
	}
	return s.Slots
}

// Report is an endpoint's report of its own state. It is older than the grants.
type Report struct {
	Batch int           // number of generations in the batch
	Step  time.Duration // time between two tokens
	Used  int           // tokens of memory in use
}

// Observe records a report of the endpoint.
func (s *Shares) Observe(r Report) {
	s.stepFit.Observe(r.Batch, r.Step)
	s.reportedTokens = r.Used
}

// unknownUsageFraction is the fraction of the capacity above which memory in use that no
// known box accounts for counts as unknown usage.
const unknownUsageFraction = 0.1

// HasUnknownUsage reports whether the endpoint uses clearly more memory than the known boxes
// account for.
func (s *Shares) HasUnknownUsage() bool {
	return float64(s.reportedTokens-s.Used()) > unknownUsageFraction*float64(s.Capacity)
}

// Used returns the memory that all boxes together reported as in use.
func (s *Shares) Used() int {
	sum := 0.0
	for _, name := range s.boxNames {
		sum += s.boxes[name].demand.Profile.Mean[0]
	}
	return int(sum)
}
