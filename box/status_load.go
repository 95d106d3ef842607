package box

import (
	"cmp"
	"slices"
	"time"
)

// Limits on the length of the lists of waiting requests and of engines in a status.
const (
	maxWaiting = 32
	maxEngines = 72 // all engines of a group whose boxes use all engines
)

// WaitingRequests are the requests that wait until an engine has room, in a status.
type WaitingRequests struct {
	Own      int              `json:"own"`                // requests that wait at this box
	Remote   int              `json:"remote"`             // requests of other boxes of the group, as far as known
	Requests []WaitingRequest `json:"requests,omitempty"` // own ones, in the order in which they are sent
}

// WaitingRequest is a request that waits at this box.
type WaitingRequest struct {
	Request      string `json:"request"`
	Route        string `json:"route"`
	CustomerRank int    `json:"customer_rank"` // lower ranks are sent first
	RouteRank    int    `json:"route_rank"`    // orders requests of equal customer rank
	Wait         string `json:"for"`           // time since it began to wait
}

// EngineLoad is what the box knows of an engine's load and pace, in a status.
type EngineLoad struct {
	Endpoint  string   `json:"endpoint"`
	Pace      string   `json:"pace,omitempty"`     // usual time between two events of a stream; empty if unknown
	Reported  *float64 `json:"reported,omitempty"` // memory in use by the engine's last report, as a fraction; nil if there is none
	Estimated float64  `json:"estimated"`          // memory in use as the box estimates it, as a fraction
	Sensitive int      `json:"pause_sensitive"`    // streams there that have a target for their pauses
}

// SetWaiting sets the requests that wait, of which the first maxWaiting own ones are listed.
func (s *Status) SetWaiting(own []WaitingRequest, remote int) {
	s.Waiting = WaitingRequests{
		Own:      len(own),
		Remote:   remote,
		Requests: own[:min(len(own), maxWaiting)],
	}
}

// SetEngines sets the engines, of which the maxEngines fullest ones are listed by ID.
func (s *Status) SetEngines(all []EngineLoad) {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b EngineLoad) int {
		return cmp.Or(cmp.Compare(b.Estimated, a.Estimated), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	s.OmittedEngines = max(len(all)-maxEngines, 0)
	s.Engines = all[:len(all)-s.OmittedEngines]
	slices.SortFunc(s.Engines, func(a, b EngineLoad) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}

// addLoad adds the sections on waiting requests and engines to a status.
func (b *Box) addLoad(now time.Time, s *Status) {
	own, remote := b.waitingRequests(now)
	s.SetWaiting(own, remote)
	s.SetEngines(b.engineLoads(now))
}

// waitingRequests returns the requests that wait at this box, in the order in which they are sent,
// and the number of those known from other boxes. The gateway doesn't provide them yet.
func (b *Box) waitingRequests(time.Time) (own []WaitingRequest, remote int) { return nil, 0 }

// engineLoads returns the load and pace of the engines that the box knows. The gateway doesn't
// provide them yet.
func (b *Box) engineLoads(time.Time) []EngineLoad { return nil }
