package bench

import (
	"dillsaddle.example/dillsaddle/admission"
)

// Policy is an admission and placement policy to be compared; Name heads its column of the
// table, and Apply changes the admission rules of each box.
type Policy struct {
	Name  string
	Apply func(*admission.Rules, *simulation)
	Boxes int // number of boxes; 0 for the default, 1 for a single box that decides everything
}

// Policies returns the compared policies in the order of the table's columns.
func Policies() []Policy {
	return []Policy{
		{Name: "round robin", Apply: roundRobin},
		{Name: "least reported", Apply: leastReported},
		{Name: "reservation", Apply: func(r *admission.Rules, _ *simulation) { r.ReserveMaxLength = true }},
		{Name: "dillsaddle", Apply: func(*admission.Rules, *simulation) {}},
		{Name: "one owner asked", Apply: func(*admission.Rules, *simulation) {}, Boxes: 1},
		{Name: "oracle", Apply: func(r *admission.Rules, sim *simulation) {
			r.KnownLength = func(id string) int { return sim.active[id].arrival.Output }
		}},
	}
}

// roundRobin sends requests to the endpoints in turn, without regard to their memory.
func roundRobin(r *admission.Rules, sim *simulation) {
	next := 0
	r.IgnoreFit = true
	r.Choose = func(candidates []string) string {
		if len(candidates) == 0 {
			return ""
		}
		next++
		return candidates[next%len(candidates)]
	}
}

// leastReported sends a request to the endpoint that last reported the least memory in use.
func leastReported(r *admission.Rules, sim *simulation) {
	r.IgnoreFit = true
	r.Choose = func(candidates []string) string {
		best := ""
		for _, name := range candidates {
			if best == "" || sim.engines[name].visibleReport.Used < sim.engines[best].visibleReport.Used {
				best = name
			}
		}
		return best
	}
}
