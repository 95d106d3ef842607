package admission

import "math"

// HorizonCount is how many moments ahead a profile looks at.
const HorizonCount = 8

// horizons are the moments ahead, in tokens that each generation will make.
var horizons = [HorizonCount]float64{0, 32, 128, 384, 1024, 3072, 9216, 27648}

// Profile is the memory that a set of generations is expected to hold at each
// horizon, with its variance; in tokens and tokens squared.
type Profile struct {
	Mean     [HorizonCount]float64
	Variance [HorizonCount]float64
}

// Add includes what another profile holds.
func (p *Profile) Add(other *Profile) {
	for i := range p.Mean {
		p.Mean[i] += other.Mean[i]
		p.Variance[i] += other.Variance[i]
	}
}

// Sub removes what another profile holds.
func (p *Profile) Sub(other *Profile) {
	for i := range p.Mean {
		p.Mean[i] = max(0, p.Mean[i]-other.Mean[i])
		p.Variance[i] = max(0, p.Variance[i]-other.Variance[i])
	}
}

// Peak gives the highest memory over the horizons at z standard deviations.
func (p *Profile) Peak(z float64) float64 {
	peak := 0.0
	for i := range p.Mean {
		peak = max(peak, p.Mean[i]+z*math.Sqrt(p.Variance[i]))
	}
	return peak
}

// samplesPerHorizon is how many moments up to a horizon, since the one before, a
// profile looks at: a generation that ends between two horizons holds most
// there.
const samplesPerHorizon = 3

// profileOf is the profile of one generation with prompt and generated tokens.
// Each horizon stands for the time since the one before, with the moment at which
// the generation is expected to hold most.
func profileOf(c *Curve, prompt, generated, maxTokens int) Profile {
	var p Profile
	left := float64(maxTokens - generated)
	low := 0.0
	for i, high := range horizons {
		for n := 1; n <= samplesPerHorizon; n++ {
			ahead := min(low+(high-low)*float64(n)/samplesPerHorizon, left)
			if ahead < low {
				break
			}
			p.raiseTo(i, float64(prompt+generated)+ahead, c.Beyond(float64(generated), ahead))
		}
		low = high
	}
	return p
}

// raiseTo notes that a generation holds a size with a chance, if that is more than
// what the horizon has.
func (p *Profile) raiseTo(horizon int, size, probability float64) {
	if size*probability <= p.Mean[horizon] {
		return
	}
	p.Mean[horizon] = size * probability
	p.Variance[horizon] = size * size * probability * (1 - probability)
}

// Floats gives a profile's parts in the form that messages carry: rounded up to
// what a short float holds, since a plan needs no more than three digits and the
// codec writes each float as short as it can. The variance goes as its root.
func (p *Profile) Floats() (mean, deviation []float32) {
	mean = make([]float32, 0, HorizonCount)
	deviation = make([]float32, 0, HorizonCount)
	for i := range p.Mean {
		mean = append(mean, roundUpToShort(p.Mean[i]))
		deviation = append(deviation, roundUpToShort(math.Sqrt(p.Variance[i])))
	}
	return trimZeros(mean), trimZeros(deviation)
}

// droppedBits are the bits of a float32 that a float16 has no room for.
const droppedBits = 13

func roundUpToShort(v float64) float32 {
	bits := math.Float32bits(float32(v))
	if bits&(1<<droppedBits-1) != 0 {
		bits = bits&^(1<<droppedBits-1) + 1<<droppedBits
	}
	return math.Float32frombits(bits)
}

// trimZeros leaves out the zeros at the end.
func trimZeros(values []float32) []float32 {
	for len(values) > 0 && values[len(values)-1] == 0 {
		values = values[:len(values)-1]
	}
	return values
}

// ProfileFrom reads a profile from a message; missing parts are zero.
func ProfileFrom(mean, deviation []float32) Profile {
	var p Profile
	for i := range min(len(mean), HorizonCount) {
		p.Mean[i] = float64(mean[i])
	}
	for i := range min(len(deviation), HorizonCount) {
		p.Variance[i] = float64(deviation[i]) * float64(deviation[i])
	}
	return p
}

// normalQuantile gives the z of a one-sided normal risk (Abramowitz and Stegun
// 26.2.23, error under 0.0005).
func normalQuantile(risk float64) float64 {
	risk = min(max(risk, 1e-6), 0.5)
	t := math.Sqrt(-2 * math.Log(risk))
	numerator := 2.515517 + t*(0.802853+t*0.010328)
	denominator := 1 + t*(1.432788+t*(0.189269+t*0.001308))
	return t - numerator/denominator
}
