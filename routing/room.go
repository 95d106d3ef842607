package routing

import "time"

// minTargetRatio is the ratio of two latency targets from which the requests with the longer one
// have time to wait while those with the shorter one are served.
const minTargetRatio = 2

// streamTargets are the latency targets of the streaming routes that lead to a service.
type streamTargets struct {
	shortest time.Duration // 0 if no route has a target
	longest  time.Duration
}

// newStreamTargets returns the latency targets of a document's streaming routes, by service.
func newStreamTargets(d *Document) map[string]streamTargets {
	all := make(map[string]streamTargets)
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Kind != Streaming || r.LatencyTarget <= 0 {
			continue
		}
		for _, s := range r.Split {
			t, known := all[s.Service]
			if !known || r.LatencyTarget < t.shortest {
				t.shortest = r.LatencyTarget
			}
			t.longest = max(t.longest, r.LatencyTarget)
			all[s.Service] = t
		}
	}
	return all
}

// WaitsForRoom reports whether the streaming requests of a service wait at their box until an
// engine has room: its engines' memory is known, and one of its streaming routes has a latency
// target of at least twice that of another one.
func (t *Table) WaitsForRoom(service string) bool { return t.waitingServices[service] }

// newWaitingServices returns the services for which WaitsForRoom holds.
func newWaitingServices(services map[string]*Service, targets map[string]streamTargets) map[string]bool {
	waiting := make(map[string]bool)
	for name, s := range services {
		t := targets[name]
		if s.Engine != nil && s.Engine.MemoryTokens > 0 && t.shortest > 0 && t.longest >= minTargetRatio*t.shortest {
			waiting[name] = true
		}
	}
	return waiting
}

// StreamTarget returns the latency target of a streaming route's requests to a service. A route
// without a target has the longest one of the service.
func (t *Table) StreamTarget(r *Route, service string) time.Duration {
	if r.LatencyTarget > 0 {
		return r.LatencyTarget
	}
	return t.streamTargets[service].longest
}

// HasTimeToWait reports whether the target of a streaming route's requests to a service is at
// least twice the service's shortest one.
func (t *Table) HasTimeToWait(r *Route, service string) bool {
	return t.StreamTarget(r, service) >= minTargetRatio*t.streamTargets[service].shortest
}
