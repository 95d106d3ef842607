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

// profileOf is the profile of one generation with prompt and generated tokens.
// A generation that outlives a horizon holds what it has and what it made.
func profileOf(c *Curve, prompt, generated, most int) Profile {
	var p Profile
	held := float64(prompt + generated)
	for i, ahead := range horizons {
		alive := 0.0
		if float64(generated)+ahead <= float64(most) {
			alive = c.Beyond(float64(generated), ahead)
		}
		size := held + ahead
		p.Mean[i] = size * alive
		p.Variance[i] = size * size * alive * (1 - alive)
	}
	return p
}

// Floats gives a profile's parts in the form that messages carry.
func (p *Profile) Floats() (mean, variance []float32) {
	mean = make([]float32, HorizonCount)
	variance = make([]float32, HorizonCount)
	for i := range p.Mean {
		mean[i] = float32(p.Mean[i])
		variance[i] = float32(p.Variance[i])
	}
	return mean, variance
}

// ProfileFrom reads a profile from a message; missing parts are zero.
func ProfileFrom(mean, variance []float32) Profile {
	var p Profile
	for i := range min(len(mean), HorizonCount) {
		p.Mean[i] = float64(mean[i])
	}
	for i := range min(len(variance), HorizonCount) {
		p.Variance[i] = float64(variance[i])
	}
	return p
}

// deviations gives the z of a one-sided normal risk (Abramowitz and Stegun
// 26.2.23, error under 0.0005).
func deviations(risk float64) float64 {
	risk = min(max(risk, 1e-6), 0.5)
	t := math.Sqrt(-2 * math.Log(risk))
	top := 2.515517 + t*(0.802853+t*0.010328)
	bottom := 1 + t*(1.432788+t*(0.189269+t*0.001308))
	return t - top/bottom
}
