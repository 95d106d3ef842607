package admission

import "math"

// HorizonCount is the number of horizons of a profile.
const HorizonCount = 8

// horizons are the points ahead at which memory is planned, in tokens generated per
// running generation.
var horizons = [HorizonCount]float64{0, 32, 128, 384, 1024, 3072, 9216, 27648}

// Profile is the memory that a set of generations is expected to hold at each horizon.
type Profile struct {
	Mean     [HorizonCount]float64 // in tokens
	Variance [HorizonCount]float64 // in tokens squared
}

// Add adds another profile.
func (p *Profile) Add(other *Profile) {
	for i := range p.Mean {
		p.Mean[i] += other.Mean[i]
		p.Variance[i] += other.Variance[i]
	}
}

// Sub subtracts another profile; no value falls below zero.
func (p *Profile) Sub(other *Profile) {
	for i := range p.Mean {
		p.Mean[i] = max(0, p.Mean[i]-other.Mean[i])
		p.Variance[i] = max(0, p.Variance[i]-other.Variance[i])
	}
}

// Peak returns the highest memory over the horizons at z standard deviations.
func (p *Profile) Peak(z float64) float64 {
	peak := 0.0
	for i := range p.Mean {
		peak = max(peak, p.Mean[i]+z*math.Sqrt(p.Variance[i]))
	}
	return peak
}

// samplesPerHorizon is the number of points between two horizons that are examined. A
// generation that ends between two horizons reaches its maximum there.
const samplesPerHorizon = 3

// profileOf returns the profile of one generation. The value at a horizon is the maximum
// over the interval from the previous horizon.
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

// raiseTo raises a horizon to the given size, held with the given probability, if the
// expected memory is then higher.
func (p *Profile) raiseTo(horizon int, size, probability float64) {
	if size*probability <= p.Mean[horizon] {
		return
	}
	p.Mean[horizon] = size * probability
	p.Variance[horizon] = size * size * probability * (1 - probability)
}

// Floats returns a profile's means and standard deviations for a message. They are rounded
// up to half precision, which the codec encodes in fewer bytes; a plan needs no more than
// three digits. Trailing zeros are omitted.
func (p *Profile) Floats() (mean, deviation []float32) {
	mean = make([]float32, 0, HorizonCount)
	deviation = make([]float32, 0, HorizonCount)
	for i := range p.Mean {
		mean = append(mean, roundUpToHalfPrecision(p.Mean[i]))
		deviation = append(deviation, roundUpToHalfPrecision(math.Sqrt(p.Variance[i])))
	}
	return trimZeros(mean), trimZeros(deviation)
}

// droppedBits is the number of mantissa bits that a float16 has less than a float32.
const droppedBits = 13

func roundUpToHalfPrecision(v float64) float32 {
	bits := math.Float32bits(float32(v))
	if bits&(1<<droppedBits-1) != 0 {
		bits = bits&^(1<<droppedBits-1) + 1<<droppedBits
	}
	return math.Float32frombits(bits)
}

// trimZeros removes trailing zeros.
func trimZeros(values []float32) []float32 {
	for len(values) > 0 && values[len(values)-1] == 0 {
		values = values[:len(values)-1]
	}
	return values
}

// ProfileFrom decodes a profile from the values returned by Floats; missing ones are zero.
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

// normalQuantile returns the number of standard deviations that a normal variable exceeds
// with the given probability (Abramowitz and Stegun 26.2.23, error below 0.0005).
func normalQuantile(risk float64) float64 {
	risk = min(max(risk, 1e-6), 0.5)
	t := math.Sqrt(-2 * math.Log(risk))
	numerator := 2.515517 + t*(0.802853+t*0.010328)
	denominator := 1 + t*(1.432788+t*(0.189269+t*0.001308))
	return t - numerator/denominator
}
