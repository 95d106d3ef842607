package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// QuarantineRules bound when a request is kept from the endpoints, and what is remembered.
type QuarantineRules struct {
	CrashThreshold int           // of endpoints under a request, before it is quarantined
	Duration       time.Duration // since the last end, how long it is
	Retention      time.Duration // since the last end, after which it is forgotten
	MaxRecords     int           // the most requests that are remembered
	MaxCleared     int           // the most requests that are remembered as sound
	ClearedFor     time.Duration // since a run that an endpoint survived, how long it proves the request sound
}

// DefaultQuarantineRules gives the rules that the boxes use. One end under a request is
// chance, and so is a second while a fleet of nine engines loses one a second (a caller who
// tries again meets the next with a probability of a ninth); three without one run that an
// endpoint survived are not. A client that repeats by itself has given up after the hold;
// then a single further end renews it. The records are all requests under way at some ten
// engines that end at once; the sound ones are those of half a minute at a box.
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

// Crash is the end of an endpoint under a request.
type Crash struct {
	Endpoint string        `cbor:"1,keyasint"` // its incarnation
	Age      time.Duration `cbor:"2,keyasint"` // since it ended, by whom tells
}

// Quarantine knows the requests under which endpoints ended, at this box and others, and
// says which of them no endpoint may get. What boxes know of one request is a set of
// ends and the time of the last run that an endpoint survived, so that it doesn't matter
// in which order, by whom or how often a box is told.
type Quarantine struct {
	rules        QuarantineRules
	records      map[Digest]*requestHistory
	clearedAt    map[Digest]time.Time
	clearedOrder []Digest // of sound, the oldest first
}

type requestHistory struct {
	crashes     map[string]time.Time
	lastSuccess time.Time // ends before it count for nothing
	lastCrash   time.Time // the last end
	changedAt   time.Time // when this box last learned something of it
	timesSent   int       // in how many messages since
}

// NewQuarantine builds one that knows of no end.
func NewQuarantine(rules QuarantineRules) *Quarantine {
	return &Quarantine{
		rules:     rules,
		records:   make(map[Digest]*requestHistory),
		clearedAt: make(map[Digest]time.Time),
	}
}

// Crashed takes the end of an endpoint under a request, as this box saw it, and tells
// whether it says anything against the request.
func (q *Quarantine) Crashed(now time.Time, request Digest, endpoint string) bool {
	if q.wasRecentlyCleared(now, request) {
		return false
	}
	return q.addCrash(now, request, endpoint, now)
}

// RecordSuccess takes a run of a request that its endpoint survived, and tells whether others
// should know: two ends or more speak against the request.
func (q *Quarantine) RecordSuccess(now time.Time, request Digest) bool {
	q.markCleared(now, request)
	r := q.records[request]
	if r == nil {
		return false
	}
	hadSeveral := len(r.crashes) > 1
	q.clearCrashes(now, r, now)
	return hadSeveral
}

// QuarantinedUntil tells whether a request is quarantined, and until when.
func (q *Quarantine) QuarantinedUntil(now time.Time, request Digest) (time.Time, bool) {
	r := q.records[request]
	if r == nil || len(r.crashes) < q.rules.CrashThreshold {
		return time.Time{}, false
	}
	until := r.lastCrash.Add(q.rules.Duration)
	return until, now.Before(until)
}

// All gives the requests that are quarantined, those that ended endpoints last first.
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

// Crashes gives the endpoints that ended under a request, sorted.
func (q *Quarantine) Crashes(request Digest) []string {
	r := q.records[request]
	if r == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(r.crashes))
}
