package admission

import (
	"math"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// answerLife is how long the load that came with an answer counts; beyond
	// it only what this box sent itself is known. Answers come every few tens
	// of milliseconds, and runs last from that to some seconds.
	answerLife = 2 * time.Second
	// memoryLife is how long a report of an engine's memory counts; engines are
	// asked twice a second, and a generation lasts some seconds.
	memoryLife = 5 * time.Second
	// zoneCost is what another availability zone adds to an endpoint's load, as
	// a part of its slots or memory: bytes between zones have a price, but a
	// waiting request costs more.
	zoneCost = 0.03
	// callZoneCost is the same for calls to plain services, whose worth is small
	// against the price of their bytes.
	callZoneCost = 0.2
	// strangerCost is what an engine outside the group's share adds: this box
	// doesn't hear what most others place there.
	strangerCost = 0.35
	// coldCost is what an endpoint adds while it is cold, in the same measure.
	coldCost = 0.5
	// failureDecay is the time in which an endpoint's record of failures
	// loses all but a third; failureCost is what a full record adds.
	failureDecay = 3 * time.Second
	failureCost  = 3.0
	// failureStep is what one failure adds to the record, which is at most 1.
	failureStep = 0.34
	// silentTime is how long an endpoint that didn't answer gets no work while
	// another one can take it.
	silentTime = 2 * time.Second
	// fullCost is what each part of memory beyond the whole adds: a preempted
	// generation is read anew.
	fullCost = 24.0
	// crowdCost is what each part of memory adds that can't leave the engine within a
	// short notice: the more runs an engine has when it is told to go, the more of
	// them are cut.
	crowdCost = 9.0
	// engineNoise spreads requests over engines that look alike.
	engineNoise = 0.06
	// firstRate is how many tokens of prompts an engine reads in a second until
	// that is learned.
	firstRate = 8000.0
	// delayCost is what a second's wait for the reading of prompts adds, in whole
	// memories: how full an engine is says little as long as it isn't near full, and a
	// wait is felt by the caller. With less, engines that have just joined are crowded
	// whatever is told.
	delayCost = 6.0
	// usualTimes is after how many times its usual time an endpoint that says
	// nothing is suspect; suspectLeast and suspectEngine are the least such
	// times, for calls and for engines, which read prompts for a while.
	usualTimes    = 6.0
	suspectLeast  = 250 * time.Millisecond
	suspectEngine = 2500 * time.Millisecond
	// latencyWeight is the weight of the newest answer in an endpoint's usual
	// time.
	latencyWeight = 0.1
	// choiceCount is how many endpoints one request compares; blindChoices is how
	// many by a box that heard of no other box's placements for blindTime: after a
	// restart of all, every box would take the emptiest by the same old reports. A box
	// that hears of every prompt placed, since no engine is a stranger's, compares
	// knownChoices; where other groups place too that would crowd engines.
	choiceCount  = 5
	knownChoices = 20
	blindChoices = 2
	blindTime    = time.Second
	// strangerChoices is how many engines of other groups are among them, for
	// the case that the group's own are all busy.
	strangerChoices = 2
	// learnWeight is the weight of the newest generation in the learned means.
	learnWeight = 0.05
)

// Balancer places requests over the endpoints of services by what this box sent
// to each, what each last told, and how its last requests ended.
type Balancer struct {
	mu     sync.Mutex
	zone   string
	draw   func() float64
	share  map[string]bool // the group's engines; nil for all
	known  map[string]*endpointLoad
	prompt float64   // mean tokens of a prompt, learned
	rate   float64   // tokens of prompts that an engine reads in a second, learned
	output float64   // mean tokens generated, learned
	heard  time.Time // when another box last told of a placement
	flow   flow      // prompts that the group places, in tokens
	over   flow      // what the group's ended runs held, in tokens
}

// reportLag is how old an engine's word is when it is given.
const reportLag = 500 * time.Millisecond

// NewBalancer builds a spread for a box in an availability zone. Draw gives
// numbers from 0 to 1 that break ties.
func NewBalancer(zone string, draw func() float64) *Balancer {
	return &Balancer{
		zone:  zone,
		draw:  draw,
		rate:  firstRate,
		known: make(map[string]*endpointLoad),
	}
}

// SetGroupEngines tells which engines the box's group uses first.
func (s *Balancer) SetGroupEngines(share map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
}

// Requirements is what a request needs of an endpoint.
type Requirements struct {
	Tokens        int             // of an engine's memory at the run's expected end; 0 elsewhere
	Prompt        int             // tokens that an engine reads before the first event; 0 elsewhere
	Memory        int             // tokens that an engine holds; 0 elsewhere
	Exclude       map[string]bool // endpoints that had the request already
	Zone          string          // the zone to prefer; empty for the box's own
	Shared        bool            // other boxes place there too
	MovableTokens int             // tokens of runs that can leave an engine within a short notice; 0 when not known
	MaxMemoryUse  float64         // the fullest that an engine's memory may get; 0 for any
}

