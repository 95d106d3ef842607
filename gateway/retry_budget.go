package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// keptSends is what a box with streams under way keeps for itself when another one
	// asks. In a large fleet a box's own part is one to four sends; one that kept three
	// of them would never lend any.
	keptSends = 1
	// borrowTimeout bounds how long a stream that broke waits for a send from
	// another box's part; a box answers in a few milliseconds.
	borrowTimeout = 120 * time.Millisecond
)

// streamCounts are a service's streams under way at this box.
type streamCounts struct {
	total   int
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
			n.total++
			if !ok || e.Leaving {
				n.leaving++
			}
		}
	}
	return n
}

// sendsToKeep gives how many sends this box keeps for itself when another one asks: none
// without streams of its own. In a large fleet each box's part of the slack is one send,
// and boxes without callers have the most to lend.
func (g *Gateway) sendsToKeep(service string) int {
	n := g.countStreams(service)
	if n.total == 0 {
		return 0
	}
	return keptSends + n.leaving
}

// takeStreamRetry tells whether a stream that broke may be sent again, and asks other
// boxes for a part of their budgets if this one's is spent. A stream is worth the
// wait, a short call is not.
func (p *proxiedRequest) takeStreamRetry(service string) bool {
	p.ensureRetryBudget(service)
	return p.gateway.takeRetry(service)
}

// ensureRetryBudget asks other boxes for a part of their budgets if this one's is spent, and
// tells whether a send is left.
func (p *proxiedRequest) ensureRetryBudget(service string) bool {
	g := p.gateway
	if g.hasRetryBudget(service) {
		return true
	}
	if g.borrowSends == nil {
		return false
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(p.request.Context(), borrowTimeout)
	defer cancel()
	g.borrowSends(ctx, service)
	available := g.hasRetryBudget(service)
	p.logAsync("asked other boxes for a send",
		zap.Int("boxes", g.boxes()),
		zap.Duration("asked_for", time.Since(begun)),
		zap.Bool("allowed", available),
	)
	return available
}

// TransferOut gives a part of this box's budget to another one.
func (g *Gateway) TransferOut(now time.Time, service string, sends int) int {
	keep := g.sendsToKeep(service)
	lent := 0
	boxes := g.boxes()
	g.withBudget(service, now, func(b *core.SharedBudget) { lent = b.TransferOut(now, boxes, sends, keep) })
	return lent
}

// ReceiveTransfer takes what another box gave.
func (g *Gateway) ReceiveTransfer(now time.Time, service string, sends int) {
	g.withBudget(service, now, func(b *core.SharedBudget) { b.TransferIn(now, sends) })
}
