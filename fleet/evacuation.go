package fleet

import (
	"context"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/wire"
)

// Evacuating is what a box tells its group of an engine that leaves: the runs
// that it has to move off it, and those that are over.
type Evacuating struct {
	Endpoint     string        `cbor:"1,keyasint"`
	Runs         []PendingMove `cbor:"2,keyasint,omitempty"`
	FinishedRuns []string      `cbor:"3,keyasint,omitempty"`
	MovingRunID  string        `cbor:"4,keyasint,omitempty"` // the run whose memory goes to the target
	Target       string        `cbor:"5,keyasint,omitempty"`
	Relay        bool          `cbor:"6,keyasint,omitempty"` // hand it on to the boxes of the own zone
}

// Kind names the message.
func (Evacuating) Kind() string { return "evacuating" }

// PendingMove is a run that waits for its move.
type PendingMove struct {
	ID       string        `cbor:"1,keyasint"`
	Rank     int           `cbor:"2,keyasint,omitempty"`
	Value    float64       `cbor:"3,keyasint"`
	CopyTime time.Duration `cbor:"4,keyasint"` // on a free link
}

// WithEvacuationHandler is called with what other boxes of the group tell of engines
// that leave.
func WithEvacuationHandler(onEvacuating func(time.Time, Evacuating)) PeersOption {
	return func(p *Peers) { p.onEvacuating = onEvacuating }
}

// ReportLeaving takes an endpoint's own word to this box that it is on its way out, and
// tells the boxes of the group if that is news.
func (p *Peers) ReportLeaving(endpoint string) {
	if p.belief.MarkLeaving(time.Now(), fromEngine, endpoint) {
		p.BroadcastEvacuating(Evacuating{Endpoint: endpoint})
	}
}

// BroadcastEvacuating tells the boxes of the group at once: an engine that leaves is gone
// after a second or two.
func (p *Peers) BroadcastEvacuating(e Evacuating) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pushEvacuating(p.paths.near, e)
	e.Relay = true
	p.pushEvacuating(p.paths.relays(), e)
}

func (p *Peers) pushEvacuating(to []netip.AddrPort, e Evacuating) {
	for _, address := range to {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), greetTime)
			defer cancel()
			// Who doesn't hear it lets the turns pass.
			if c, err := p.pool.Get(ctx, address); err == nil {
				_ = c.Push(ctx, e)
			}
		}()
	}
}

// evacuating takes a fellow's word on an engine that leaves, which may be the first
// that this box hears of it.
func (p *Peers) evacuating(_ context.Context, _ *wire.Conn, e Evacuating) {
	if e.Relay {
		e.Relay = false
		p.mu.Lock()
		p.pushEvacuating(p.paths.near, e)
		p.mu.Unlock()
	}
	now := time.Now()
	p.belief.MarkLeaving(now, fromPeer, e.Endpoint)
	p.onEvacuating(now, e)
}
