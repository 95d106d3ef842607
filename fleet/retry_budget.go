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
	// maxBorrowedSends is how many sends are borrowed at once: only the one needed now, since
	// borrowed sends that are not used are lost to both boxes.
	maxBorrowedSends = 1
	// maxBorrowAttempts bounds the boxes asked for a send, so that a waiting stream is not
	// delayed for long; each takes 1 to 3 ms, and about one in three has a send to lend. All
	// attempts must fit into the gateway's borrowTimeout.
	maxBorrowAttempts = 12
)

// BorrowRequest asks a box of the group for a part of its retry budget.
type BorrowRequest struct {
	Service string `cbor:"1,keyasint"`
	Sends   int    `cbor:"2,keyasint"`
}

// Kind returns the message's kind.
func (BorrowRequest) Kind() string { return "borrow" }

// BorrowResponse contains the sends that the asked box transferred out of its budget.
type BorrowResponse struct {
	Sends int `cbor:"1,keyasint"`
}

// Kind returns the message's kind.
func (BorrowResponse) Kind() string { return "lent" }

// RetryBudgets are this box's parts of the services' retry budgets.
type RetryBudgets interface {
	// TransferOut takes up to the given number of sends from a service's budget and returns how many.
	TransferOut(now time.Time, service string, sends int) int
	// ReceiveTransfer adds sends from another box to a service's budget.
	ReceiveTransfer(now time.Time, service string, sends int)
}

// SetRetryBudgets sets the budgets that the boxes of a group lend each other parts of.
func (p *Peers) SetRetryBudgets(b RetryBudgets) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budgets = b
}

func (p *Peers) retryBudgets() RetryBudgets {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgets
}

// handleBorrowRequest answers a box that wants to borrow sends.
func (p *Peers) handleBorrowRequest(_ context.Context, _ *wire.Conn, req BorrowRequest) (BorrowResponse, error) {
	b := p.retryBudgets()
	if b == nil || req.Sends <= 0 {
		return BorrowResponse{}, nil
	}
	return BorrowResponse{Sends: b.TransferOut(time.Now(), req.Service, min(req.Sends, maxBorrowedSends))}, nil
}

func (p *Peers) randomGroupMember() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.groupAddresses) == 0 {
		return netip.AddrPort{}, false
	}
	return p.groupAddresses[rand.N(len(p.groupAddresses))], true
}

// BorrowRetries asks boxes of the group one after the other until one lends a part of its budget,
// the attempts are used up, or the context ends.
func (p *Peers) BorrowRetries(ctx context.Context, service string) {
	b := p.retryBudgets()
	if b == nil {
		return
	}
	for range maxBorrowAttempts {
		address, ok := p.randomGroupMember()
		if !ok || ctx.Err() != nil || p.borrow(ctx, b, address, service) {
			return
		}
	}
}

// borrow asks one box and reports whether it lent anything.
func (p *Peers) borrow(ctx context.Context, b RetryBudgets, from netip.AddrPort, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	response, err := wire.Request[BorrowResponse](ctx, p.pool, from, BorrowRequest{
		Service: service,
		Sends:   maxBorrowedSends,
	})
	if err != nil {
		p.log.Debug("borrowing retries from box failed, asking another", zap.Stringer("address", from), zap.Error(err))
		return false
	}
	if response.Sends <= 0 {
		return false
	}
	b.ReceiveTransfer(time.Now(), service, min(response.Sends, maxBorrowedSends))
	return true
}
