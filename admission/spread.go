package admission

import (
	"math"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// reportLife is how long an endpoint's own word on its load counts; beyond
	// it only what this box sent itself is known. Reports come with answers,
	// and runs last from tens of milliseconds to some seconds.
	reportLife = 2 * time.Second
	// zoneCost is what another availability zone adds to an endpoint's load, as
	// a part of its slots: bytes between zones have a price, but a waiting
	// request costs more.
	zoneCost = 0.12
	// coldCost is what a cold start adds, as a part of its slots.
	coldCost = 0.5
	// failureDecay is the time in which an endpoint's record of failures
	// loses all but a third; failureCost is what a full record adds, as a part
	// of its slots.
	failureDecay = 3 * time.Second
	failureCost  = 3.0
	// failureStep is what one failure adds to the record, which is at most 1.
	failureStep = 0.34
	// silentTime is how long an endpoint that didn't answer gets no work while
	// another one can take it.
	silentTime = 2 * time.Second
)

// Spread places requests over the endpoints of services by what this box sent
// to each, what each last told, and how its last requests ended.
type Spread struct {
	mu    sync.Mutex
	zone  string
	draw  func() float64
	known map[string]*endpointLoad
}

type endpointLoad struct {
	running  int // of this box
	tokens   int // of this box's runs, at their expected end
	backups  int // tokens of copies that this box sends there
	reported int
	slots    int
	at       time.Time // of the report
	since    int       // started by this box since the report
	failures float64
	failedAt time.Time
	silentTo time.Time
	used     time.Time
}

// NewSpread builds a spread for a box in an availability zone. Draw gives
// numbers from 0 to 1 that break ties.
func NewSpread(zone string, draw func() float64) *Spread {
	return &Spread{
		zone:  zone,
		draw:  draw,
		known: make(map[string]*endpointLoad),
	}
}

// Want is what a request needs of an endpoint.
type Want struct {
	Tokens  int             // of an engine's memory at the run's expected end; 0 elsewhere
	Memory  int             // tokens that an engine holds; 0 elsewhere
	Exclude map[string]bool // endpoints that had the request already
	Zone    string          // the zone to prefer; empty for the box's own
}

// Pick chooses an endpoint, or tells that there is none.
func (s *Spread) Pick(now time.Time, endpoints []routing.Endpoint, w Want) (routing.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	least := math.Inf(1)
	for i, e := range endpoints {
		if w.Exclude[e.ID] {
			continue
		}
		score := s.score(now, e, w)
		if score < least {
			best = i
			least = score
		}
	}
	if best < 0 {
		return routing.Endpoint{}, false
	}
	return endpoints[best], true
}

func (s *Spread) score(now time.Time, e routing.Endpoint, w Want) float64 {
	l := s.load(e.ID)
	slots := float64(max(e.Slots, 1))
	load := float64(l.running)
	if now.Sub(l.at) < reportLife {
		load = math.Max(load, float64(l.reported+l.since))
	}
	score := load / slots
	if w.Memory > 0 {
		score += float64(l.tokens+l.backups) / float64(w.Memory)
	}
	zone := w.Zone
	if zone == "" {
		zone = s.zone
	}
	if e.Zone != zone {
		score += zoneCost
	}
	if e.Cold > 0 && l.used.IsZero() {
		score += coldCost
	}
	score += failureCost * l.record(now)
	if now.Before(l.silentTo) {
		score += failureCost
	}
	return score + s.draw()/(4*slots)
}

func (l *endpointLoad) record(now time.Time) float64 {
	if l.failures == 0 {
		return 0
	}
	return l.failures * math.Exp(-float64(now.Sub(l.failedAt))/float64(failureDecay))
}

func (s *Spread) load(id string) *endpointLoad {
	l := s.known[id]
	if l == nil {
		l = &endpointLoad{}
		s.known[id] = l
	}
	return l
}

// Begin counts a send to an endpoint.
func (s *Spread) Begin(now time.Time, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.running++
	l.since++
	l.tokens += tokens
	l.used = now
}

// End takes a send back when it is over.
func (s *Spread) End(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.running--
	l.tokens -= tokens
}

// Backup counts a copy of a run's memory at an endpoint; a negative number of
// tokens takes it back.
func (s *Spread) Backup(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).backups += tokens
}

// Reported takes an endpoint's word on its load.
func (s *Spread) Reported(now time.Time, id string, busy, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.reported = busy
	l.slots = slots
	l.since = 0
	l.at = now
}

// Succeeded notes a good answer.
func (s *Spread) Succeeded(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.failures = l.record(now) / 2
	l.failedAt = now
	l.silentTo = time.Time{}
}

// Failed notes a failure of an endpoint; silent ones get no work for a while.
func (s *Spread) Failed(now time.Time, id string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.failures = math.Min(1, l.record(now)+failureStep)
	l.failedAt = now
	if silent {
		l.silentTo = now.Add(silentTime)
	}
}

// Forget drops an endpoint that is gone.
func (s *Spread) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.known[id]; l != nil && l.running <= 0 && l.backups <= 0 {
		delete(s.known, id)
	}
}
