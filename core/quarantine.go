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
	rules   QuarantineRules
	records map[Digest]*endRecord
	sound   map[Digest]time.Time
	order   []Digest // of sound, the oldest first
}

type endRecord struct {
	ends    map[string]time.Time
	soundAt time.Time // ends before it count for nothing
	last    time.Time // the last end
	changed time.Time // when this box last learned something of it
	told    int       // in how many messages since
}

// NewQuarantine builds one that knows of no end.
func NewQuarantine(rules QuarantineRules) *Quarantine {
	return &Quarantine{
		rules:   rules,
		records: make(map[Digest]*endRecord),
		sound:   make(map[Digest]time.Time),
	}
}

// Crashed takes the end of an endpoint under a request, as this box saw it, and tells
// whether it says anything against the request.
func (q *Quarantine) Crashed(now time.Time, request Digest, endpoint string) bool {
	if q.proved(now, request) {
		return false
	}
	return q.add(now, request, endpoint, now)
}

// RecordSuccess takes a run of a request that its endpoint survived, and tells whether others
// should know: two ends or more speak against the request.
func (q *Quarantine) RecordSuccess(now time.Time, request Digest) bool {
	q.remember(now, request)
	r := q.records[request]
	if r == nil {
		return false
	}
	others := len(r.ends) > 1
	q.acquit(now, r, now)
	return others
}

// QuarantinedUntil tells whether a request is quarantined, and until when.
func (q *Quarantine) QuarantinedUntil(now time.Time, request Digest) (time.Time, bool) {
	r := q.records[request]
	if r == nil || len(r.ends) < q.rules.CrashThreshold {
		return time.Time{}, false
	}
	until := r.last.Add(q.rules.Duration)
	return until, now.Before(until)
}

// All gives the requests that are quarantined, those that ended endpoints last first.
func (q *Quarantine) All(now time.Time) []Digest {
	var all []Digest
	for request := range q.records {
		if _, held := q.QuarantinedUntil(now, request); held {
			all = append(all, request)
		}
	}
	slices.SortFunc(all, func(a, b Digest) int {
		return cmp.Or(q.records[b].last.Compare(q.records[a].last), slices.Compare(a[:], b[:]))
	})
	return all
}

// Crashes gives the endpoints that ended under a request, sorted.
func (q *Quarantine) Crashes(request Digest) []string {
	r := q.records[request]
	if r == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(r.ends))
}
