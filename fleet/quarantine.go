package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// CrashRecords is what a box tells its group at once of requests under which endpoints
// ended.
type CrashRecords struct {
	All []core.CrashRecord `cbor:"1,keyasint"`
}

// Kind names the message.
func (CrashRecords) Kind() string { return "end records" }

// Quarantine is what a box knows, by itself and from others, of requests under which
// endpoints ended. Within a group word goes to all at once; greetings carry it from group
// to group, and to boxes that start or were cut off.
type Quarantine struct {
	mu        sync.Mutex
	q         *core.Quarantine
	log       *zap.Logger
	broadcast func([]core.CrashRecord)
}

// NewQuarantine builds one that knows of no end.
func NewQuarantine(log *zap.Logger) *Quarantine {
	return &Quarantine{
		q:         core.NewQuarantine(core.DefaultQuarantineRules()),
		log:       log,
		broadcast: func([]core.CrashRecord) {},
	}
}

// Crashed takes the end of an endpoint under a request of this box.
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

// RecordSuccess takes a run of a request that its endpoint survived.
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

// QuarantinedUntil tells whether no endpoint may get a request, and until when.
func (q *Quarantine) QuarantinedUntil(now time.Time, request core.Digest) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.q.QuarantinedUntil(now, request)
}

// QuarantinedRequest is a request that no endpoint may get.
type QuarantinedRequest struct {
	Content  core.Digest
	Ended    []string // the endpoints that ended under it
	TimeLeft time.Duration
}

// All gives the requests that no endpoint may get, the last ones first.
func (q *Quarantine) All(now time.Time) []QuarantinedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []QuarantinedRequest
	for _, request := range q.q.All(now) {
		until, _ := q.q.QuarantinedUntil(now, request)
		all = append(all, QuarantinedRequest{
			Content:  request,
			Ended:    q.q.Crashes(request),
			TimeLeft: until.Sub(now),
		})
	}
	return all
}

// sample gives what a greeting tells.
func (q *Quarantine) sample(now time.Time) []core.CrashRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.q.Sample(now)
}

// merge takes what another box told, and gives what the group should hear of it.
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

// logChange logs what is believed of a request after news of it. One end alone is logged by
// the box that saw it: where many servers crash at once, there is one for each request
// that ran there.
func (q *Quarantine) logChange(now time.Time, request core.Digest, from string) {
	ended := q.q.Crashes(request)
	if len(ended) == 1 {
		return
	}
	fields := []zap.Field{
		zap.Stringer("content", request),
		zap.Strings("ended", ended),
		zap.String("from", from),
	}
	if until, held := q.q.QuarantinedUntil(now, request); held {
		q.log.Info("request is kept from endpoints: they end under it", append(fields, zap.Duration("for", until.Sub(now)))...)
		return
	}
	if len(ended) == 0 {
		q.log.Info("an endpoint survived a request, ends under it count no more", fields...)
		return
	}
	q.log.Info("several endpoints ended under a request", fields...)
}

// WithQuarantine shares with others the requests under which endpoints ended.
func WithQuarantine(q *Quarantine) PeersOption {
	return func(p *Peers) {
		p.quarantine = q
		q.broadcast = p.broadcastCrashRecords
	}
}

// broadcastCrashRecords tells the boxes of the group at once: each repeat meanwhile may end another
// endpoint. Who isn't reached hears it with a greeting.
func (p *Peers) broadcastCrashRecords(records []core.CrashRecord) {
	p.broadcastToGroup(CrashRecords{All: records})
}

// handleCrashRecords takes a fellow's word.
func (p *Peers) handleCrashRecords(_ context.Context, _ *wire.Conn, received CrashRecords) {
	_, objections := p.quarantine.merge(time.Now(), received.All, sourcePeer)
	if len(objections) > 0 {
		p.broadcastCrashRecords(objections)
	}
}

// mergeCrashRecords takes what a greeting told; what comes from another group is handed on in
// this one.
func (p *Peers) mergeCrashRecords(records []core.CrashRecord, inGroup bool) {
	updated, objections := p.quarantine.merge(time.Now(), records, sourcePeer)
	if !inGroup {
		objections = append(objections, updated...)
	}
	if len(objections) > 0 {
		p.broadcastCrashRecords(objections)
	}
}
