package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// CrashRecords is the message with requests during which endpoints crashed.
type CrashRecords struct {
	All []core.CrashRecord `cbor:"1,keyasint"`
}

// Kind returns the message's kind.
func (CrashRecords) Kind() string { return "end records" }

// Quarantine holds the requests that crash endpoints, as observed by this box and others. Changes
// are broadcast within the group; gossip carries them to other groups and to boxes that start or
// reconnect.
type Quarantine struct {
	mu        sync.Mutex
	q         *core.Quarantine
	log       *zap.Logger
	broadcast func([]core.CrashRecord)
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(log *zap.Logger) *Quarantine {
	return &Quarantine{
		q:         core.NewQuarantine(core.DefaultQuarantineRules()),
		log:       log,
		broadcast: func([]core.CrashRecord) {},
	}
}

// Crashed records a crash of an endpoint during a request of this box.
func (q *Quarantine) Crashed(now time.Time, request core.Digest, endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.q.Crashed(now, request, endpoint) {
		return
	}
	q.logChange(now, request, "own")
	if record, ok := q.q.Lookup(now, request); ok {
		q.broadcast([]core.CrashRecord{record})
	}
}

// RecordSuccess records that an endpoint completed a request without a crash.
func (q *Quarantine) RecordSuccess(now time.Time, request core.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.q.RecordSuccess(now, request) {
		return
	}
	q.logChange(now, request, "own")
	if record, ok := q.q.Lookup(now, request); ok {
		q.broadcast([]core.CrashRecord{record})
	}
}

// Release clears a request of all crashes, so that it is sent again at all boxes. It reports whether
// it was quarantined.
func (q *Quarantine) Release(now time.Time, request core.Digest) bool {
	if _, quarantined := q.QuarantinedUntil(now, request); !quarantined {
		return false
	}
	q.RecordSuccess(now, request)
	return true
}

// QuarantinedUntil reports whether a request is quarantined, and until when.
func (q *Quarantine) QuarantinedUntil(now time.Time, request core.Digest) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.q.QuarantinedUntil(now, request)
}

// QuarantinedRequest is a request that must not be sent to any endpoint.
type QuarantinedRequest struct {
	Content  core.Digest
	Crashed  []string // endpoints that crashed during the request
	TimeLeft time.Duration
}

// All returns the quarantined requests, most recent first.
func (q *Quarantine) All(now time.Time) []QuarantinedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []QuarantinedRequest
	for _, request := range q.q.All(now) {
		until, _ := q.q.QuarantinedUntil(now, request)
		all = append(all, QuarantinedRequest{
			Content:  request,
			Crashed:  q.q.Crashes(request),
			TimeLeft: until.Sub(now),
		})
	}
	return all
}

// sample returns the records for a gossip message.
func (q *Quarantine) sample(now time.Time) []core.CrashRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.q.Sample(now)
}

// merge merges another box's records. It returns those that changed the quarantine, and
// objections: this box's records of successful runs of requests that the other box counts
// crashes of.
func (q *Quarantine) merge(now time.Time, received []core.CrashRecord, from string) (updated, objections []core.CrashRecord) {
	if len(received) == 0 {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	updated, objections = q.q.Merge(now, received)
	for _, record := range updated {
		q.logChange(now, record.Request, from)
	}
	return updated, objections
}

// logChange logs a request's new state. A single crash is logged only by the box that observed
// it, to bound the log when many servers crash at once.
func (q *Quarantine) logChange(now time.Time, request core.Digest, from string) {
	crashed := q.q.Crashes(request)
	if len(crashed) == 1 {
		return
	}
	fields := []zap.Field{
		zap.Stringer("content", request),
		zap.Strings("ended", crashed),
		zap.String("from", from),
	}
	if until, isQuarantined := q.q.QuarantinedUntil(now, request); isQuarantined {
		q.log.Info("request quarantined, endpoints crash during it", append(fields, zap.Duration("for", until.Sub(now)))...)
		return
	}
	if len(crashed) == 0 {
		q.log.Info("request completed by an endpoint, its recorded crashes no longer count", fields...)
		return
	}
	q.log.Info("several endpoints crashed during a request", fields...)
}

// WithQuarantine shares the quarantine with other boxes.
func WithQuarantine(q *Quarantine) PeersOption {
	return func(p *Peers) {
		p.quarantine = q
		q.broadcast = p.broadcastCrashRecords
	}
}

// broadcastCrashRecords sends records to the group at once, since each repeat of the request may
// crash another endpoint. Boxes that miss the message get the records by gossip.
func (p *Peers) broadcastCrashRecords(records []core.CrashRecord) {
	p.broadcastToGroup(CrashRecords{All: records})
}

// handleCrashRecords merges records from a box of the group.
func (p *Peers) handleCrashRecords(_ context.Context, _ *wire.Conn, received CrashRecords) {
	_, objections := p.quarantine.merge(time.Now(), received.All, sourcePeer)
	if len(objections) > 0 {
		p.broadcastCrashRecords(objections)
	}
}

// mergeCrashRecords merges records from gossip. Changes from another group are broadcast in this
// one.
func (p *Peers) mergeCrashRecords(records []core.CrashRecord, inGroup bool) {
	updated, objections := p.quarantine.merge(time.Now(), records, sourcePeer)
	if !inGroup {
		objections = append(objections, updated...)
	}
	if len(objections) > 0 {
		p.broadcastCrashRecords(objections)
	}
}
