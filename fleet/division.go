package fleet

import "time"

// RateShare gives how many of the sends that an endpoint takes in a while, from all boxes
// together, fall to this one.
func (p *Peers) RateShare(endpoint string, units int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settled || (!p.roster.HasContact() && len(p.seeds) > 0) {
		return 0
	}
	return p.division.Share(time.Now(), endpoint, units)
}
