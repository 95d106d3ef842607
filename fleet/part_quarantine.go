package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// PartRecords is the message with parts of prompts at which endpoints crashed.
type PartRecords struct {
	All          []core.PartRecord `cbor:"1,keyasint"`
	IsCorrection bool              `cbor:"2,keyasint,omitempty"` // answers records that the sender knows to be outdated
}

// Kind returns the message's kind.
func (PartRecords) Kind() string { return "part records" }

// PartQuarantine holds the parts of prompts at which endpoints crash, as observed by this box and
// others. Changes are broadcast within the group; gossip carries them to other groups and to boxes
// that start or reconnect.
type PartQuarantine struct {
	mu        sync.Mutex
	q         *core.PartQuarantine
	log       *zap.Logger
	held      map[core.PromptPart]bool // parts that were logged as quarantined
	broadcast func([]core.PartRecord)
	rank      func(core.PromptPart) int
}

// NewPartQuarantine returns an empty quarantine.
func NewPartQuarantine(log *zap.Logger) *PartQuarantine {
	return &PartQuarantine{
		q:         core.NewPartQuarantine(core.DefaultPartRules()),
		log:       log,
		held:      make(map[core.PromptPart]bool),
		broadcast: func([]core.PartRecord) {},
		rank:      func(core.PromptPart) int { return 0 },
	}
}

// Crashed records that an endpoint crashed when it had just begun to run a request of this box, which
// it got runTime ago.
func (q *PartQuarantine) Crashed(now time.Time, prompt core.Prompt, endpoint string, runTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.share(now, q.q.Crashed(now, prompt, endpoint, runTime))
}

// RecordSound records that a request of this box was answered, or is being answered without a
// crash, since the given time.
func (q *PartQuarantine) RecordSound(now time.Time, prompt core.Prompt, since time.Time) {
	if len(prompt.Parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.share(now, q.q.RecordSound(now, prompt, since))
}

// Release clears a part of all crashes, so that its requests are sent again at all boxes. It
// reports whether it was quarantined.
func (q *PartQuarantine) Release(now time.Time, part core.PromptPart) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.q.Lookup(part); !ok || s.Until.IsZero() {
		return false
	}
	q.log.Info("prompt part released by an operator", partFields(part)...)
	if q.q.Release(now, part) {
		q.share(now, []core.PromptPart{part})
	}
	return true
}

// Check returns the part because of which a request must not be sent now, and whether there is one.
func (q *PartQuarantine) Check(now time.Time, prompt core.Prompt) (core.Hold, bool) {
	if len(prompt.Parts) == 0 {
		return core.Hold{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	hold, held, tried := q.q.Check(now, prompt, q.rank)
	for _, part := range tried {
		s, _ := q.q.Lookup(part)
		q.log.Info("request tries a prompt part after its quarantine", append(partFields(part),
			zap.Stringer("content", prompt.Content),
			zap.Strings("ended", s.Crashed),
			zap.Int("requests", s.Requests),
			zap.Duration("over_for", now.Sub(s.Until)),
		)...)
	}
	return hold, held
}

// Suspects returns the suspected parts, those with the latest crashes first.
func (q *PartQuarantine) Suspects() []core.SuspectedPart {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.q.Suspects()
}

// share logs the new state of parts and broadcasts their records.
func (q *PartQuarantine) share(now time.Time, parts []core.PromptPart) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts {
		q.logChange(now, part, "own")
	}
	q.broadcast(q.q.Records(now, parts))
}

// sample returns the records for a gossip message.
func (q *PartQuarantine) sample(now time.Time) []core.PartRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	records := q.q.Sample(now) // which removes expired records
	for part := range q.held {
		if _, ok := q.q.Lookup(part); !ok {
			delete(q.held, part)
		}
	}
	return records
}

