package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// keptSends is how many sends a box with running streams keeps when another box
	// requests some. In a large fleet a box's share of the budget is one to four sends; a box
	// that kept three would hardly ever lend one.
	keptSends = 1
	// borrowTimeout bounds how long a request waits for a send from other boxes, each of
	// which answers within a few milliseconds.
	borrowTimeout = 120 * time.Millisecond
)

// streamCounts holds the numbers of a service's streams running at this box.
type streamCounts struct {
	total   int
	leaving int // those whose engine leaves or is gone
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

// sendsToKeep returns how many sends this box keeps when another one requests some: none
// without streams of its own, otherwise keptSends and one for each stream whose engine
// leaves.
func (g *Gateway) sendsToKeep(service string) int {
	n := g.countStreams(service)
	if n.total == 0 {
		return 0
	}
	return keptSends + n.leaving
}

// ensureRetryBudget requests sends from other boxes if this box's share of the retry budget
// is spent, and reports whether a send is available.
func (p *proxiedRequest) ensureRetryBudget(service string) bool {
	g := p.gateway
	if g.hasRetryBudget(service) {
		return true
	}
	if g.borrowRetries == nil {
		return false
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, borrowTimeout)
	defer cancel()
	g.borrowRetries(ctx, service)
	available := g.hasRetryBudget(service)
	p.logAsync("retry budget spent; requested sends from other boxes",
		zap.Int("boxes", g.budgetShare().Boxes),
		zap.Duration("asked_for", time.Since(requestedAt)),
		zap.Bool("allowed", available),
	)
	return available
}

// TransferOut transfers up to the requested number of sends from this box's retry budget to
// another box, and returns how many.
func (g *Gateway) TransferOut(now time.Time, service string, sends int) int {
	keep := g.sendsToKeep(service)
	transferred := 0
	share := g.budgetShare()
	g.withBudget(service, now, func(b *core.SharedBudget) { transferred = b.TransferOut(now, share, sends, keep) })
	return transferred
}

// ReceiveTransfer adds sends that another box transferred to this box's retry budget.
func (g *Gateway) ReceiveTransfer(now time.Time, service string, sends int) {
	g.withBudget(service, now, func(b *core.SharedBudget) { b.TransferIn(now, sends) })
}
