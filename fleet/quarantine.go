package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// EndRecords is what a box tells its group at once of requests under which endpoints
// ended.
type EndRecords struct {
	All []core.CrashRecord `cbor:"1,keyasint"`
}

// Kind names the message.
func (EndRecords) Kind() string { return "end records" }

// Quarantine is what a box knows, by itself and from others, of requests under which
// endpoints ended. Within a group word goes to all at once; greetings carry it from group
// to group, and to boxes that start or were cut off.
type Quarantine struct {
	mu   sync.Mutex
	q    *core.Quarantine
	log  *zap.Logger
	tell func([]core.CrashRecord)
}

// NewQuarantine builds one that knows of no end.
func NewQuarantine(log *zap.Logger) *Quarantine {
	return &Quarantine{
		q:    core.NewQuarantine(core.DefaultQuarantineRules()),
		log:  log,
		tell: func([]core.CrashRecord) {},
	}
}

// Crashed takes the end of an endpoint under a request of this box.
func (q *Quarantine) Crashed(now time.Time, request core.Digest, endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.q.Crashed(now, request, endpoint) {
		return
	}
	q.changed(now, request, "own")
	if record, ok := q.q.Lookup(now, request); ok {
		q.tell([]core.CrashRecord{record})
	}
}

// RecordSuccess takes a run of a request that its endpoint survived.
func (q *Quarantine) RecordSuccess(now time.Time, request core.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.q.RecordSuccess(now, request) {
		return
	}
	q.changed(now, request, "own")
	if record, ok := q.q.Lookup(now, request); ok {
		q.tell([]core.CrashRecord{record})
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
	Crashed  []string // the endpoints that ended under it
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
			Crashed:  q.q.Crashes(request),
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

// hear takes what another box told, and gives what the group should hear of it.
func (q *Quarantine) hear(now time.Time, told []core.CrashRecord, from string) (news, objections []core.CrashRecord) {
	if len(told) == 0 {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	news, objections = q.q.Merge(now, told)
	for _, t := range news {
		q.changed(now, t.Request, from)
	}
	return news, objections
}

// changed logs what is believed of a request after news of it. One end alone is logged by
// the box that saw it: where many servers crash at once, there is one for each request
// that ran there.
func (q *Quarantine) changed(now time.Time, request core.Digest, from string) {
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
		q.tell = p.tellEnds
	}
}

// tellEnds tells the boxes of the group at once: each repeat meanwhile may end another
// endpoint. Who isn't reached hears it with a greeting.
func (p *Peers) tellEnds(records []core.CrashRecord) {
	p.tellFellows(EndRecords{All: records})
}

// endsTold takes a fellow's word.
func (p *Peers) endsTold(_ context.Context, _ *wire.Conn, told EndRecords) {
	_, objections := p.quarantine.hear(time.Now(), told.All, fromPeer)
	if len(objections) > 0 {
		p.tellEnds(objections)
	}
}

// endsGreeted takes what a greeting told; what comes from another group is handed on in
// this one.
func (p *Peers) endsGreeted(told []core.CrashRecord, fellow bool) {
	news, objections := p.quarantine.hear(time.Now(), told, fromPeer)
	if !fellow {
		objections = append(objections, news...)
	}
	if len(objections) > 0 {
		p.tellEnds(objections)
	}
}
