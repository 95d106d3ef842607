package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// maxGossipLimits bounds the limits in a gossip message, each about 30 bytes. A whole service may
// be limited at once.
const maxGossipLimits = 32

// LimitRecords is the message with rate limits that endpoints reported or lifted.
type LimitRecords struct {
	All []core.LimitRecord `cbor:"1,keyasint"`
}

// Kind returns the message's kind.
func (LimitRecords) Kind() string { return "limit records" }

// Limits holds the rate limits that endpoints report, as observed by this box and others. Changes
// are broadcast within the group; gossip carries them to other groups and keeps them from
// expiring.
type Limits struct {
	mu         sync.Mutex
	limits     *core.Limits
	hasRecords atomic.Bool // avoids the lock in the usual case that there are no limits
	log        *zap.Logger
	broadcast  func([]core.LimitRecord)
}

// NewLimits returns a table without limits.
func NewLimits(log *zap.Logger) *Limits {
	return &Limits{
		limits:    core.NewLimits(core.DefaultLimitRules()),
		log:       log,
		broadcast: func([]core.LimitRecord) {},
	}
}

// RecordAnswer records the limit, or its absence, that an endpoint reported in an answer to this box.
func (l *Limits) RecordAnswer(now time.Time, endpoint string, limited bool, perSecond float64) {
	if !limited && !l.hasRecords.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	record := core.LimitRecord{
		Endpoint:  endpoint,
		Limited:   limited,
		PerSecond: perSecond,
	}
	isChange := l.limits.RecordAnswer(now, record)
	l.hasRecords.Store(!l.limits.IsEmpty())
	if isChange {
		l.logChanges([]core.LimitRecord{record}, "own")
		l.broadcast([]core.LimitRecord{record})
	}
}

// Lookup returns the requests per second that an endpoint accepts from all boxes together, if it
// is limited.
func (l *Limits) Lookup(now time.Time, endpoint string) (perSecond float64, limited bool) {
	if !l.hasRecords.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Lookup(now, endpoint)
}

// All returns the current limits, sorted by endpoint.
func (l *Limits) All(now time.Time) []core.LimitRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.DeleteFunc(l.limits.All(now), func(record core.LimitRecord) bool { return !record.Limited })
	slices.SortFunc(all, func(a, b core.LimitRecord) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// DropExpired drops limits that no box has observed recently.
func (l *Limits) DropExpired(now time.Time) {
	if !l.hasRecords.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, endpoint := range l.limits.Expire(now) {
		l.log.Info("endpoint's rate limit expired, no box observed it recently", zap.String("endpoint", endpoint))
	}
	l.hasRecords.Store(!l.limits.IsEmpty())
}

// HandleSuspension corrects the records' ages after a machine suspension.
func (l *Limits) HandleSuspension(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.HandleSuspension(d)
}

// sample returns the records for a gossip message.
func (l *Limits) sample(now time.Time) []core.LimitRecord {
	if !l.hasRecords.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Sample(now, maxGossipLimits)
}

// merge merges another box's records and returns those that changed the table.
func (l *Limits) merge(now time.Time, received []core.LimitRecord, from string) []core.LimitRecord {
	if len(received) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := l.limits.Merge(now, received)
	l.hasRecords.Store(!l.limits.IsEmpty())
	l.logChanges(updated, from)
	return updated
}

// logChanges logs new or lifted limits.
func (l *Limits) logChanges(updated []core.LimitRecord, from string) {
	for _, record := range updated {
		event := "endpoint lifted its rate limit"
		if record.Limited {
			event = "endpoint reported a rate limit"
		}
		l.log.Info(event,
			zap.String("endpoint", record.Endpoint),
			zap.Float64("per_second", record.PerSecond),
			zap.Duration("age", record.Age),
			zap.String("from", from),
		)
	}
}

// WithLimits shares the limits with other boxes.
func WithLimits(l *Limits) PeersOption {
	return func(p *Peers) {
		p.limits = l
		l.broadcast = p.broadcastLimitRecords
	}
}

// broadcastLimitRecords sends records to the group at once. Boxes that miss the message get the
// records by gossip.
func (p *Peers) broadcastLimitRecords(records []core.LimitRecord) {
	p.broadcastToGroup(LimitRecords{All: records})
}

// handleLimitRecords merges records from a box of the group.
func (p *Peers) handleLimitRecords(_ context.Context, _ *wire.Conn, received LimitRecords) {
	p.limits.merge(time.Now(), received.All, sourcePeer)
}

// mergeLimitRecords merges records from gossip. Changes from another group are broadcast in this
// one.
func (p *Peers) mergeLimitRecords(records []core.LimitRecord, inGroup bool) {
	if updated := p.limits.merge(time.Now(), records, sourcePeer); len(updated) > 0 && !inGroup {
		p.broadcastLimitRecords(updated)
	}
}
