package admission

// LengthKey names whose lengths are estimated together.
type LengthKey struct {
	Customer string
	Class    string
}

// LengthEstimator holds the length estimates of one model: for the model, for each
// class, and for each customer and class, each leaning on the one above.
type LengthEstimator struct {
	prior   [bucketCount]float64
	model   Lengths
	classes map[string]*Lengths
	leaves  map[LengthKey]*leaf
}

type leaf struct {
	lengths Lengths
	curve   Curve
	stale   int
}

// curveRefresh is how many observations a cached curve may lag.
const curveRefresh = 4

// NewLengthEstimator starts from an expected mean length.
func NewLengthEstimator(expectTokens int) *LengthEstimator {
	return &LengthEstimator{
		prior:   priorHazard(float64(max(1, expectTokens))),
		classes: make(map[string]*Lengths),
		leaves:  make(map[LengthKey]*leaf),
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

func (e *LengthEstimator) leaf(key LengthKey) *leaf {
	l := e.leaves[key]
	if l == nil {
		l = &leaf{stale: curveRefresh}
		e.leaves[key] = l
	}
	return l
}

// ObserveEnd learns a length.
func (e *LengthEstimator) ObserveEnd(key LengthKey, tokens int) {
	e.model.ObserveEnd(tokens)
	e.class(key.Class).ObserveEnd(tokens)
	l := e.leaf(key)
	l.lengths.ObserveEnd(tokens)
	l.stale++
}

// ObserveProgress learns that a running generation grew from one length to another.
func (e *LengthEstimator) ObserveProgress(key LengthKey, from, to int) {
	for b := bucketOf(from); b < bucketOf(to); b++ {
		e.model.ObservePassed(b)
		e.class(key.Class).ObservePassed(b)
		l := e.leaf(key)
		l.lengths.ObservePassed(b)
		l.stale++
	}
}

// Curve gives the length curve of a customer and class.
func (e *LengthEstimator) Curve(key LengthKey) *Curve {
	l := e.leaf(key)
	if l.stale >= curveRefresh {
		model := e.model.hazard(e.prior)
		class := e.class(key.Class).hazard(model)
		l.curve = curveOf(l.lengths.hazard(class))
		l.stale = 0
	}
	return &l.curve
}
