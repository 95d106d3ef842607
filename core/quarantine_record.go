package core

import (
	"cmp"
	"time"
)

// add takes one end, and tells whether it is new and counts.
func (q *Quarantine) add(now time.Time, request Digest, endpoint string, at time.Time) bool {
	if now.Sub(at) > q.rules.Retention {
		return false
	}
	r := q.records[request]
	if r == nil {
		if !q.makeRoom(at) {
			return false
		}
		r = &endRecord{ends: make(map[string]time.Time)}
		q.records[request] = r
	}
	if _, known := r.ends[endpoint]; known || !r.counts(at) {
		return false
	}
	if len(r.ends) > q.rules.CrashThreshold {
		oldest := r.oldest()
		if !at.After(r.ends[oldest]) {
			return false // it was dropped before
		}
		delete(r.ends, oldest)
	}
	r.ends[endpoint] = at
	if at.After(r.last) {
		r.last = at
	}
	r.news(now)
	return true
}

// oldest gives the endpoint that ended first.
func (r *endRecord) oldest() string {
	oldest := ""
	for endpoint, at := range r.ends {
		if oldest == "" || at.Before(r.ends[oldest]) {
			oldest = endpoint
		}
	}
	return oldest
}

func (r *endRecord) news(now time.Time) {
	r.changed = now
	r.told = 0
}

// soundStep is the least by which word of a survived run must be newer than the last to
// be handed on; ages lose the time that messages take.
const soundStep = 2 * time.Second

// endDrift is by how much an end may look younger when its word comes round by several
// boxes, as ages lose the time that messages take.
const endDrift = 500 * time.Millisecond

// counts tells whether an end at a time is later than the last survived run.
func (r *endRecord) counts(at time.Time) bool {
	return r.soundAt.IsZero() || at.After(r.soundAt.Add(endDrift))
}

// acquit takes back all ends before a time.
func (q *Quarantine) acquit(now time.Time, r *endRecord, at time.Time) {
	r.soundAt = at
	for endpoint, end := range r.ends {
		if !r.counts(end) {
			delete(r.ends, endpoint)
		}
	}
	r.news(now)
}

// proved tells whether an endpoint survived the request a short while ago, at this box.
func (q *Quarantine) proved(now time.Time, request Digest) bool {
	at, ok := q.sound[request]
	return ok && now.Sub(at) <= q.rules.ClearedFor
}

// remember takes a request among the sound ones, in place of the oldest.
func (q *Quarantine) remember(now time.Time, request Digest) {
	if _, known := q.sound[request]; !known {
		if len(q.order) >= q.rules.MaxCleared {
			delete(q.sound, q.order[0])
			q.order = q.order[1:]
		}
		q.order = append(q.order, request)
	}
	q.sound[request] = now
}

// makeRoom forgets a record when there are too many: the one with the fewest ends, and the
// oldest of these, unless the new one's end is older still. So all boxes keep the same ones,
// and don't take from each other in turns what they forgot.
func (q *Quarantine) makeRoom(at time.Time) bool {
	if len(q.records) < q.rules.MaxRecords {
		return true
	}
	var least Digest
	var found *endRecord
	for request, r := range q.records {
		if found == nil || cmp.Or(cmp.Compare(len(r.ends), len(found.ends)), r.last.Compare(found.last)) < 0 {
			least, found = request, r
		}
	}
	if len(found.ends) > 1 || found.last.After(at) {
		return false
	}
	delete(q.records, least)
	return true
}
