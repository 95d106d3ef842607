package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// crowdedTimes is how many times a stream's target the wait for its first event may
	// be expected to take.
	crowdedTimes = 1.0
	// leastRoomIn bounds from below when a caller that met only full engines may return.
	leastRoomIn = 500 * time.Millisecond
)

// tooLate tells whether a stream's first event can't come in time at the endpoint that was
// chosen for it.
func (p *passage) tooLate(now time.Time, e routing.Endpoint) bool {
	if p.service.Engine == nil || p.begun || p.call.Sends() > 0 || p.route.Target <= 0 || p.returned() {
		return false
	}
	p.wait = p.gateway.spread.Estimate(now, e, p.want(nil)).First
	return now.Sub(p.start)+p.wait > time.Duration(crowdedTimes*float64(p.route.Target))
}

// returned tells whether the caller has waited before: it has less patience than most.
func (p *passage) returned() bool {
	usual := p.gateway.patience.of(p.route.Name)
	return usual-p.in.Patience > p.route.Target/4
}

// roomIn gives when a caller that met only full engines may return.
func (p *passage) roomIn() time.Duration {
	return spread(max(p.wait, leastRoomIn))
}
