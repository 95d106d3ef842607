package fleet

import "time"

// RateShare returns this box's share of the requests that an endpoint accepts per interval from
// all boxes together. It is zero until the box has discovered its peers.
func (p *Peers) RateShare(endpoint string, perInterval int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.discovered || (!p.roster.HasContact() && len(p.seeds) > 0) {
		return 0
	}
	return p.rateShares.Share(time.Now(), endpoint, perInterval)
}
