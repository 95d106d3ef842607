package bench

import (
	"dillsaddle.example/dillsaddle/admission"
)

// Policy is one way to decide, for a column of the table.
type Policy struct {
	Name   string
	Change func(*admission.Rules, *run)
	Boxes  int // 1: as if every request asked the owner
}

// Policies are the columns.
func Policies() []Policy {
	return []Policy{
		{Name: "round robin", Change: roundRobin},
		{Name: "least reported", Change: leastReported},
		{Name: "reservation", Change: func(r *admission.Rules, _ *run) { r.ReserveMaxLength = true }},
		{Name: "dillsaddle", Change: func(*admission.Rules, *run) {}},
		{Name: "one owner asked", Change: func(*admission.Rules, *run) {}, Boxes: 1},
		{Name: "oracle", Change: func(r *admission.Rules, n *run) {
			r.KnownLength = func(id string) int { return n.live[id].arrival.Output }
		}},
	}
}

func roundRobin(r *admission.Rules, n *run) {
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

func leastReported(r *admission.Rules, n *run) {
	r.IgnoreFit = true
	r.Choose = func(candidates []string) string {
		best := ""
		for _, name := range candidates {
			if best == "" || n.engines[name].reported.Used < n.engines[best].reported.Used {
				best = name
			}
		}
		return best
	}
}
