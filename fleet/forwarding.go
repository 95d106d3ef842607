package fleet

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// WithForwardedHandler sets the handler of requests that other boxes forward to this one.
func WithForwardedHandler(h http.Handler) PeersOption {
	return func(p *Peers) { p.forwarded = h }
}

// SetCutOff sets the services whose endpoints this box can't reach, for the other boxes to know.
func (p *Peers) SetCutOff(services []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.SetCutOff(services)
}

// ForwardingBox returns a random box that can serve the requests for a service that this box is cut
// off from, other than those for which exclude returns true, and whether there is any.
func (p *Peers) ForwardingBox(service string, exclude func(box string) bool) (core.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := core.ForwardingBoxes(p.roster.Self(), p.roster.Alive(time.Now()), service, exclude)
	if len(boxes) == 0 {
		return core.Peer{}, false
	}
	return boxes[rand.N(len(boxes))], true
}

// reachingMembers returns the members of the group that aren't cut off from a service's endpoints.
func (p *Peers) reachingMembers(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutOff := make(map[string]bool)
	for _, m := range p.roster.All(time.Now()) {
		if slices.Contains(m.CutOff, service) {
			cutOff[m.Box] = true
		}
	}
	if len(cutOff) == 0 {
		return p.group.Members
	}
	return slices.DeleteFunc(slices.Clone(p.group.Members), func(box string) bool { return cutOff[box] })
}
