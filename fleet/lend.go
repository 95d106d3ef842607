package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/wire"
)

const (
	// lendAsk is how many sends a box asks for: the one that it needs now. What
	// is lent and not used is lost to both.
	lendAsk = 1
	// borrowTries bounds the boxes that are asked for it, within the time that a stream
	// can wait; each answers in one to three milliseconds, and one in three has some.
	borrowTries = 12
)

// BorrowRequest asks a box of the group for a part of its retry budget.
type BorrowRequest struct {
	Service string `cbor:"1,keyasint"`
	Sends   int    `cbor:"2,keyasint"`
}

// Kind names the message.
func (BorrowRequest) Kind() string { return "borrow" }

// BorrowResponse is what the asked box gave: it counted these sends as its own.
type BorrowResponse struct {
	Sends int `cbor:"1,keyasint"`
}

// Kind names the message.
func (BorrowResponse) Kind() string { return "lent" }

// RetryBudgets are a box's parts of the retry budgets, as others borrow from them.
type RetryBudgets interface {
	// TransferOut gives up to some sends of a service, counted as spent here.
	TransferOut(now time.Time, service string, sends int) int
	// ReceiveTransfer takes sends that another box gave.
	ReceiveTransfer(now time.Time, service string, sends int)
}

// SetRetryBudgets lets the boxes of a group lend each other parts of their budgets.
func (p *Peers) SetRetryBudgets(b RetryBudgets) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budgets = b
}

func (p *Peers) lender() RetryBudgets {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgets
}

// lend answers a box that asks.
func (p *Peers) lend(_ context.Context, _ *wire.Conn, q BorrowRequest) (BorrowResponse, error) {
	b := p.lender()
	if b == nil || q.Sends <= 0 {
		return BorrowResponse{}, nil
	}
	return BorrowResponse{Sends: b.TransferOut(time.Now(), q.Service, min(q.Sends, lendAsk))}, nil
}

func (p *Peers) anyFellow() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.fellows) == 0 {
		return netip.AddrPort{}, false
	}
	return p.fellows[rand.N(len(p.fellows))], true
}

// BorrowRetries asks boxes of the group one after the other, until one gives a part
// of its budget or the context ends.
func (p *Peers) BorrowRetries(ctx context.Context, service string) {
	b := p.lender()
	if b == nil {
		return
	}
	for range borrowTries {
		address, ok := p.anyFellow()
		if !ok || ctx.Err() != nil || p.borrow(ctx, b, address, service) {
			return
		}
	}
}

// borrow asks one box, and tells whether it gave something.
func (p *Peers) borrow(ctx context.Context, b RetryBudgets, from netip.AddrPort, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	lent, err := wire.Request[BorrowResponse](ctx, p.pool, from, BorrowRequest{
		Service: service,
		Sends:   lendAsk,
	})
	if err != nil {
		p.log.Debug("no part of a budget came", zap.Stringer("address", from), zap.Error(err))
		return false
	}
	if lent.Sends <= 0 {
		return false
	}
	b.ReceiveTransfer(time.Now(), service, min(lent.Sends, lendAsk))
	return true
}
