package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// CrashRecord is what a box tells others of a request under which endpoints ended.
type CrashRecord struct {
	Request Digest        `cbor:"1,keyasint"`
	Crashes []Crash       `cbor:"2,keyasint,omitempty"`
	Cleared bool          `cbor:"3,keyasint,omitempty"` // an endpoint survived it
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since then, by whom tells
}

// Merge takes what another box tells, and gives the part of it that this box didn't know
// and what it has to say against it itself.
func (q *Quarantine) Merge(now time.Time, received []CrashRecord) (updates, corrections []CrashRecord) {
	for _, record := range received {
		changed := false
		if record.Cleared {
			changed = q.mergeSuccess(now, record)
		}
		for _, crash := range record.Crashes {
			if q.addCrash(now, record.Request, crash.Endpoint, now.Add(-max(crash.Age, 0))) {
				changed = true
			}
		}
		if changed {
			updates = append(updates, record)
		}
		q.scheduleCorrection(now, record)
		if r := q.records[record.Request]; r != nil && len(r.crashes) > 1 && q.wasRecentlyCleared(now, record.Request) {
			q.clearCrashes(now, r, now)
			corrections = append(corrections, r.toRecord(now, record.Request))
		}
	}
	return updates, corrections
}

// scheduleCorrection lets a box that tells of ends from before a survived run hear of that run with
// the next messages.
func (q *Quarantine) scheduleCorrection(now time.Time, record CrashRecord) {
	r := q.records[record.Request]
	if r == nil {
		return
	}
	isOutdated := func(crash Crash) bool { return !r.isAfterSuccess(now.Add(-max(crash.Age, 0))) }
	if slices.ContainsFunc(record.Crashes, isOutdated) {
		r.timesSent = 0
	}
}

// mergeSuccess takes word that an endpoint survived a request.
func (q *Quarantine) mergeSuccess(now time.Time, record CrashRecord) bool {
	r := q.records[record.Request]
	at := now.Add(-max(record.Age, 0))
	// Word that came round has the time that its box gave it, less the time that it took.
	if r == nil || !at.After(r.lastSuccess.Add(minSuccessAdvance)) {
		return false
	}
	q.clearCrashes(now, r, at)
	return true
}

// Lookup gives what to tell about one request, or false for nothing.
func (q *Quarantine) Lookup(now time.Time, request Digest) (CrashRecord, bool) {
	r := q.records[request]
	if r == nil {
		return CrashRecord{}, false
	}
	return r.toRecord(now, request), true
}

// The records of one message to another box; one of three ends takes some 130 bytes, one
// of a single end 75.
const (
	// maxRepeatedRecords and severalTellings are for news of requests with two ends or more, or with a
	// survived run: told
	// often enough, as with changes of the roster, to reach a thousand boxes.
	maxRepeatedRecords  = 24
	repeatedRecordSends = 12
	// maxSingleRecords and singleTellings are for news of one end. There is one for each request
	// that ran at a server that crashed, most of them chance; each box of a group has it from
	// the box that saw it, and all of these tell other groups.
	maxSingleRecords  = 8
	singleRecordSends = 3
	// maxStandingRecords are the records with two ends or more that are no longer news, in turns:
	// boxes that start or were cut off know none of them. With eight messages a second that
	// is 4 KB a second of the 23 that a box has for control, and 24 records come round in a
	// second.
	maxStandingRecords = 4
)

// Sample gives the records that another box should know: those that are new, and some of
// those that speak against a request. Those told the least go first.
func (q *Quarantine) Sample(now time.Time) []CrashRecord {
	var repeated, single, standing []Digest
	for request, r := range q.records {
		switch {
		case now.Sub(r.lastCrash) > q.rules.Retention:
			delete(q.records, request)
		case r.hasSingleCrash() && r.timesSent < singleRecordSends:
			single = append(single, request)
		case r.hasSingleCrash():
		case r.timesSent < repeatedRecordSends:
			repeated = append(repeated, request)
		case len(r.crashes) > 1:
			standing = append(standing, request)
		}
	}
	chosen := slices.Concat(q.leastSent(repeated, maxRepeatedRecords), q.leastSent(single, maxSingleRecords), q.leastSent(standing, maxStandingRecords))
	out := make([]CrashRecord, 0, len(chosen))
	for _, request := range chosen {
		r := q.records[request]
		r.timesSent++
		out = append(out, r.toRecord(now, request))
	}
	return out
}

// hasSingleCrash tells whether a single end speaks against a request, and nothing for it.
func (r *requestHistory) hasSingleCrash() bool { return len(r.crashes) == 1 && r.lastSuccess.IsZero() }

// leastSent gives some of the requests, those told of the least first, and the newest of them.
func (q *Quarantine) leastSent(requests []Digest, limit int) []Digest {
	slices.SortFunc(requests, func(a, b Digest) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(x.timesSent, y.timesSent), y.changedAt.Compare(x.changedAt), slices.Compare(a[:], b[:]))
	})
	return requests[:min(len(requests), limit)]
}

func (r *requestHistory) toRecord(now time.Time, request Digest) CrashRecord {
	record := CrashRecord{Request: request}
	for _, endpoint := range slices.Sorted(maps.Keys(r.crashes)) {
		record.Crashes = append(record.Crashes, Crash{
			Endpoint: endpoint,
			Age:      now.Sub(r.crashes[endpoint]),
		})
	}
	if !r.lastSuccess.IsZero() {
		record.Cleared = true
		record.Age = now.Sub(r.lastSuccess)
	}
	return record
}
