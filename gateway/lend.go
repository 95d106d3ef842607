package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// lendKeep is what a box with streams under way keeps for itself when another one
	// asks. In a large fleet a box's own part is one to four sends; one that kept three
	// of them would never lend any.
	lendKeep = 1
	// borrowTime bounds how long a stream that broke waits for a send from
	// another box's part; a box answers in a few milliseconds.
	borrowTime = 120 * time.Millisecond
)

// streamCounts are a service's streams under way at this box.
type streamCounts struct {
	all     int
	leaving int // whose engine leaves or is gone
}

func (g *Gateway) countStreams(service string) streamCounts {
	v := g.view()
	g.mu.Lock()
	defer g.mu.Unlock()
	var n streamCounts
	for id, streams := range g.streams {
		e, ok := v.Endpoint(id)
		for p := range streams {
			if p.service.Name != service {
				continue
			}
			n.all++
			if !ok || e.Leaving {
				n.leaving++
			}
		}
	}
	return n
}

// keeps gives how many sends this box keeps for itself when another one asks: none
// without streams of its own. In a large fleet each box's part of the slack is one send,
// and boxes without callers have the most to lend.
func (g *Gateway) keeps(service string) int {
	n := g.countStreams(service)
	if n.all == 0 {
		return 0
	}
	return lendKeep + n.leaving
}

// mayContinue tells whether a stream that broke may be sent again, and asks other
// boxes for a part of their budgets if this one's is spent. A stream is worth the
// wait, a short call is not.
func (p *passage) mayContinue(service string) bool {
	p.borrowSend(service)
	return p.gateway.mayRepeat(service)
}

// borrowSend asks other boxes for a part of their budgets if this one's is spent, and
// tells whether a send is left.
func (p *passage) borrowSend(service string) bool {
	g := p.gateway
	if g.hasSend(service) {
		return true
	}
	if g.borrow == nil {
		return false
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(p.request.Context(), borrowTime)
	defer cancel()
	g.borrow(ctx, service)
	has := g.hasSend(service)
	p.note("asked other boxes for a send",
		zap.Int("boxes", g.boxes()),
		zap.Duration("asked_for", time.Since(begun)),
		zap.Bool("allowed", has),
	)
	return has
}

// TransferOut gives a part of this box's budget to another one.
func (g *Gateway) TransferOut(now time.Time, service string, sends int) int {
	keep := g.keeps(service)
	given := 0
	boxes := g.boxes()
	g.budget(service, now, func(b *core.SharedBudget) { given = b.TransferOut(now, boxes, sends, keep) })
	return given
}

// ReceiveTransfer takes what another box gave.
func (g *Gateway) ReceiveTransfer(now time.Time, service string, sends int) {
	g.budget(service, now, func(b *core.SharedBudget) { b.TransferIn(now, sends) })
}
