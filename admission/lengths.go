package admission

import "math"

// bucketCount covers lengths up to 2^17 tokens in half octaves.
const bucketCount = 34

// edges are the upper ends of the buckets, in tokens.
var edges = makeEdges()

func makeEdges() [bucketCount]float64 {
	var e [bucketCount]float64
	for i := range e {
		e[i] = math.Round(math.Pow(2, float64(i+1)/2))
	}
	return e
}

func bucketOf(tokens int) int {
	for i, edge := range edges {
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

// decay is the weight that older observations keep for each new one.
const decay = 0.995

// ObservePassed counts a running generation that left a bucket without ending.
func (l *Lengths) ObservePassed(bucket int) {
	l.reached[bucket] = l.reached[bucket]*decay + 1
	l.ended[bucket] *= decay
}

// ObserveEnd counts a generation that ended with a number of tokens. Earlier
// buckets were counted by Passed.
func (l *Lengths) ObserveEnd(tokens int) {
	b := bucketOf(tokens)
	l.reached[b] = l.reached[b]*decay + 1
	l.ended[b] = l.ended[b]*decay + 1
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
	survive [bucketCount]float64
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
	for i, edge := range edges {
		h[i] = min(0.6, 1-math.Exp(-(edge-low)/mean))
		low = edge
	}
	return h
}

func curveOf(h [bucketCount]float64) Curve {
	var c Curve
	alive := 1.0
	for i := range h {
		alive *= 1 - h[i]
		c.survive[i] = alive
	}
	return c
}

// at gives the chance that the length exceeds a number of tokens, linear
// within a bucket.
func (c *Curve) at(tokens float64) float64 {
	low, high := 0.0, 1.0
	for i, edge := range edges {
		if tokens < edge {
			part := (tokens - low) / (edge - low)
			return high + (c.survive[i]-high)*part
		}
		low, high = edge, c.survive[i]
	}
	return c.survive[bucketCount-1] * 0.5
}

// Beyond gives the chance that a generation that has made some tokens makes at
// least more further ones.
func (c *Curve) Beyond(generated, more float64) float64 {
	now := c.at(generated)
	if now < 1e-9 {
		return 0.5
	}
	return c.at(generated+more) / now
}

// Remaining gives the expected number of further tokens.
func (c *Curve) Remaining(generated float64, most int) float64 {
	now := max(c.at(generated), 1e-9)
	sum := 0.0
	low := generated
	for i, edge := range edges {
		if edge <= generated {
			continue
		}
		high := min(edge, float64(most))
		if high <= low {
			break
		}
		sum += (high - low) * (c.at(low) + c.survive[i]) / 2
		low = high
	}
	return sum / now
}
