package admission

import "math"

// bucketCount is the number of length buckets; they cover up to 2^17 tokens in half
// octaves.
const bucketCount = 34

// bucketEnds are the exclusive upper ends of the buckets, in tokens.
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

// Lengths estimates a distribution of output lengths by the fraction of generations that
// end in each bucket among those that reach it. A running generation counts in each bucket
// that it has passed, so longer outputs are noticed before the first of them has ended.
type Lengths struct {
	reached [bucketCount]float64
	ended   [bucketCount]float64
}

// observationDecay is the factor applied to older observations at each new one.
const observationDecay = 0.995

// ObservePassed counts a running generation that grew beyond a bucket.
func (l *Lengths) ObservePassed(bucket int) {
	l.reached[bucket] = l.reached[bucket]*observationDecay + 1
	l.ended[bucket] *= observationDecay
}

// ObserveEnd counts a generation that ended at a length. The buckets below it are counted
// by ObservePassed.
func (l *Lengths) ObserveEnd(tokens int) {
	b := bucketOf(tokens)
	l.reached[b] = l.reached[b]*observationDecay + 1
	l.ended[b] = l.ended[b]*observationDecay + 1
}

// Merge adds the observations of another distribution.
func (l *Lengths) Merge(other *Lengths) {
	for i := range l.reached {
		l.reached[i] += other.reached[i]
		l.ended[i] += other.ended[i]
	}
}

// Curve is a survival curve: the probability that a generation is longer than each
// bucket's end.
type Curve struct {
	survival [bucketCount]float64
}

// priorWeight is the number of observations that the prior counts for.
const priorWeight = 8

// hazard returns the probability of ending in each bucket, with the parent's as the prior.
func (l *Lengths) hazard(parent [bucketCount]float64) [bucketCount]float64 {
	var h [bucketCount]float64
	for i := range h {
		h[i] = (l.ended[i] + priorWeight*parent[i]) / (l.reached[i] + priorWeight)
	}
	return h
}

// priorHazard returns the hazard of an exponential distribution with the given mean,
// capped so that long outputs stay possible.
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

// survivalAt returns the probability that a generation is longer than a number of tokens,
// interpolated linearly within a bucket.
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

// Beyond returns the probability that a generation of the given length produces at least
// more further tokens. It is 0.5 for a length that is practically never reached.
func (c *Curve) Beyond(generated, more float64) float64 {
	survivalNow := c.survivalAt(generated)
	if survivalNow < 1e-9 {
		return 0.5
	}
	return c.survivalAt(generated+more) / survivalNow
}

// Remaining returns the expected number of further tokens, up to a total of maxTokens.
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
