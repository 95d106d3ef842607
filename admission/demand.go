package admission

import (
	"maps"
	"slices"
	"time"
)

// EndpointDemand is this box's demand of one endpoint.
type EndpointDemand struct {
	Endpoint      string
	ReportingSlot int // slot whose owner is asked for the usage of the other boxes
	Demand
}

// A lease is renewed when its remaining time falls below these margins, which Demands ignores
// if it is eager and requests wait.
const (
	renewMarginInUse = 2 * time.Second
	renewMarginIdle  = time.Second
)

// Demands returns this box's demand of each endpoint that has a lease due for renewal; with
// eager set, of all endpoints while requests wait. The expected tokens of the waiting
// requests are divided evenly among the endpoints.
func (m *Model) Demands(now time.Time, eager bool) []EndpointDemand {
	waiting, rank := m.waitingDemand()
	waiting /= max(1, len(m.endpointNames))
	demands := make([]EndpointDemand, 0, len(m.endpoints))
	for _, name := range slices.Sorted(maps.Keys(m.endpoints)) {
		state := m.endpoints[name]
		if !(eager && waiting > 0) && !state.needsRenewal(now) {
			continue
		}
		state.recomputeOwn(m.profile)
		demands = append(demands, EndpointDemand{
			Endpoint:      name,
			ReportingSlot: state.reportingSlot(now),
			Demand: Demand{
				Profile: state.own,
				Running: len(state.running),
				Waiting: waiting,
				Rank:    rank,
			},
		})
	}
	return demands
}

// waitingDemand returns the most urgent rank that has waiting requests, and the expected
// tokens of the requests of that rank.
func (m *Model) waitingDemand() (tokens, rank int) {
	rank = m.waiting.bestRank()
	for _, requests := range m.waiting.byCustomer {
		for _, r := range requests {
			if r.Rank == rank {
				tokens += r.PromptTokens + int(m.estimator.Curve(r.key()).Remaining(0, r.MaxTokens))
			}
		}
	}
	return tokens, rank
}
