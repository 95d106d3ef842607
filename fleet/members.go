package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

// Members gives all boxes that are known but this one.
func (p *Peers) Members() []core.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.All(time.Now())
}

// noticedMost bounds the boxes that one log line names.
const noticedMost = 8

// notice logs which boxes came and went, in a line each: a line a box took 87,000
// lines of the logs at the start of a fleet of 295, two thirds of all.
func (p *Peers) notice(now time.Time) {
	alive := make(map[string]bool)
	var joined, lost []string
	for _, m := range p.roster.Alive(now) {
		alive[m.Box] = true
		if !p.alive[m.Box] {
			joined = append(joined, m.Box)
		}
	}
	for box := range p.alive {
		if !alive[box] {
			lost = append(lost, box)
		}
	}
	p.alive = alive
	p.settle(now)
	p.division.Observe(now, p.roster.All(now))
	p.noticed("boxes joined", joined)
	p.noticed("boxes suspected or leaving", lost)
}

// settle looks whether this box knows most of the others.
func (p *Peers) settle(now time.Time) {
	if p.settled || !p.settling.Observe(now, len(p.alive), len(p.seeds) > 0) {
		return
	}
	p.settled = true
	p.log.Info("most boxes are known", zap.Int("known", len(p.alive)))
}

// IsSettled tells whether this box knows most of the others, and so its own part of what
// is divided among all.
func (p *Peers) IsSettled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled
}

func (p *Peers) noticed(event string, boxes []string) {
	if len(boxes) == 0 {
		return
	}
	slices.Sort(boxes)
	p.log.Info(event, zap.Int("count", len(boxes)), zap.Strings("boxes", boxes[:min(len(boxes), noticedMost)]), zap.Int("known", len(p.alive)))
}
