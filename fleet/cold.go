package fleet

import "time"

// ColdShare gives how many of the sends that a cold endpoint bears in a second, from all
// boxes together, fall to this one.
func (p *Peers) ColdShare(endpoint string, sends int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settled || (!p.roster.Met() && len(p.seeds) > 0) {
		return 0
	}
	return p.division.Share(time.Now(), endpoint, sends)
}
