package fleet

import (
	"context"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
	"dillsaddle.example/dillsaddle/wire"
)

// Evacuating lists the sender's runs that must be moved off an engine that leaves or is no longer
// listed, and those that no longer need to be.
type Evacuating struct {
	Endpoint     string        `cbor:"1,keyasint"`
	Runs         []PendingMove `cbor:"2,keyasint,omitempty"`
	FinishedRuns []string      `cbor:"3,keyasint,omitempty"`
	MovingRunID  string        `cbor:"4,keyasint,omitempty"` // run that is moved to the target
	Target       string        `cbor:"5,keyasint,omitempty"`
	Relay        bool          `cbor:"6,keyasint,omitempty"`  // the receiver forwards it to the boxes of its own zone
	Tokens       int           `cbor:"7,keyasint,omitempty"`  // memory that the moved run will hold at the target at its expected end
	Reserved     bool          `cbor:"8,keyasint,omitempty"`  // the target is only reserved; the move hasn't started
	Refused      []string      `cbor:"9,keyasint,omitempty"`  // engines that refused the moved run
	Notice       time.Duration `cbor:"10,keyasint,omitempty"` // how long the engine ran after it was found to be leaving; it has ended
	Announced    bool          `cbor:"11,keyasint,omitempty"` // the engine announced that it leaves, in its entry or its answers
}

// Kind returns the message's kind.
func (Evacuating) Kind() string { return "evacuating" }

// PendingMove is a run that waits to be moved to another engine.
type PendingMove struct {
	ID        string        `cbor:"1,keyasint"`
	Rank      int           `cbor:"2,keyasint,omitempty"` // the customer's rank, or the route's if the customer has none
	Value     float64       `cbor:"3,keyasint"`           // benefit of the move, in the same unit at all boxes
	CopyTime  time.Duration `cbor:"4,keyasint"`           // time to copy the run's memory over an idle link
	RouteRank int           `cbor:"5,keyasint,omitempty"`
	EndsIn    time.Duration `cbor:"6,keyasint,omitempty"` // time until the run is expected to end by itself; 0 if unknown
}

// NewPendingMove returns the message's form of a run.
func NewPendingMove(r core.EvacuatedRun) PendingMove {
	return PendingMove{
		ID:        r.ID,
		Rank:      r.Priority.Customer,
		Value:     r.Value,
		CopyTime:  r.CopyTime,
		RouteRank: r.Priority.Route,
		EndsIn:    r.EndsIn,
	}
}

// Run returns the plan's form of a run.
func (m PendingMove) Run() core.EvacuatedRun {
	return core.EvacuatedRun{
		ID: m.ID,
		Priority: routing.Priority{
			Customer: m.Rank,
			Route:    m.RouteRank,
		},
		Value:    m.Value,
		CopyTime: m.CopyTime,
		EndsIn:   m.EndsIn,
	}
}

// WithEvacuationHandler sets a function that is called with each Evacuating message from other
// boxes of the group.
func WithEvacuationHandler(onEvacuating func(time.Time, Evacuating)) PeersOption {
	return func(p *Peers) { p.onEvacuating = onEvacuating }
}

// ReportLeaving marks an endpoint as leaving after it announced so to this box, and broadcasts it
// to the group if it was not marked yet.
func (p *Peers) ReportLeaving(endpoint string) {
	if p.state.MarkLeaving(time.Now(), sourceEngine, endpoint) {
		p.BroadcastEvacuating(Evacuating{Endpoint: endpoint})
	}
}

// BroadcastEvacuating sends the message to the boxes of the group at once: a leaving engine may
// be gone after one or two seconds.
func (p *Peers) BroadcastEvacuating(e Evacuating) {
	e.Announced = p.state.HasAnnounced(e.Endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pushEvacuating(p.paths.direct, e)
	e.Relay = true
	p.pushEvacuating(p.paths.relays(), e)
}

func (p *Peers) pushEvacuating(to []netip.AddrPort, e Evacuating) {
	for _, address := range to {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
			defer cancel()
			// A box that misses the message waits for the other runs' turns to time out.
			if c, err := p.pool.Get(ctx, address); err == nil {
				_ = c.Push(ctx, e)
			}
		}()
	}
}

// handleEvacuating applies another box's message and relays it if asked to. It may be the first
// notice that the engine announced its leaving. That the engine is no longer listed there is
// learned from updates, since an entry that lapsed may be listed again.
func (p *Peers) handleEvacuating(_ context.Context, _ *wire.Conn, e Evacuating) {
	if e.Relay {
		e.Relay = false
		p.mu.Lock()
		p.pushEvacuating(p.paths.direct, e)
		p.mu.Unlock()
	}
	now := time.Now()
	if e.Announced {
		p.state.MarkLeaving(now, sourcePeer, e.Endpoint)
	}
	p.onEvacuating(now, e)
}
