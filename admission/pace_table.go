package admission

import (
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
	// refreshInterval is how long decayed weights are used, which change by 2% in that time.
	refreshInterval = time.Second
)

// PaceTable learns how fast each engine of a service generates and how often the streams on
// engines of about the same pace have a pause beyond their target. It is not safe for
// concurrent use.
type PaceTable struct {
	engines     map[string]*observedPace // by endpoint ID
	classes     [2*maxPaceClass + 1]paceClass
	total       breakCount    // of all classes, and of engines without a known pace
	median      time.Duration // of the engines' paces
	refreshedAt time.Time     // when the median and the engines' classes were last derived
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

// paceClass is what is known of a class.
type paceClass struct {
	breakCount
	engines int
}

// observedPace is the decaying average of the observed paces of an engine.
type observedPace struct {
	sum    float64 // weighted seconds
	weight float64
	at     time.Time // when sum and weight were last decayed
	class  PaceClass
}

// breakCount is a decaying count of exposures and breaks.
type breakCount struct {
	exposures float64
	breaks    float64
	at        time.Time
}

// NewPaceTable returns an empty table.
func NewPaceTable() *PaceTable { return &PaceTable{engines: make(map[string]*observedPace)} }

// ObservePace records the time between events of a stream at an engine. It reports whether
// that changed the engine's class, and how.
func (t *PaceTable) ObservePace(now time.Time, endpoint string, interval time.Duration) (PaceChange, bool) {
	if interval <= 0 {
		return PaceChange{}, false
	}
	p := t.engines[endpoint]
	wasKnown := p != nil
	if !wasKnown {
		p = &observedPace{at: now}
		t.engines[endpoint] = p
	}
	change := PaceChange{
		Before:   p.class,
		WasKnown: wasKnown,
	}
	p.decay(now)
	p.sum += interval.Seconds()
	p.weight++
	if !wasKnown || now.Sub(t.refreshedAt) > refreshInterval {
		t.refresh(now)
	} else {
		t.reclassify(p)
	}
	change.Interval, change.After = p.mean(), p.class
	return change, !wasKnown || change.Before != change.After
}

// ObserveStream records the number of prompts sent to an engine during a stream there, up to
// its first pause beyond its target if broken is set. It returns the engine's class, or false
// if its pace is unknown.
func (t *PaceTable) ObserveStream(now time.Time, endpoint string, exposures int, broken bool) (PaceClass, bool) {
	t.refreshIfOld(now)
	if broken {
		// The prompt may have been sent before the stream's first event.
		exposures = max(exposures, 1)
	}
	t.total.add(now, exposures, broken)
	p := t.engines[endpoint]
	if p == nil {
		return 0, false
	}
	t.class(p.class).add(now, exposures, broken)
	return p.class, true
}

// Forget drops an engine that no longer exists. What its streams met remains in its class.
func (t *PaceTable) Forget(endpoint string) {
	if p := t.engines[endpoint]; p != nil {
		delete(t.engines, endpoint)
		t.class(p.class).engines--
	}
}

// Pace returns the average time between events at an engine, or false if it is unknown.
func (t *PaceTable) Pace(endpoint string) (time.Duration, bool) {
	p := t.engines[endpoint]
	if p == nil {
		return 0, false
	}
	return p.mean(), true
}

// MedianPace returns the median of the engines' times between events, or 0 if none is known.
func (t *PaceTable) MedianPace() time.Duration { return t.median }

// BreakProbability returns the probability that a prompt sent to an engine causes a pause
// beyond the target in a stream there. An engine without a known pace has the average
// probability of all engines.
func (t *PaceTable) BreakProbability(now time.Time, endpoint string) float64 {
	t.refreshIfOld(now)
	if p := t.engines[endpoint]; p != nil {
		return t.classProbability(t.class(p.class))
	}
	if len(t.engines) == 0 {
		return t.totalProbability()
	}
	sum := 0.0
	for i := range t.classes {
		if c := &t.classes[i]; c.engines > 0 {
			sum += float64(c.engines) * t.classProbability(c)
		}
	}
	return sum / float64(len(t.engines))
}

// Summaries returns the classes with known engines or streams, fastest first.
func (t *PaceTable) Summaries(now time.Time) []PaceClassSummary {
	t.refresh(now)
	var intervals [len(t.classes)]time.Duration
	for _, p := range t.engines {
		intervals[p.class+maxPaceClass] += p.mean()
	}
	var out []PaceClassSummary
	for i := range t.classes {
		c := &t.classes[i]
		if c.engines == 0 && c.exposures < 1 {
			continue
		}
		out = append(out, PaceClassSummary{
			Class:            PaceClass(i - maxPaceClass),
			Engines:          c.engines,
			EventInterval:    intervals[i] / time.Duration(max(c.engines, 1)),
			Exposures:        c.exposures,
			Breaks:           c.breaks,
			BreakProbability: t.classProbability(c),
		})
	}
	return out
}

// refreshIfOld decays the observations if that was last done more than refreshInterval ago.
func (t *PaceTable) refreshIfOld(now time.Time) {
	if now.Sub(t.refreshedAt) > refreshInterval {
		t.refresh(now)
	}
}

// refresh decays the observations and derives the median and the classes of the engines.
func (t *PaceTable) refresh(now time.Time) {
	t.refreshedAt = now
	t.total.decay(now)
	for i := range t.classes {
		t.classes[i].decay(now)
		t.classes[i].engines = 0
	}
	paces := make([]time.Duration, 0, len(t.engines))
	for id, p := range t.engines {
		if p.weight*remainingWeight(now.Sub(p.at)) < minPaceWeight {
			delete(t.engines, id)
			continue
		}
		paces = append(paces, p.mean())
	}
	t.median = 0
	if len(paces) > 0 {
		slices.Sort(paces)
		t.median = paces[len(paces)/2]
	}
	for _, p := range t.engines {
		p.class = classOf(p.mean(), t.median)
		t.class(p.class).engines++
	}
}

// reclassify derives the class of one engine after an observation. Deriving all of them takes
// 25 microseconds for 110 engines, too long for each message of another box.
func (t *PaceTable) reclassify(p *observedPace) {
	t.class(p.class).engines--
	p.class = classOf(p.mean(), t.median)
	t.class(p.class).engines++
}

// classOf returns the class of a pace.
func classOf(pace, median time.Duration) PaceClass {
	steps := math.Round(math.Log(float64(pace)/float64(median)) / paceClassWidth)
	return PaceClass(max(-maxPaceClass, min(maxPaceClass, steps)))
}

func (t *PaceTable) class(c PaceClass) *paceClass { return &t.classes[c+maxPaceClass] }

// classProbability returns the break probability of a class's engines.
func (t *PaceTable) classProbability(c *paceClass) float64 {
	return (c.breaks + classPrior*t.totalProbability()) / (c.exposures + classPrior)
}

func (t *PaceTable) totalProbability() float64 {
	return t.total.breaks / (t.total.exposures + tablePrior)
}

// mean returns the average pace; it is positive.
func (p *observedPace) mean() time.Duration {
	return max(time.Duration(p.sum/p.weight*float64(time.Second)), 1)
}

func (p *observedPace) decay(now time.Time) {
	f := remainingWeight(now.Sub(p.at))
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
	f := remainingWeight(now.Sub(c.at))
	c.exposures *= f
	c.breaks *= f
	c.at = now
}

// remainingWeight returns the weight of an observation of an age.
func remainingWeight(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(paceHalfLife))
}
