package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

// Members returns all known boxes but this one.
func (p *Peers) Members() []core.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.All(time.Now())
}

// maxLoggedBoxes bounds the boxes that a log line lists.
const maxLoggedBoxes = 8

// logRosterChanges logs the boxes that became alive and those that were lost, in a line each, and
// updates what depends on the roster. With a line for each box, the start of a fleet of 295 boxes
// would log 87,000 lines.
func (p *Peers) logRosterChanges(now time.Time) {
	aliveBoxes := make(map[string]bool)
	var joined, lost []string
	for _, m := range p.roster.Alive(now) {
		aliveBoxes[m.Box] = true
		if !p.aliveBoxes[m.Box] {
			joined = append(joined, m.Box)
		}
	}
	for box := range p.aliveBoxes {
		if !aliveBoxes[box] {
			lost = append(lost, box)
		}
	}
	p.aliveBoxes = aliveBoxes
	p.checkDiscovery(now)
	p.rateShares.Observe(now, p.roster.All(now))
	p.logBoxes("boxes joined", joined)
	p.logBoxes("boxes suspected or leaving", lost)
	if len(lost) > 0 {
		// The handler may call back, and mu is held here.
		go p.handleBoxesGone(lost)
	}
}

// handleBoxesGone passes the boxes that were suspected or left to the handler.
func (p *Peers) handleBoxesGone(boxes []string) {
	for _, box := range boxes {
		p.onBoxGone(box)
	}
}

// checkDiscovery updates whether this box has discovered most of its peers.
func (p *Peers) checkDiscovery(now time.Time) {
	if p.discovered || !p.discovery.Observe(now, len(p.aliveBoxes), len(p.seeds) > 0) {
		return
	}
	p.discovered = true
	p.log.Info("most boxes discovered", zap.Int("known", len(p.aliveBoxes)))
}

// HasDiscoveredPeers reports whether this box knows most of the others, and thus its share of
// what is divided among all.
func (p *Peers) HasDiscoveredPeers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discovered
}

func (p *Peers) logBoxes(event string, boxes []string) {
	if len(boxes) == 0 {
		return
	}
	slices.Sort(boxes)
	p.log.Info(event, zap.Int("count", len(boxes)), zap.Strings("boxes", boxes[:min(len(boxes), maxLoggedBoxes)]), zap.Int("known", len(p.aliveBoxes)))
}
