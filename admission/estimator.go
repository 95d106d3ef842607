package admission

// LengthKey identifies a group of requests whose output lengths are estimated together.
type LengthKey struct {
	Customer string
	Class    string
}

// LengthEstimator estimates output lengths for one model, for each class, and for each
// customer within a class. Each level uses the level above as its prior.
type LengthEstimator struct {
	prior        [bucketCount]float64
	model        Lengths
	classes      map[string]*Lengths
	keyEstimates map[LengthKey]*keyEstimate
}

// keyEstimate holds the lengths observed for one key and the curve computed from them.
type keyEstimate struct {
	lengths         Lengths
	curve           Curve
	newObservations int // since the curve was computed
}

// curveRefreshAfter is the number of observations after which a curve is recomputed.
const curveRefreshAfter = 4

// NewLengthEstimator returns an estimator that expects the given mean length at first.
func NewLengthEstimator(meanTokens int) *LengthEstimator {
	return &LengthEstimator{
		prior:        priorHazard(float64(max(1, meanTokens))),
		classes:      make(map[string]*Lengths),
		keyEstimates: make(map[LengthKey]*keyEstimate),
	}
}

func (e *LengthEstimator) class(name string) *Lengths {
	c := e.classes[name]
	if c == nil {
		c = &Lengths{}
		e.classes[name] = c
	}
	return c
}

func (e *LengthEstimator) keyEstimate(key LengthKey) *keyEstimate {
	l := e.keyEstimates[key]
	if l == nil {
		l = &keyEstimate{newObservations: curveRefreshAfter}
		e.keyEstimates[key] = l
	}
	return l
}

// ObserveEnd records the final length of a generation.
func (e *LengthEstimator) ObserveEnd(key LengthKey, tokens int) {
	e.model.ObserveEnd(tokens)
	e.class(key.Class).ObserveEnd(tokens)
	l := e.keyEstimate(key)
	l.lengths.ObserveEnd(tokens)
	l.newObservations++
}

// ObserveProgress records that a running generation grew from one length to another.
func (e *LengthEstimator) ObserveProgress(key LengthKey, from, to int) {
	for b := bucketOf(from); b < bucketOf(to); b++ {
		e.model.ObservePassed(b)
		e.class(key.Class).ObservePassed(b)
		l := e.keyEstimate(key)
		l.lengths.ObservePassed(b)
		l.newObservations++
	}
}

// Curve returns the survival curve of the lengths of a customer and class.
func (e *LengthEstimator) Curve(key LengthKey) *Curve {
	l := e.keyEstimate(key)
	if l.newObservations >= curveRefreshAfter {
		model := e.model.hazard(e.prior)
		class := e.class(key.Class).hazard(model)
		l.curve = curveOf(l.lengths.hazard(class))
		l.newObservations = 0
	}
	return &l.curve
}
