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

// limitSample bounds the limits in one greeting, which has some thirty bytes of each: a
// whole service may be under strain at once.
const limitSample = 32

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
	mu      sync.Mutex
	limits  *core.Limits
	present atomic.Bool // whether anything is known; most boxes know of no limit
	log     *zap.Logger
	tell    func([]core.LimitRecord)
}

// NewLimits builds a table in which no endpoint is limited.
func NewLimits(log *zap.Logger) *Limits {
	return &Limits{
		limits: core.NewLimits(core.DefaultLimitRules()),
		log:    log,
		tell:   func([]core.LimitRecord) {},
	}
}

// RecordAnswer takes what an endpoint's answer to this box says of its limit.
func (l *Limits) RecordAnswer(now time.Time, endpoint string, limited bool, perSecond float64) {
	if !limited && !l.present.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := core.LimitRecord{
		Endpoint:  endpoint,
		Limited:   limited,
		PerSecond: perSecond,
	}
	news := l.limits.RecordAnswer(now, w)
	l.present.Store(!l.limits.IsEmpty())
	if news {
		l.changed([]core.LimitRecord{w}, "own")
		l.tell([]core.LimitRecord{w})
	}
}

// Lookup gives the requests a second that an endpoint takes from all boxes together, if it
// named a limit.
func (l *Limits) Lookup(now time.Time, endpoint string) (perSecond float64, limited bool) {
	if !l.present.Load() {
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

// DropExpired forgets limits that no box has heard of for long.
func (l *Limits) DropExpired(now time.Time) {
	if !l.present.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, endpoint := range l.limits.Expire(now) {
		l.log.Info("limit of an endpoint is forgotten, no box heard of it lately", zap.String("endpoint", endpoint))
	}
	l.present.Store(!l.limits.IsEmpty())
}

// HandleSuspension takes that the machine was suspended for a time that its clock didn't count.
func (l *Limits) HandleSuspension(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.HandleSuspension(d)
}

// sample gives what a greeting tells.
func (l *Limits) sample(now time.Time) []core.LimitRecord {
	if !l.present.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Sample(now, limitSample)
}

// hear takes what another box told, and gives what the group should hear of it.
func (l *Limits) hear(now time.Time, told []core.LimitRecord, from string) []core.LimitRecord {
	if len(told) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	news := l.limits.Merge(now, told)
	l.present.Store(!l.limits.IsEmpty())
	l.changed(news, from)
	return news
}

// changed logs what is believed of endpoints' limits after news of them.
func (l *Limits) changed(news []core.LimitRecord, from string) {
	for _, w := range news {
		event := "endpoint names no limit any more"
		if w.Limited {
			event = "endpoint names a limit"
		}
		l.log.Info(event,
			zap.String("endpoint", w.Endpoint),
			zap.Float64("per_second", w.PerSecond),
			zap.Duration("age", w.Age),
			zap.String("from", from),
		)
	}
}

// WithLimits shares with others the limits that endpoints name.
func WithLimits(l *Limits) PeersOption {
	return func(p *Peers) {
		p.limits = l
		l.tell = p.tellLimits
	}
}

// tellLimits tells the boxes of the group at once; who isn't reached hears it with a
// greeting.
func (p *Peers) tellLimits(words []core.LimitRecord) {
	p.tellFellows(LimitRecords{All: words})
}

// limitsTold takes a fellow's word.
func (p *Peers) limitsTold(_ context.Context, _ *wire.Conn, told LimitRecords) {
	p.limits.hear(time.Now(), told.All, fromPeer)
}

// limitsGreeted takes what a greeting told; what comes from another group is handed on in
// this one.
func (p *Peers) limitsGreeted(told []core.LimitRecord, fellow bool) {
	if news := p.limits.hear(time.Now(), told, fromPeer); len(news) > 0 && !fellow {
		p.tellLimits(news)
	}
}
