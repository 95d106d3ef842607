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
	// lendEvery spaces a box's askings of the others of its group.
	lendEvery = 100 * time.Millisecond
	// lendAsk is how many sends a box asks for at once.
	lendAsk = 4
)

// Borrow asks a box of the group for a part of its retry budget.
type Borrow struct {
	Service string `cbor:"1,keyasint"`
	Sends   int    `cbor:"2,keyasint"`
}

// Kind names the message.
func (Borrow) Kind() string { return "borrow" }

// Lent is what the asked box gave: it counted these sends as its own.
type Lent struct {
	Sends int `cbor:"1,keyasint"`
}

// Kind names the message.
func (Lent) Kind() string { return "lent" }

// Budgets are a box's parts of the retry budgets, as others borrow from them.
type Budgets interface {
	// Short names the services of which the box is short of second sends.
	Short(now time.Time) []string
	// Lend gives up to some sends of a service, counted as spent here.
	Lend(now time.Time, service string, sends int) int
	// Borrowed takes sends that another box gave.
	Borrowed(now time.Time, service string, sends int)
}

// SetBudgets lets the boxes of a group lend each other parts of their budgets.
func (p *Peers) SetBudgets(b Budgets) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budgets = b
}

func (p *Peers) lender() Budgets {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgets
}

// lend answers a box that asks.
func (p *Peers) lend(_ context.Context, _ *wire.Conn, q Borrow) (Lent, error) {
	b := p.lender()
	if b == nil || q.Sends <= 0 {
		return Lent{}, nil
	}
	return Lent{Sends: b.Lend(time.Now(), q.Service, min(q.Sends, lendAsk))}, nil
}

// runBorrowing asks others while the box is short.
func (p *Peers) runBorrowing(ctx context.Context) {
	for ctx.Err() == nil {
		if b := p.lender(); b != nil {
			for _, service := range b.Short(time.Now()) {
				if address, ok := p.anyFellow(); ok {
					go p.borrow(ctx, b, address, service)
				}
			}
		}
		sleep(ctx, lendEvery)
	}
}

func (p *Peers) anyFellow() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.fellows) == 0 {
		return netip.AddrPort{}, false
	}
	return p.fellows[rand.N(len(p.fellows))], true
}

func (p *Peers) borrow(ctx context.Context, b Budgets, from netip.AddrPort, service string) {
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	lent, err := wire.Request[Lent](ctx, p.pool, from, Borrow{
		Service: service,
		Sends:   lendAsk,
	})
	if err != nil {
		p.log.Debug("no part of a budget came", zap.Stringer("address", from), zap.Error(err))
		return
	}
	if lent.Sends > 0 {
		b.Borrowed(time.Now(), service, min(lent.Sends, lendAsk))
	}
}
