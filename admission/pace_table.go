package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// paceHalfLife is the time in which the weight of an observation of pace or breaks halves.
	paceHalfLife = 30 * time.Second
	// paceClassWidth is the difference of the logarithms of two neighbouring classes' paces.
	// Engines whose step times differ by a factor of 1.28 are told apart; the paces of equal
	// engines differ by less.
	paceClassWidth = 0.25
	// maxPaceClass bounds the classes, in both directions; the outermost ones are a factor of
	// 2.7 from the median.
	maxPaceClass = 4
	// classPrior is the number of exposures for which a class is assumed to have the breaks of
	// all classes together, so that a class with few exposures isn't believed perfect.
	classPrior = 5.0
	// tablePrior is the number of exposures without a break that are assumed at the beginning.
	tablePrior = 10.0
	// minPaceWeight is the weight of an engine's observations below which they are dropped,
	// about two minutes after the last one.
	minPaceWeight = 0.05
)

// PaceTable learns how fast each engine of a service generates and how often the streams on
// engines of about the same pace have a pause beyond their target. It is not safe for
// concurrent use.
type PaceTable struct {
	engines   map[string]*observedPace // by endpoint ID
	classes   map[PaceClass]*breakCount
	total     breakCount // including engines without a known pace
	isCurrent bool       // whether the fields below are derived from the latest observations
	median    float64    // of the engines' paces, in seconds
	averageQ  float64    // break probability averaged over the engines
}

// PaceClass is a class of engines of about the same pace, 0 for those near the service's
// median and lower for faster ones.
type PaceClass int

// String returns the pace of the class relative to the median, such as "0.47".
func (c PaceClass) String() string {
	return strconv.FormatFloat(c.RelativePace(), 'f', 2, 64)
}

// RelativePace returns the time between events in the class as a multiple of the median.
func (c PaceClass) RelativePace() float64 { return math.Exp(float64(c) * paceClassWidth) }

// PaceChange is a change of an engine's class by an observation.
type PaceChange struct {
	Interval      time.Duration // time between events now
	Before, After PaceClass
	WasKnown      bool // whether Before is set
}

// PaceClassSummary describes the engines of a class and their streams, for operators.
type PaceClassSummary struct {
	Class            PaceClass
	Engines          int
	EventInterval    time.Duration // average of the engines
	Exposures        float64       // prompts sent to engines during their streams, decayed
	Breaks           float64       // streams with a pause beyond their target, decayed
	BreakProbability float64       // per prompt
}

// observedPace is the decaying average of the observed paces of an engine.
type observedPace struct {
	sum    float64 // weighted seconds
	weight float64
	at     time.Time // when sum and weight were last decayed
	class  PaceClass
	seen   bool // whether class has been derived
}

// breakCount is a decaying count of exposures and breaks.
type breakCount struct {
	exposures float64
	breaks    float64
	at        time.Time
	q         float64 // derived probability of a break per exposure
}

// NewPaceTable returns an empty table.
func NewPaceTable() *PaceTable {
	return &PaceTable{
		engines: make(map[string]*observedPace),
		classes: make(map[PaceClass]*breakCount),
	}
}

// ObservePace records the time between events of a stream at an engine. It reports whether
// that changed the engine's class, and how.
func (t *PaceTable) ObservePace(now time.Time, endpoint string, interval time.Duration) (PaceChange, bool) {
	if interval <= 0 {
		return PaceChange{}, false
	}
	p := t.engines[endpoint]
	if p == nil {
		p = &observedPace{at: now}
		t.engines[endpoint] = p
	}
	p.decay(now)
	p.sum += interval.Seconds()
	p.weight++
	change := PaceChange{
		Before:   p.class,
		WasKnown: p.seen,
	}
	t.isCurrent = false
	t.refresh(now)
	change.Interval, _ = t.Pace(endpoint)
	change.After = p.class
	return change, !change.WasKnown || change.Before != change.After
}

// ObserveStream records the number of prompts sent to an engine during a stream there, up to
// its first pause beyond its target if broken is set. It returns the engine's class, or false
// if its pace is unknown.
func (t *PaceTable) ObserveStream(now time.Time, endpoint string, exposures int, broken bool) (PaceClass, bool) {
	t.refresh(now)
	t.isCurrent = false
	if broken {
		// The prompt may have been sent before the stream's first event.
		exposures = max(exposures, 1)
	}
	t.total.add(now, exposures, broken)
	p := t.engines[endpoint]
	if p == nil {
		return 0, false
	}
	c := t.classes[p.class]
	if c == nil {
		c = &breakCount{at: now}
		t.classes[p.class] = c
	}
	c.add(now, exposures, broken)
	return p.class, true
}

