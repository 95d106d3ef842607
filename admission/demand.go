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
	renewMarginInUse = 2 * time.Second
	renewMarginIdle  = time.Second
)

// Demands gives what this box uses of each endpoint whose lease is due to be
// renewed, and, if eager, of all endpoints while requests wait. The waiting
// requests' expected tokens are spread evenly.
func (m *Model) Demands(now time.Time, eager bool) []EndpointDemand {
	waiting, rank := m.waitingDemand()
	waiting /= max(1, len(m.endpointNames))
	demands := make([]EndpointDemand, 0, len(m.endpoints))
	for _, name := range slices.Sorted(maps.Keys(m.endpoints)) {
		p := m.endpoints[name]
		if !(eager && waiting > 0) && !p.needsRenewal(now) {
			continue
		}
		p.recomputeOwn(m.profile)
		demands = append(demands, EndpointDemand{
			Endpoint:      name,
			ReportingSlot: p.reportingSlot(now),
			Demand: Demand{
				Profile: p.own,
				Running: len(p.running),
				Waiting: waiting,
				Rank:    rank,
			},
		})
	}
	return demands
}

// waitingDemand gives the expected tokens of the requests of the best rank
// that wait, and that rank.
func (m *Model) waitingDemand() (tokens, rank int) {
	rank = m.waiting.bestRank()
	for _, line := range m.waiting.byCustomer {
		for _, r := range line {
			if r.Rank == rank {
				tokens += r.PromptTokens + int(m.estimator.Curve(r.key()).Remaining(0, r.MaxTokens))
			}
		}
	}
	return tokens, rank
}
