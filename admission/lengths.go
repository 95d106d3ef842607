package admission

import "math"

// bucketCount covers lengths up to 2^17 tokens in half octaves.
const bucketCount = 34

// bucketEnds are the upper ends of the buckets, in tokens.
var bucketEnds = makeBucketEnds()

func makeBucketEnds() [bucketCount]float64 {
	var e [bucketCount]float64
	for i := range e {
		e[i] = math.Round(math.Pow(2, float64(i+1)/2))
	}
	return e
}

func bucketOf(tokens int) int {
	for i, edge := range bucketEnds {
		if float64(tokens) < edge {
			return i
		}
	}
	return bucketCount - 1
}

// Lengths estimates output lengths by the share of generations that end in
// each bucket of those that reach it. A generation that is still running
// counts in every bucket that it has passed, so a customer whose outputs grow
// is seen before the first long one ends.
type Lengths struct {
	reached [bucketCount]float64
	ended   [bucketCount]float64
}

// observationDecay is the weight that older observations keep for each new one.
const observationDecay = 0.995

// ObservePassed counts a running generation that left a bucket without ending.
func (l *Lengths) ObservePassed(bucket int) {
	l.reached[bucket] = l.reached[bucket]*observationDecay + 1
	l.ended[bucket] *= observationDecay
}

// ObserveEnd counts a generation that ended with a number of tokens. Earlier
// buckets were counted by Passed.
func (l *Lengths) ObserveEnd(tokens int) {
	b := bucketOf(tokens)
	l.reached[b] = l.reached[b]*observationDecay + 1
	l.ended[b] = l.ended[b]*observationDecay + 1
}

// Merge adds the observations of another estimate.
func (l *Lengths) Merge(other *Lengths) {
	for i := range l.reached {
		l.reached[i] += other.reached[i]
		l.ended[i] += other.ended[i]
	}
}

// Curve is the chance that a generation is longer than each bucket's end.
type Curve struct {
	survival [bucketCount]float64
}

// priorWeight is how many observations a parent's hazard counts for.
const priorWeight = 8

// hazard gives the chance to end in each bucket, leaning on a parent.
func (l *Lengths) hazard(parent [bucketCount]float64) [bucketCount]float64 {
	var h [bucketCount]float64
	for i := range h {
		h[i] = (l.ended[i] + priorWeight*parent[i]) / (l.reached[i] + priorWeight)
	}
	return h
}

// priorHazard is that of an exponential length with a given mean, softened so
// that a long tail stays possible.
func priorHazard(mean float64) [bucketCount]float64 {
	var h [bucketCount]float64
	low := 0.0
	for i, edge := range bucketEnds {
		h[i] = min(0.6, 1-math.Exp(-(edge-low)/mean))
		low = edge
	}
	return h
}

func curveOf(h [bucketCount]float64) Curve {
	var c Curve
	probability := 1.0
	for i := range h {
		probability *= 1 - h[i]
		c.survival[i] = probability
	}
	return c
}

// survivalAt gives the chance that the length exceeds a number of tokens, linear
// within a bucket.
func (c *Curve) survivalAt(tokens float64) float64 {
	low, high := 0.0, 1.0
	for i, edge := range bucketEnds {
		if tokens < edge {
			fraction := (tokens - low) / (edge - low)
			return high + (c.survival[i]-high)*fraction
		}
		low, high = edge, c.survival[i]
	}
	return c.survival[bucketCount-1] * 0.5
}

// Beyond gives the chance that a generation that has made some tokens makes at
// least more further ones.
func (c *Curve) Beyond(generated, more float64) float64 {
	survivalNow := c.survivalAt(generated)
	if survivalNow < 1e-9 {
		return 0.5
	}
	return c.survivalAt(generated+more) / survivalNow
}

// Remaining gives the expected number of further tokens.
func (c *Curve) Remaining(generated float64, maxTokens int) float64 {
	survivalNow := max(c.survivalAt(generated), 1e-9)
	sum := 0.0
	low := generated
	for i, edge := range bucketEnds {
		if edge <= generated {
			continue
		}
		high := min(edge, float64(maxTokens))
		if high <= low {
			break
		}
		sum += (high - low) * (c.survivalAt(low) + c.survival[i]) / 2
		low = high
	}
	return sum / survivalNow
}
