package admission

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Demand is what one box uses of an endpoint and wants more of.
type Demand struct {
	Profile Profile
	Running int
	Waiting int // expected tokens of the requests of the best rank that wait
	Rank    int // that rank
}

// Grant is what one box gets of an endpoint.
type Grant struct {
	Tokens       int
	Slots        int
	TTL          time.Duration
	Others       Profile
	OtherRunning int
	Growth       int
}

// Shares divides one owner's half of an endpoint's memory among boxes. Each box learns what the
// others are expected to hold, so that chance evens out over all of them, and
// how much it may add until its next lease: a part of the free memory by
// demand, with half of it spread evenly for what demand didn't foresee.
type Shares struct {
	Capacity       int // of the whole endpoint
	Slots          int
	hold           *core.Ownership
	boxes          map[string]*share
	boxNames       []string // of the boxes, sorted: sums come out the same in every run
	stepFit        StepFit
	targetStep     time.Duration
	reportedTokens int
}

type share struct {
	demand Demand
	growth int
	seenAt time.Time
}

// shareExpiryTTLs is after how many lease times a silent box's use is dropped.
const shareExpiryTTLs = 3

// ownerOverflowRisk is the risk at which an owner plans an endpoint's peak.
const ownerOverflowRisk = 0.02

// NewShares divides an endpoint on whose hold it depends. Target is the longest
// wanted time between tokens.
func NewShares(hold *core.Ownership, capacity, slots int, targetStep time.Duration) *Shares {
	return &Shares{
		Capacity:   capacity,
		Slots:      slots,
		hold:       hold,
		boxes:      make(map[string]*share),
		targetStep: targetStep,
	}
}

// Ownership gives the owner's hold on the endpoint.
func (s *Shares) Ownership() *core.Ownership { return s.hold }

// Boxes counts the boxes that use the endpoint.
func (s *Shares) Boxes() int { return len(s.boxes) }

// Grant answers one box's wish.
func (s *Shares) Grant(now time.Time, box string, w Demand) Grant {
	half := s.Capacity / core.SlotCount
	tokens, ttl := s.hold.Grantable(now, half)
	s.dropExpired(now, ttl)
	own := &share{
		demand: w,
		seenAt: now,
	}
	s.setShare(box, own)
	if tokens == 0 {
		return Grant{}
	}
	others, running := s.others(box)
	total := others
	total.Add(&w.Profile)
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

func (s *Shares) setShare(box string, own *share) {
	if s.boxes[box] == nil {
		at, _ := slices.BinarySearch(s.boxNames, box)
		s.boxNames = slices.Insert(s.boxNames, at, box)
	}
	s.boxes[box] = own
}

func (s *Shares) dropExpired(now time.Time, ttl time.Duration) {
	for name, boxShare := range s.boxes {
		if ttl > 0 && now.Sub(boxShare.seenAt) > shareExpiryTTLs*ttl {
			delete(s.boxes, name)
		}
	}
	s.boxNames = slices.DeleteFunc(s.boxNames, func(name string) bool { return s.boxes[name] == nil })
}

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

// promisedGrowth is the growth that other boxes hold and may still use.
func (s *Shares) promisedGrowth(box string) int {
	sum := 0
	for name, boxShare := range s.boxes {
		if name != box {
			sum += boxShare.growth
		}
	}
	return sum
}

// demandFactor is how much more than the expected tokens of what waits a box
// may plan for, since plans include the chance of long outputs.
const demandFactor = 2

// growth is what a box may add until its next lease. One that has requests
// waiting gets all that is free up to its demand, in turn with the others: an
// even part would often be too small for a single request. It leaves an even
// part to each box whose waiting requests are of a better rank. One that has none
// waiting gets an even part for what may arrive.
func (s *Shares) growth(free float64, box string) int {
	if free <= 0 {
		return 0
	}
	w := s.boxes[box].demand
	evenPart := free / float64(len(s.boxes))
	left := free
	for _, name := range s.boxNames {
		other := s.boxes[name]
		if name != box && other.demand.Waiting > 0 && other.demand.Rank < w.Rank {
			left -= evenPart
		}
	}
	return int(max(evenPart, min(left, demandFactor*float64(w.Waiting))))
}

// usableSlots is the batch at which the time between tokens holds.
func (s *Shares) usableSlots() int {
	if limit := s.stepFit.Limit(s.targetStep); limit > 0 {
		return min(s.Slots, limit)
	}
	return s.Slots
}

// Report is an endpoint's own report, which lags.
type Report struct {
	Batch int
	Step  time.Duration
	Used  int
}

// Observe learns from an endpoint's report.
func (s *Shares) Observe(r Report) {
	s.stepFit.Observe(r.Batch, r.Step)
	s.reportedTokens = r.Used
}

// unknownUsageFraction is the part of the capacity above which memory that no lease
// explains counts as another owner's.
const unknownUsageFraction = 0.1

// HasUnknownUsage reports whether the endpoint's report shows memory in use that the
// known boxes don't explain.
func (s *Shares) HasUnknownUsage() bool {
	return float64(s.reportedTokens-s.Used()) > unknownUsageFraction*float64(s.Capacity)
}

// Used is the memory that all boxes report to hold now.
func (s *Shares) Used() int {
	sum := 0.0
	for _, name := range s.boxNames {
		sum += s.boxes[name].demand.Profile.Mean[0]
	}
	return int(sum)
}