// Pick chooses an endpoint, or tells that there is none.
func (s *Balancer) Pick(now time.Time, endpoints []routing.Endpoint, w Requirements) (routing.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	least := math.Inf(1)
	choices := s.choices(now, endpoints, w)
	for i, e := range choices {
		score := s.score(now, e, w)
		if score < least {
			best = i
			least = score
		}
	}
	if best < 0 {
		return routing.Endpoint{}, false
	}
	return choices[best], true
}

// choices draws some of the endpoints that can take the request. Every box
// reads the same reports, which are old by then: if all took the best one, all
// would take the same.
func (s *Balancer) choices(now time.Time, endpoints []routing.Endpoint, w Requirements) []routing.Endpoint {
	var own, strange []int
	for i := range endpoints {
		id := endpoints[i].ID
		if w.Exclude[id] || (w.MaxMemoryUse > 0 && s.fullness(now, s.load(id), w) > w.MaxMemoryUse) {
			continue
		}
		if s.share == nil || s.share[id] {
			own = append(own, i)
		} else {
			strange = append(strange, i)
		}
	}
	// The group's own engines come first, then the strangers.
	var chosen []routing.Endpoint
	most := choiceCount
	switch {
	case w.Shared && now.Sub(s.heard) > blindTime:
		most = blindChoices
	case w.Memory > 0 && len(strange) == 0:
		most = knownChoices
	}
	for _, i := range append(s.some(own, most), s.some(strange, strangerChoices)...) {
		chosen = append(chosen, endpoints[i])
	}
	return chosen
}

// some draws a few at random, in place.
func (s *Balancer) some(all []int, most int) []int {
	n := min(len(all), most)
	for i := range n {
		j := i + int(s.draw()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all[:n:n]
}

func (s *Balancer) score(now time.Time, e routing.Endpoint, w Requirements) float64 {
	l := s.load(e.ID)
	slots := float64(max(e.Slots, 1))
	load := float64(l.running)
	if now.Sub(l.answerAt) < answerLife {
		load = math.Max(load, float64(l.answered+l.since))
	}
	score := load / slots
	if w.Memory > 0 {
		full := s.fullness(now, l, w)
		score += full + fullCost*math.Max(0, full-1) + engineNoise*s.draw()
		if w.MovableTokens > 0 {
			score += crowdCost * math.Max(0, full-float64(w.MovableTokens)/float64(w.Memory))
		}
		ahead := l.waiting(now, s.rate)
		if s.stranger(e.ID) {
			score += strangerCost
			ahead += s.unseen(now, l)
		}
		score += delayCost * ahead / s.rate
	}
	if e.Zone != w.zone(s) {
		score += w.zoneCost()
	}
	if e.ColdAt(now) {
		score += coldCost
	}
	score += failureCost * l.record(now)
	if now.Before(l.silentTo) || l.suspect(now, w) {
		score += failureCost
	}
	return score + s.draw()/(4*slots)
}

// stranger tells whether an endpoint is outside the group's share.
func (s *Balancer) stranger(id string) bool { return s.share != nil && !s.share[id] }

func (w Requirements) zoneCost() float64 {
	if w.Memory > 0 {
		return zoneCost
	}
	return callZoneCost
}

func (w Requirements) zone(s *Balancer) string {
	if w.Zone != "" {
		return w.Zone
	}
	return s.zone
}

// fullness estimates how full an engine's memory gets, as a part of it: what
// it told, what this box added since, and how its runs will still grow.
func (s *Balancer) fullness(now time.Time, l *endpointLoad, w Requirements) float64 {
	total := float64(max(w.Memory, 1))
	if now.Sub(l.memoryAt) > memoryLife {
		// What other boxes told counts here too: an engine that has just joined looks
		// empty to all boxes until its first report has come round.
		used := max(l.tokens+l.copies, l.placedSince(now.Add(-memoryLife)))
		return float64(used+w.Tokens) / total
	}
	if l.memory.Total > 0 {
		total = float64(l.memory.Total)
	}
	used := float64(l.memory.Used)
	used += float64(l.memory.Running) * s.output / 2
	used += float64(l.memory.Waiting) * (s.prompt + s.output)
	for _, c := range l.recent {
		used += float64(c.tokens)
	}
	return (math.Max(used, 0) + float64(w.Tokens)) / total
}

// suspect tells whether an endpoint is silent beyond its usual time while it
// has requests of this box.
func (l *endpointLoad) suspect(now time.Time, w Requirements) bool {
	if len(l.pending) == 0 {
		return false
	}
	since := l.pending[0]
	if l.heard.After(since) {
		since = l.heard
	}
	limit := time.Duration(usualTimes * l.latency * float64(time.Second))
	least := suspectLeast
	if w.Memory > 0 {
		least = suspectEngine
	}
	return now.Sub(since) > max(limit, least)
}

func (l *endpointLoad) record(now time.Time) float64 {
	if l.failures == 0 {
		return 0
	}
	return l.failures * math.Exp(-float64(now.Sub(l.failedAt))/float64(failureDecay))
}

func (s *Balancer) load(id string) *endpointLoad {
	l := s.known[id]
	if l == nil {
		l = &endpointLoad{}
		s.known[id] = l
	}
	return l
}
