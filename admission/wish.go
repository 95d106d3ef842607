package admission

import (
	"maps"
	"slices"
	"time"
)

// EndpointDemand is what this box uses of one endpoint and wants more of.
type EndpointDemand struct {
	Endpoint      string
	ReportingSlot int // the owner's slot that should say what other boxes hold
	Demand
}

// A lease is renewed when less of it is left than these: at each turn while
// requests wait, later while the endpoint is in use, last when it is not.
const (
	renewInUse = 2 * time.Second
	renewIdle  = time.Second
)

// Demands gives what this box uses of each endpoint whose lease is due to be
// renewed, and, if eager, of all endpoints while requests wait. The waiting
// requests' expected tokens are spread evenly.
func (m *Model) Demands(now time.Time, eager bool) []EndpointDemand {
	waiting, rank := m.expectedWaiting()
	waiting /= max(1, len(m.names))
	wishes := make([]EndpointDemand, 0, len(m.places))
	for _, name := range slices.Sorted(maps.Keys(m.places)) {
		p := m.places[name]
		if !(eager && waiting > 0) && !p.due(now) {
			continue
		}
		p.refresh(m.profile)
		wishes = append(wishes, EndpointDemand{
			Endpoint:      name,
			ReportingSlot: p.teller(now),
			Demand: Demand{
				Profile: p.own,
				Running: len(p.running),
				Waiting: waiting,
				Rank:    rank,
			},
		})
	}
	return wishes
}

// expectedWaiting gives the expected tokens of the requests of the best rank
// that wait, and that rank.
func (m *Model) expectedWaiting() (tokens, rank int) {
	rank = m.waiting.bestRank()
	for _, line := range m.waiting.lines {
		for _, r := range line {
			if r.Rank == rank {
				tokens += r.PromptTokens + int(m.estimator.Curve(r.key()).Remaining(0, r.MaxTokens))
			}
		}
	}
	return tokens, rank
}
