package admission

import "time"

// StepFit fits an engine's time between tokens as a line over its batch, from
// lagged reports, the newer counting more.
type StepFit struct {
	weight, x, y, xx, xy float64
}

const stepFitDecay = 0.98

// minStepFitWeight is the weight of reports below which no limit is given.
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

// Limit gives the batch at which the time between tokens reaches the target,
// or 0 if the reports don't tell.
func (f *StepFit) Limit(target time.Duration) int {
	spread := f.weight*f.xx - f.x*f.x
	if f.weight < minStepFitWeight || target <= 0 || spread < f.weight*f.weight {
		return 0
	}
	slope := (f.weight*f.xy - f.x*f.y) / spread
	if slope <= 0 {
		return 0
	}
	base := (f.y - slope*f.x) / f.weight
	return max(1, int((target.Seconds()-base)/slope))
}