// merge merges another box's records. It returns this box's records of those that changed, and of
// those that the other box counts crashes against although this box knows them to be sound.
func (q *PartQuarantine) merge(now time.Time, received []core.PartRecord, from string) (updated, corrections []core.PartRecord) {
	if len(received) == 0 {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed, outdated := q.q.Merge(now, received)
	for _, part := range changed {
		q.logChange(now, part, from)
	}
	return q.q.Records(now, changed), q.q.Records(now, outdated)
}

// minLoggedCrashes is the number of crashes from which a part is logged. Most parts with fewer were
// only beside the one that crashes endpoints.
const minLoggedCrashes = 2

// logChange logs a part's new state, if several endpoints crashed at it or did before.
func (q *PartQuarantine) logChange(now time.Time, part core.PromptPart, from string) {
	s, ok := q.q.Lookup(part)
	if !ok || (len(s.Crashed) > 0 && len(s.Crashed) < minLoggedCrashes && !q.held[part]) {
		return
	}
	fields := append(partFields(part),
		zap.Strings("ended", s.Crashed),
		zap.Int("requests", s.Requests),
		zap.String("from", from),
	)
	wasHeld := q.held[part]
	delete(q.held, part)
	switch {
	case !s.Until.IsZero():
		q.held[part] = true
		q.log.Info("prompt part quarantined, endpoints crash at requests with it", append(fields, zap.Duration("for", s.Until.Sub(now)))...)
	case wasHeld:
		q.log.Info("prompt part answered, its quarantine ended", fields...)
	case len(s.Crashed) == 0:
		q.log.Debug("prompt part answered, its recorded crashes no longer count", fields...)
	default:
		q.log.Info("several endpoints crashed at requests with a prompt part", fields...)
	}
}

// partFields returns the log fields that name a part.
func partFields(part core.PromptPart) []zap.Field {
	return []zap.Field{
		zap.String("service", part.Service),
		zap.Stringer("prompt_part", part.ID),
	}
}

// WithPartQuarantine shares the quarantine of prompt parts with other boxes.
func WithPartQuarantine(q *PartQuarantine) PeersOption {
	return func(p *Peers) {
		p.parts = q
		q.broadcast = p.broadcastPartRecords
		q.rank = p.rankFor
	}
}

// rankFor returns this box's place among all boxes in the order in which they may try a part.
func (p *Peers) rankFor(part core.PromptPart) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, self := part.String(), p.roster.Self().Box
	own := core.RendezvousScore(key, self)
	rank := 0
	for _, peer := range p.roster.Alive(time.Now()) {
		if peer.Box != self && core.RendezvousScore(key, peer.Box) > own {
			rank++
		}
	}
	return rank
}

// broadcastPartRecords sends records to the group at once, since each further request with the part
// may crash another endpoint.
func (p *Peers) broadcastPartRecords(records []core.PartRecord) {
	p.broadcastToGroup(PartRecords{All: records})
}

// handlePartRecords merges records from a box of the group. Outdated ones are corrected at that box
// only, which broadcasts the first correction, so that a part that all boxes know to be sound takes
// one broadcast.
func (p *Peers) handlePartRecords(ctx context.Context, c *wire.Conn, received PartRecords) {
	updated, corrections := p.parts.merge(time.Now(), received.All, sourcePeer)
	if received.IsCorrection && len(updated) > 0 {
		p.broadcastPartRecords(updated)
	}
	if received.IsCorrection || len(corrections) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	err := c.Push(ctx, PartRecords{
		All:          corrections,
		IsCorrection: true,
	})
	if err != nil {
		p.log.Debug("correction of prompt parts not sent", zap.Error(err))
	}
}

// mergePartRecords merges records from gossip. Changes from another group are broadcast in this
// one; what the other box has outdated goes with the next gossip.
func (p *Peers) mergePartRecords(records []core.PartRecord, inGroup bool) {
	updated, _ := p.parts.merge(time.Now(), records, sourcePeer)
	if !inGroup && len(updated) > 0 {
		p.broadcastPartRecords(updated)
	}
}
