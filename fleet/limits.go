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

// maxGossipLimits bounds the limits in one greeting, which has some thirty bytes of each: a
// whole service may be under strain at once.
const maxGossipLimits = 32

// LimitRecords is what a box tells its group at once of limits that endpoints named.
type LimitRecords struct {
	All []core.LimitRecord `cbor:"1,keyasint"`
}

// Kind names the message.
func (LimitRecords) Kind() string { return "limit records" }

// Limits is what a box knows, by itself and from others, of the limits that endpoints
// name. Within a group word of a change goes to all at once; greetings carry it from group
// to group, and tell that it still holds.
type Limits struct {
	mu         sync.Mutex
	limits     *core.Limits
	hasRecords atomic.Bool // whether anything is known; most boxes know of no limit
	log        *zap.Logger
	broadcast  func([]core.LimitRecord)
}

// NewLimits builds a table in which no endpoint is limited.
func NewLimits(log *zap.Logger) *Limits {
	return &Limits{
		limits:    core.NewLimits(core.DefaultLimitRules()),
		log:       log,
		broadcast: func([]core.LimitRecord) {},
	}
}

// RecordAnswer takes what an endpoint's answer to this box says of its limit.
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

// Lookup gives the requests a second that an endpoint takes from all boxes together, if it
// named a limit.
func (l *Limits) Lookup(now time.Time, endpoint string) (perSecond float64, limited bool) {
	if !l.hasRecords.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Lookup(now, endpoint)
}

// All gives the endpoints that named limits, by id.
func (l *Limits) All(now time.Time) []core.LimitRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.DeleteFunc(l.limits.All(now), func(w core.LimitRecord) bool { return !w.Limited })
	slices.SortFunc(all, func(a, b core.LimitRecord) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// Sweep forgets limits that no box has heard of for long.
func (l *Limits) Sweep(now time.Time) {
	if !l.hasRecords.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, endpoint := range l.limits.Expire(now) {
		l.log.Info("limit of an endpoint is forgotten, no box heard of it lately", zap.String("endpoint", endpoint))
	}
	l.hasRecords.Store(!l.limits.IsEmpty())
}

// HandleSuspension takes that the machine was suspended for a time that its clock didn't count.
func (l *Limits) HandleSuspension(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.HandleSuspension(d)
}

// sample gives what a greeting tells.
func (l *Limits) sample(now time.Time) []core.LimitRecord {
	if !l.hasRecords.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Sample(now, maxGossipLimits)
}

// merge takes what another box told, and gives what the group should hear of it.
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

// logChanges logs what is believed of endpoints' limits after news of them.
func (l *Limits) logChanges(updated []core.LimitRecord, from string) {
	for _, record := range updated {
		event := "endpoint names no limit any more"
		if record.Limited {
			event = "endpoint names a limit"
		}
		l.log.Info(event,
			zap.String("endpoint", record.Endpoint),
			zap.Float64("per_second", record.PerSecond),
			zap.Duration("age", record.Age),
			zap.String("from", from),
		)
	}
}

// WithLimits shares with others the limits that endpoints name.
func WithLimits(l *Limits) PeersOption {
	return func(p *Peers) {
		p.limits = l
		l.broadcast = p.broadcastLimitRecords
	}
}

// broadcastLimitRecords tells the boxes of the group at once; who isn't reached hears it with a
// greeting.
func (p *Peers) broadcastLimitRecords(records []core.LimitRecord) {
	p.broadcastToGroup(LimitRecords{All: records})
}

// handleLimitRecords takes a fellow's word.
func (p *Peers) handleLimitRecords(_ context.Context, _ *wire.Conn, received LimitRecords) {
	p.limits.merge(time.Now(), received.All, sourcePeer)
}

// mergeLimitRecords takes what a greeting told; what comes from another group is handed on in
// this one.
func (p *Peers) mergeLimitRecords(records []core.LimitRecord, inGroup bool) {
	if updated := p.limits.merge(time.Now(), records, sourcePeer); len(updated) > 0 && !inGroup {
		p.broadcastLimitRecords(updated)
	}
}
