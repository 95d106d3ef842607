package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// QuarantineRules configure when a request is quarantined and how much is remembered.
type QuarantineRules struct {
	CrashThreshold int           // number of endpoint crashes that quarantine a request
	Duration       time.Duration // how long a quarantine lasts after the last crash
	Retention      time.Duration // how long crashes are remembered after the last one
	MaxRecords     int           // maximum number of requests with recorded crashes
	MaxCleared     int           // maximum number of requests remembered as cleared
	ClearedFor     time.Duration // time after a successful run in which crashes don't count against the request
}

// DefaultQuarantineRules returns the rules used in production. The threshold allows for
// two coincidental crashes, as when a retried request meets failing engines. Duration
// exceeds the time for which clients retry by themselves; Retention is longer, so that one
// more crash renews the quarantine. MaxRecords covers all requests running at about ten
// engines that crash at once, MaxCleared the requests of one box within ClearedFor.
func DefaultQuarantineRules() QuarantineRules {
	return QuarantineRules{
		CrashThreshold: 3,
		Duration:       10 * time.Minute,
		Retention:      20 * time.Minute,
		MaxRecords:     2048,
		MaxCleared:     4096,
		ClearedFor:     30 * time.Second,
	}
}

// Crash is the crash of an endpoint while it ran a request.
type Crash struct {
	Endpoint string        `cbor:"1,keyasint"` // identifies the endpoint's process
	Age      time.Duration `cbor:"2,keyasint"` // time since the crash, at the sender
}

// Quarantine records the requests during which endpoints crashed, at this and other boxes,
// and decides which of them must not be sent to any endpoint. The state of a request is a
// set of crashes and the time of the last successful run, so boxes may merge records in
// any order and more than once.
type Quarantine struct {
	rules     QuarantineRules
	records   map[Digest]*requestHistory
	clearedAt *recentTimes[Digest] // times of the last successful runs at this box
}

// requestHistory holds the crashes during one request since its last successful run.
type requestHistory struct {
	dissemination
	crashes     map[string]time.Time // crash times by endpoint
	lastSuccess time.Time            // time of the last successful run; earlier crashes don't count
	lastCrash   time.Time
}

func (r *requestHistory) crashCount() int        { return len(r.crashes) }
func (r *requestHistory) latestCrash() time.Time { return r.lastCrash }

// NewQuarantine returns a quarantine without any recorded crash.
func NewQuarantine(rules QuarantineRules) *Quarantine {
	return &Quarantine{
		rules:     rules,
		records:   make(map[Digest]*requestHistory),
		clearedAt: newRecentTimes[Digest](rules.MaxCleared),
	}
}

// Crashed records that an endpoint crashed while it ran a request of this box. It reports
// whether the crash counts against the request.
func (q *Quarantine) Crashed(now time.Time, request Digest, endpoint string) bool {
	if q.wasRecentlyCleared(now, request) {
		return false
	}
	return q.addCrash(now, request, endpoint, now)
}

// RecordSuccess records a successful run of a request at this box, which clears it of
// earlier crashes. It reports whether other boxes should be notified, because two or more
// crashes counted against the request.
func (q *Quarantine) RecordSuccess(now time.Time, request Digest) bool {
	q.clearedAt.mark(request, now)
	r := q.records[request]
	if r == nil {
		return false
	}
	hadSeveral := len(r.crashes) > 1
	q.clearCrashes(now, r, now)
	return hadSeveral
}

// QuarantinedUntil returns when a request's quarantine ends, and whether it is quarantined
// now.
func (q *Quarantine) QuarantinedUntil(now time.Time, request Digest) (time.Time, bool) {
	r := q.records[request]
	if r == nil || len(r.crashes) < q.rules.CrashThreshold {
		return time.Time{}, false
	}
	until := r.lastCrash.Add(q.rules.Duration)
	return until, now.Before(until)
}

// All returns the quarantined requests, those with the latest crashes first.
func (q *Quarantine) All(now time.Time) []Digest {
	var all []Digest
	for request := range q.records {
		if _, quarantined := q.QuarantinedUntil(now, request); quarantined {
			all = append(all, request)
		}
	}
	slices.SortFunc(all, func(a, b Digest) int {
		return cmp.Or(q.records[b].lastCrash.Compare(q.records[a].lastCrash), slices.Compare(a[:], b[:]))
	})
	return all
}

// Crashes returns the endpoints that crashed during a request, sorted.
func (q *Quarantine) Crashes(request Digest) []string {
	r := q.records[request]
	if r == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(r.crashes))
}
