package gateway

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// shortLeast is how many second sends a box wants to have at hand beside
	// those for the streams that it must move soon.
	shortLeast = 2
	// lendKeep is what a box keeps for itself when another one asks.
	lendKeep = 3
)

// Short names the services of which this box has fewer second sends left than
// it may soon need: one for each stream whose engine leaves.
func (g *Gateway) Short(now time.Time) []string {
	needs := g.leavingStreams()
	boxes := g.boxes()
	g.mu.Lock()
	defer g.mu.Unlock()
	var short []string
	for service, b := range g.budgets {
		if b.Has(now, boxes) < shortLeast+needs[service] {
			short = append(short, service)
		}
	}
	return short
}

// leavingStreams counts the streams whose engine leaves or is gone, by service.
func (g *Gateway) leavingStreams() map[string]int {
	v := g.view()
	g.mu.Lock()
	defer g.mu.Unlock()
	needs := make(map[string]int)
	for id, streams := range g.streams {
		if e, ok := v.Endpoint(id); ok && !e.Leaving {
			continue
		}
		for p := range streams {
			needs[p.service.Name]++
		}
	}
	return needs
}

// Lend gives a part of this box's budget to another one.
func (g *Gateway) Lend(now time.Time, service string, sends int) int {
	keep := lendKeep + g.leavingStreams()[service]
	given := 0
	boxes := g.boxes()
	g.budget(service, now, func(b *core.SharedBudget) { given = b.Lend(now, boxes, sends, keep) })
	return given
}

// Borrowed takes what another box gave.
func (g *Gateway) Borrowed(now time.Time, service string, sends int) {
	g.budget(service, now, func(b *core.SharedBudget) { b.Borrow(now, sends) })
}
