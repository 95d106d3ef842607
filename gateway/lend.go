package gateway

import (
	"context"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// lendKeep is what a box keeps for itself when another one asks. In a large
	// fleet a box's own part is three or four sends; one that kept three of them
	// would never lend any.
	lendKeep = 1
	// borrowTime bounds how long a stream that broke waits for a send from
	// another box's part; a box answers in a few milliseconds.
	borrowTime = 120 * time.Millisecond
)

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

// mayContinue tells whether a stream that broke may be sent again; it asks
// another box for a part of its budget if this one's is spent. A stream is worth
// the wait, a short call is not.
func (g *Gateway) mayContinue(ctx context.Context, service string) bool {
	has := 0
	boxes := g.boxes()
	g.budget(service, time.Now(), func(b *core.SharedBudget) { has = b.Has(time.Now(), boxes) })
	if has < 1 && g.borrow != nil {
		ctx, cancel := context.WithTimeout(ctx, borrowTime)
		defer cancel()
		g.borrow(ctx, service)
	}
	return g.mayRepeat(service)
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
