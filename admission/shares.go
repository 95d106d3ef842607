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
	Capacity int // of the whole endpoint
	Slots    int
	hold     *core.Ownership
	boxes    map[string]*share
	names    []string // of the boxes, sorted: sums come out the same in every run
	fit      StepFit
	target   time.Duration
	reported int
}

type share struct {
	wish   Demand
	growth int
	seenAt time.Time
}

// forgetShare is after how many lease times a silent box's use is dropped.
const forgetShare = 3

// ownerRisk is the risk at which an owner plans an endpoint's peak.
const ownerRisk = 0.02

// NewShares divides an endpoint on whose hold it depends. Target is the longest
// wanted time between tokens.
func NewShares(hold *core.Ownership, capacity, slots int, target time.Duration) *Shares {
	return &Shares{
		Capacity: capacity,
		Slots:    slots,
		hold:     hold,
		boxes:    make(map[string]*share),
		target:   target,
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
	s.forget(now, ttl)
	mine := &share{
		wish:   w,
		seenAt: now,
	}
	s.note(box, mine)
	if tokens == 0 {
		return Grant{}
	}
	others, running := s.others(box)
	total := others
	total.Add(&w.Profile)
	unexplained := max(0, float64(s.reported)-total.Mean[0])
	planned := total.Peak(deviations(ownerRisk)) + unexplained
	free := float64(tokens) - planned/core.SlotCount - float64(s.promised(box))
	mine.growth = s.growth(free, box)
	return Grant{
		Tokens:       tokens,
		Slots:        s.slots() * tokens / s.Capacity,
		TTL:          ttl,
		Others:       others,
		OtherRunning: running,
		Growth:       mine.growth,
	}
}

func (s *Shares) note(box string, mine *share) {
	if s.boxes[box] == nil {
		at, _ := slices.BinarySearch(s.names, box)
		s.names = slices.Insert(s.names, at, box)
	}
	s.boxes[box] = mine
}

func (s *Shares) forget(now time.Time, ttl time.Duration) {
	for name, one := range s.boxes {
		if ttl > 0 && now.Sub(one.seenAt) > forgetShare*ttl {
			delete(s.boxes, name)
		}
	}
	s.names = slices.DeleteFunc(s.names, func(name string) bool { return s.boxes[name] == nil })
}

func (s *Shares) others(box string) (Profile, int) {
	var sum Profile
	running := 0
	for _, name := range s.names {
		one := s.boxes[name]
		if name == box {
			continue
		}
		sum.Add(&one.wish.Profile)
		running += one.wish.Running
	}
	return sum, running
}

// promised is the growth that other boxes hold and may still use.
func (s *Shares) promised(box string) int {
	sum := 0
	for name, one := range s.boxes {
		if name != box {
			sum += one.growth
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
	w := s.boxes[box].wish
	even := free / float64(len(s.boxes))
	left := free
	for _, name := range s.names {
		other := s.boxes[name]
		if name != box && other.wish.Waiting > 0 && other.wish.Rank < w.Rank {
			left -= even
		}
	}
	return int(max(even, min(left, demandFactor*float64(w.Waiting))))
}

// slots is the batch at which the time between tokens holds.
func (s *Shares) slots() int {
	if limit := s.fit.Limit(s.target); limit > 0 {
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
	s.fit.Observe(r.Batch, r.Step)
	s.reported = r.Used
}

// foreignPart is the part of the capacity above which memory that no lease
// explains counts as another owner's.
const foreignPart = 0.1

// HasUnknownUsage reports whether the endpoint's report shows memory in use that the
// known boxes don't explain.
func (s *Shares) HasUnknownUsage() bool {
	return float64(s.reported-s.Used()) > foreignPart*float64(s.Capacity)
}

// Used is the memory that all boxes report to hold now.
func (s *Shares) Used() int {
	sum := 0.0
	for _, name := range s.names {
		sum += s.boxes[name].wish.Profile.Mean[0]
	}
	return int(sum)
}
