package fleet

import (
	"context"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/routing"
	"dillsaddle.example/dillsaddle/wire"
)

const (
	// placementBatchDelay is how long placements wait to be sent in one message.
	placementBatchDelay = 15 * time.Millisecond
	// maxPlacements bounds the placements in a message. Further ones are omitted, since the
	// receivers then know already that the engines are busy.
	maxPlacements = 64
)

// Placement informs the boxes of a group of an event that affects an engine's load. By default it
// is a prompt that was sent to the engine; the flags mark the other events.
type Placement struct {
	Endpoint      string `cbor:"1,keyasint"`
	Tokens        int    `cbor:"2,keyasint"`           // tokens of the prompt, or of the copy when complete; at a run's end, as sent at its start
	Copy          bool   `cbor:"3,keyasint,omitempty"` // a copy of a run's memory is sent to the endpoint: a backup, or one that the run continues from
	AnswerOverdue bool   `cbor:"4,keyasint,omitempty"` // an answer of the endpoint is overdue, or the endpoint is unreachable
	StreamBroken  bool   `cbor:"5,keyasint,omitempty"` // a stream of the endpoint broke without notice
	RunEnded      bool   `cbor:"6,keyasint,omitempty"` // a run ended at the endpoint or was moved off it
	HeldTokens    int    `cbor:"7,keyasint,omitempty"` // tokens in the engine's memory when the run ended

	Waiting   *Waiting         `cbor:"8,keyasint,omitempty"`  // a request waits for room, or its wait ended
	Pace      *EnginePace      `cbor:"9,keyasint,omitempty"`  // how fast and steadily the engine served a stream
	Sensitive bool             `cbor:"10,keyasint,omitempty"` // the run has a target for its pauses
	Priority  routing.Priority `cbor:"11,keyasint,omitempty"` // of the prompt that was sent
	SlowFor   time.Duration    `cbor:"12,keyasint,omitempty"` // expected rest of the engine's slow spell, which was just seen
}

// Waiting informs the group of a request that waits at a box until an engine has room.
type Waiting struct {
	Request  string           `cbor:"1,keyasint"`
	Ended    bool             `cbor:"2,keyasint,omitempty"` // the request waits no longer; the fields below but Box are unset
	Service  string           `cbor:"3,keyasint,omitempty"`
	Customer string           `cbor:"4,keyasint,omitempty"`
	Priority routing.Priority `cbor:"5,keyasint,omitempty"`
	DueIn    time.Duration    `cbor:"6,keyasint,omitempty"` // time until it must be sent to meet its target; negative if missed
	Limit    time.Duration    `cbor:"7,keyasint,omitempty"` // time until it stops waiting
	Tokens   int              `cbor:"8,keyasint,omitempty"` // memory of its run at the expected end
	Prompt   int              `cbor:"9,keyasint,omitempty"` // tokens to prefill
	Box      string           `cbor:"10,keyasint,omitempty"`
}

// EnginePace is what a box observed of an engine while it served a stream. After the stream's
// first events it has the interval only, at the stream's end also the other fields.
type EnginePace struct {
	EventInterval time.Duration `cbor:"1,keyasint,omitempty"` // usual time between two events
	Exposures     int           `cbor:"2,keyasint,omitempty"` // prompts sent to the engine during the stream
	Broken        bool          `cbor:"3,keyasint,omitempty"` // a pause exceeded the route's target
	Ended         bool          `cbor:"4,keyasint,omitempty"`
}

// Placements is the message with a box's latest placements.
type Placements struct {
	All   []Placement `cbor:"1,keyasint"`
	Relay bool        `cbor:"2,keyasint,omitempty"` // the receiver forwards it to the boxes of its own zone
}

// Kind returns the message's kind.
func (Placements) Kind() string { return "placements" }

// BroadcastPlacement queues a placement for the boxes of the group and returns at once. A box to
// which the previous message is still being sent is skipped, since late placements are useless.
func (p *Peers) BroadcastPlacement(placement Placement) {
	p.recordUse(time.Now(), placement)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingPlacements) >= maxPlacements {
		return
	}
	p.pendingPlacements = append(p.pendingPlacements, placement)
	if len(p.pendingPlacements) == 1 {
		time.AfterFunc(placementBatchDelay, p.flushPlacements)
	}
}

// flushPlacements sends the pending placements to the group.
func (p *Peers) flushPlacements() {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := Placements{All: p.pendingPlacements}
	p.pendingPlacements = nil
	p.pushPlacements(p.paths.direct, batch)
	batch.Relay = true
	p.pushPlacements(p.paths.relays(), batch)
}

func (p *Peers) pushPlacements(to []netip.AddrPort, batch Placements) {
	for _, address := range to {
		if p.pushing[address] {
			continue
		}
		p.pushing[address] = true
		go p.pushPlacementsTo(address, batch)
	}
}

func (p *Peers) pushPlacementsTo(address netip.AddrPort, batch Placements) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	// Gossip detects boxes that can't be reached.
	if c, err := p.pool.Get(ctx, address); err == nil {
		_ = c.Push(ctx, batch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pushing, address)
}

// handlePlacements applies another box's placements and relays them if asked to.
func (p *Peers) handlePlacements(_ context.Context, _ *wire.Conn, batch Placements) {
	if batch.Relay {
		p.mu.Lock()
		p.pushPlacements(p.paths.direct, Placements{All: batch.All})
		p.mu.Unlock()
	}
	now := time.Now()
	for _, placement := range batch.All {
		p.recordUse(now, placement)
		p.onPlacement(now, placement)
	}
}

// recordUse has a placement's engine queried as one in use. A message about a wait names none.
func (p *Peers) recordUse(now time.Time, placement Placement) {
	if p.reports != nil && placement.Waiting == nil {
		p.reports.recordUse(now, placement.Endpoint)
	}
}
