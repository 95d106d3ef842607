package fleet

import (
	"context"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/wire"
)

const (
	// tellEvery is how long placements wait for others to go with them.
	tellEvery = 15 * time.Millisecond
	// tellMost bounds the placements of one message; a box with more tells the
	// first, and its partners know that the engines are busy.
	tellMost = 64
)

// Placement is a prompt that a box has just sent to an engine, a copy of a run that
// is sent there as the run grows, the end of either, or word that an endpoint owes an
// answer or broke a stream off.
type Placement struct {
	Endpoint      string `cbor:"1,keyasint"`
	Tokens        int    `cbor:"2,keyasint"` // of the prompt, or of the copy at its end; with the end of a run, as told at its begin
	Copy          bool   `cbor:"3,keyasint,omitempty"`
	AnswerOverdue bool   `cbor:"4,keyasint,omitempty"` // an answer of the endpoint is overdue
	StreamBroken  bool   `cbor:"5,keyasint,omitempty"` // a stream of the endpoint broke off unannounced
	RunEnded      bool   `cbor:"6,keyasint,omitempty"` // the run has ended
	HeldTokens    int    `cbor:"7,keyasint,omitempty"` // tokens that a run held at its end
}

// Placements is what a box placed in the last moments.
type Placements struct {
	All   []Placement `cbor:"1,keyasint"`
	Relay bool        `cbor:"2,keyasint,omitempty"` // hand it on to the boxes of the own zone
}

// Kind names the message.
func (Placements) Kind() string { return "placements" }

// BroadcastPlacement tells the boxes of the group of a placement, soon and without waiting. A partner
// that still takes the message before gets none: news of placements are worth
// nothing when they are late.
func (p *Peers) BroadcastPlacement(placed Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.untold) >= tellMost {
		return
	}
	p.untold = append(p.untold, placed)
	if len(p.untold) == 1 {
		time.AfterFunc(tellEvery, p.tell)
	}
}

func (p *Peers) tell() {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := Placements{All: p.untold}
	p.untold = nil
	p.pushPlacements(p.paths.near, news)
	news.Relay = true
	p.pushPlacements(p.paths.relays(), news)
}

func (p *Peers) pushPlacements(to []netip.AddrPort, news Placements) {
	for _, address := range to {
		if p.telling[address] {
			continue
		}
		p.telling[address] = true
		go p.push(address, news)
	}
}

func (p *Peers) push(address netip.AddrPort, news Placements) {
	ctx, cancel := context.WithTimeout(context.Background(), greetTime)
	defer cancel()
	// A partner that can't be reached is found out by the greetings.
	if c, err := p.pool.Get(ctx, address); err == nil {
		_ = c.Push(ctx, news)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.telling, address)
}

// heard takes a partner's placements.
func (p *Peers) heard(_ context.Context, _ *wire.Conn, news Placements) {
	if news.Relay {
		p.mu.Lock()
		p.pushPlacements(p.paths.near, Placements{All: news.All})
		p.mu.Unlock()
	}
	now := time.Now()
	for _, placed := range news.All {
		p.onPlaced(now, placed)
	}
}