// Forget drops an engine that no longer exists. What its streams met remains in its class.
func (t *PaceTable) Forget(endpoint string) {
	if _, known := t.engines[endpoint]; known {
		delete(t.engines, endpoint)
		t.isCurrent = false
	}
}

// Pace returns the average time between events at an engine, or false if it is unknown.
func (t *PaceTable) Pace(endpoint string) (time.Duration, bool) {
	p := t.engines[endpoint]
	if p == nil {
		return 0, false
	}
	return time.Duration(p.mean() * float64(time.Second)), true
}

// MedianPace returns the median of the engines' times between events, or 0 if none is known.
func (t *PaceTable) MedianPace(now time.Time) time.Duration {
	t.refresh(now)
	return time.Duration(t.median * float64(time.Second))
}

// BreakProbability returns the probability that a prompt sent to an engine causes a pause
// beyond the target in a stream there. An engine without a known pace has the average
// probability of all engines.
func (t *PaceTable) BreakProbability(now time.Time, endpoint string) float64 {
	t.refresh(now)
	if p := t.engines[endpoint]; p != nil {
		return t.classProbability(p.class)
	}
	return t.averageQ
}

// Summaries returns the classes with known engines or streams, fastest first.
func (t *PaceTable) Summaries(now time.Time) []PaceClassSummary {
	t.isCurrent = false
	t.refresh(now)
	all := make(map[PaceClass]*PaceClassSummary)
	summary := func(class PaceClass) *PaceClassSummary {
		if all[class] == nil {
			all[class] = &PaceClassSummary{
				Class:            class,
				BreakProbability: t.classProbability(class),
			}
		}
		return all[class]
	}
	for class, c := range t.classes {
		s := summary(class)
		s.Exposures, s.Breaks = c.exposures, c.breaks
	}
	for id, p := range t.engines {
		s := summary(p.class)
		s.Engines++
		pace, _ := t.Pace(id)
		s.EventInterval += (pace - s.EventInterval) / time.Duration(s.Engines)
	}
	var out []PaceClassSummary
	for _, class := range slices.Sorted(maps.Keys(all)) {
		out = append(out, *all[class])
	}
	return out
}

// refresh derives the classes and probabilities from the observations.
func (t *PaceTable) refresh(now time.Time) {
	if t.isCurrent {
		return
	}
	t.isCurrent = true
	t.median = 0
	paces := make([]float64, 0, len(t.engines))
	for id, p := range t.engines {
		if p.weight*halfLives(now.Sub(p.at)) < minPaceWeight {
			delete(t.engines, id)
			continue
		}
		paces = append(paces, p.mean())
	}
	if len(paces) > 0 {
		slices.SortFunc(paces, cmp.Compare[float64])
		t.median = paces[len(paces)/2]
	}
	t.total.decay(now)
	t.total.q = t.total.breaks / (t.total.exposures + tablePrior)
	for class, c := range t.classes {
		c.decay(now)
		if c.exposures < minPaceWeight {
			delete(t.classes, class)
			continue
		}
		c.q = (c.breaks + classPrior*t.total.q) / (c.exposures + classPrior)
	}
	t.averageQ = t.total.q
	if len(paces) == 0 {
		return
	}
	sum := 0.0
	for _, p := range t.engines {
		class := math.Round(math.Log(p.mean()/t.median) / paceClassWidth)
		p.class = PaceClass(max(-maxPaceClass, min(maxPaceClass, class)))
		p.seen = true
		sum += t.classProbability(p.class)
	}
	t.averageQ = sum / float64(len(paces))
}

func (t *PaceTable) classProbability(class PaceClass) float64 {
	if c := t.classes[class]; c != nil {
		return c.q
	}
	return t.total.q
}

func (p *observedPace) mean() float64 { return p.sum / p.weight }

func (p *observedPace) decay(now time.Time) {
	f := halfLives(now.Sub(p.at))
	p.sum *= f
	p.weight *= f
	p.at = now
}

func (c *breakCount) add(now time.Time, exposures int, broken bool) {
	c.decay(now)
	c.exposures += float64(exposures)
	if broken {
		c.breaks++
	}
}

func (c *breakCount) decay(now time.Time) {
	f := halfLives(now.Sub(c.at))
	c.exposures *= f
	c.breaks *= f
	c.at = now
}

// halfLives returns the remaining weight of an observation of an age.
func halfLives(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(paceHalfLife))
}
