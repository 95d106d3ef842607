package core

import (
	"maps"
	"slices"
	"time"
)

// CrashRecord is the gossip record of a request during which endpoints crashed.
type CrashRecord struct {
	Request Digest        `cbor:"1,keyasint"`
	Crashes []Crash       `cbor:"2,keyasint,omitempty"`
	Cleared bool          `cbor:"3,keyasint,omitempty"` // the request ran successfully
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // time since the successful run, at the sender
}

// Merge merges records from another box. It returns those that were new to this box, and
// corrections: records of requests that this box has recently seen succeed.
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

// scheduleCorrection sends the record of a request again with the next messages if another
// box still reports crashes from before its last successful run.
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

// mergeSuccess merges a reported successful run and reports whether it is new.
func (q *Quarantine) mergeSuccess(now time.Time, record CrashRecord) bool {
	r := q.records[record.Request]
	at := now.Add(-max(record.Age, 0))
	// A relayed record of the known run looks newer by its time in transit.
	if r == nil || !at.After(r.lastSuccess.Add(minSuccessAdvance)) {
		return false
	}
	q.clearCrashes(now, r, at)
	return true
}

// Lookup returns the gossip record of a request, and whether there is one.
func (q *Quarantine) Lookup(now time.Time, request Digest) (CrashRecord, bool) {
	r := q.records[request]
	if r == nil {
		return CrashRecord{}, false
	}
	return r.toRecord(now, request), true
}

// These constants bound the records in one message and how often each is sent. A record of
// three crashes takes about 130 bytes, one of a single crash 75.
const (
	// maxRepeatedRecords bounds the new records of requests with several crashes or with a
	// successful run. Each is sent repeatedRecordSends times, enough to reach a thousand
	// boxes.
	maxRepeatedRecords  = 24
	repeatedRecordSends = 12
	// maxSingleRecords bounds the new records of one crash. A crashing server leaves one
	// for each request that it ran, most of them coincidental. The box that saw the crash
	// sends it to its group, whose boxes send it to other groups.
	maxSingleRecords  = 8
	singleRecordSends = 3
	// maxStandingRecords bounds the records with several crashes that aren't new. They are
	// sent in turn to boxes that have started or were cut off. With eight gossip messages per
	// second they take 4 of the 23 KB/s that a box may use for control traffic.
	maxStandingRecords = 4
)

// Sample returns the records for one message to another box: new ones, and some that still
// count against a request. Records that were sent least often go first. It also removes
// expired records.
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

// hasSingleCrash reports whether there is one crash and no successful run.
func (r *requestHistory) hasSingleCrash() bool { return len(r.crashes) == 1 && r.lastSuccess.IsZero() }

// leastSent returns up to limit requests whose records were sent least often.
func (q *Quarantine) leastSent(requests []Digest, limit int) []Digest {
	return leastSent(requests,
		func(request Digest) dissemination { return q.records[request].dissemination },
		func(a, b Digest) int { return slices.Compare(a[:], b[:]) },
		limit)
}

// toRecord returns the history as a gossip record.
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
