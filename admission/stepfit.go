package admission

import "time"

// StepFit fits the time between tokens as a linear function of the batch size, by weighted
// least squares over an engine's reports. Newer reports count more.
type StepFit struct {
	weight, x, y, xx, xy float64 // weighted sums over the reports
}

// stepFitDecay is the factor applied to older reports at each new one.
const stepFitDecay = 0.98

// minStepFitWeight is the total weight of reports below which Limit returns none.
const minStepFitWeight = 10

// Observe adds one report.
func (f *StepFit) Observe(batch int, step time.Duration) {
	if batch <= 0 || step <= 0 {
		return
	}
	x, y := float64(batch), step.Seconds()
	f.weight = f.weight*stepFitDecay + 1
	f.x = f.x*stepFitDecay + x
	f.y = f.y*stepFitDecay + y
	f.xx = f.xx*stepFitDecay + x*x
	f.xy = f.xy*stepFitDecay + x*y
}

// Limit returns the batch size at which the time between tokens reaches the target, or 0 if
// the reports don't determine it.
func (f *StepFit) Limit(target time.Duration) int {
	determinant := f.weight*f.xx - f.x*f.x
	if f.weight < minStepFitWeight || target <= 0 || determinant < f.weight*f.weight {
		return 0
	}
	slope := (f.weight*f.xy - f.x*f.y) / determinant
	if slope <= 0 {
		return 0
	}
	base := (f.y - slope*f.x) / f.weight
	return max(1, int((target.Seconds()-base)/slope))
}
