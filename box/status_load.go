package box

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits on the length of the lists of waiting requests, engines and classes in a status.
const (
	maxWaiting     = 32
	maxEngines     = 72 // all engines of a group whose boxes use all engines
	maxPaceClasses = 72 // those of eight services
)

// paceUnit is the unit to which times between events are rounded in a status.
const paceUnit = 100 * time.Microsecond

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

// PaceClass is a class of engines of about the same pace, in a status. Exposures and breaks are
// decaying counts, whose weight halves every 30 s.
type PaceClass struct {
	Service      string  `json:"service"`
	RelativePace string  `json:"relative_pace"`  // time between events as a multiple of the service's median; lower is faster
	Engines      int     `json:"engines"`        // whose pace is known
	Pace         string  `json:"pace,omitempty"` // average time between events; empty without engines
	Exposures    float64 `json:"exposures"`      // prompts sent to the engines during pause-sensitive streams there
	Breaks       float64 `json:"breaks"`         // streams with a pause beyond their target
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
	s.PaceClasses = b.paceClasses()
}

// waitingRequests returns the requests that wait at this box, in the order in which they are sent,
// and the number of those known from other boxes.
func (b *Box) waitingRequests(now time.Time) (own []WaitingRequest, remote int) {
	waiting := b.gateway.Waiting()
	for _, w := range waiting.Own {
		own = append(own, WaitingRequest{
			Request:      w.ID,
			Route:        w.Route,
			CustomerRank: w.Priority.Customer,
			RouteRank:    w.Priority.Route,
			Wait:         now.Sub(w.Since).Round(time.Millisecond).String(),
		})
	}
	return own, waiting.Remote
}

// engineLoads returns the load and pace of the engines that may get new requests.
func (b *Box) engineLoads(now time.Time) []EngineLoad {
	var out []EngineLoad
	for _, e := range b.gateway.EngineLoads(now) {
		shown := EngineLoad{
			Endpoint:  e.Endpoint,
			Reported:  e.Reported,
			Estimated: e.Estimated,
			Sensitive: e.PacedStreams,
		}
		if e.EventInterval > 0 {
			shown.Pace = e.EventInterval.Round(paceUnit).String()
		}
		out = append(out, shown)
	}
	return out
}

// paceClasses returns the classes of pace of the engines of each service, fastest first.
func (b *Box) paceClasses() []PaceClass {
	all := b.gateway.EnginePaces()
	var out []PaceClass
	for _, service := range slices.Sorted(maps.Keys(all)) {
		for _, c := range all[service] {
			shown := PaceClass{
				Service:      service,
				RelativePace: c.Class.String(),
				Engines:      c.Engines,
				Exposures:    math.Round(c.Exposures),
				Breaks:       math.Round(c.Breaks),
			}
			if c.Engines > 0 {
				shown.Pace = c.EventInterval.Round(paceUnit).String()
			}
			out = append(out, shown)
		}
	}
	return out[:min(len(out), maxPaceClasses)]
}
