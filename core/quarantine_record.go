package core

import (
	"cmp"
	"time"
)

// addCrash takes one end, and tells whether it is new and counts.
func (q *Quarantine) addCrash(now time.Time, request Digest, endpoint string, at time.Time) bool {
	if now.Sub(at) > q.rules.Retention {
		return false
	}
	r := q.records[request]
	if r == nil {
		if !q.makeRoom(at) {
			return false
		}
		r = &requestHistory{crashes: make(map[string]time.Time)}
		q.records[request] = r
	}
	if _, known := r.crashes[endpoint]; known || !r.isAfterSuccess(at) {
		return false
	}
	if len(r.crashes) > q.rules.CrashThreshold {
		oldestCrash := r.oldestCrash()
		if !at.After(r.crashes[oldestCrash]) {
			return false // it was dropped before
		}
		delete(r.crashes, oldestCrash)
	}
	r.crashes[endpoint] = at
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	r.markChanged(now)
	return true
}

// oldestCrash gives the endpoint that ended first.
func (r *requestHistory) oldestCrash() string {
	oldestCrash := ""
	for endpoint, at := range r.crashes {
		if oldestCrash == "" || at.Before(r.crashes[oldestCrash]) {
			oldestCrash = endpoint
		}
	}
	return oldestCrash
}

func (r *requestHistory) markChanged(now time.Time) {
	r.changedAt = now
	r.timesSent = 0
}

// minSuccessAdvance is the least by which word of a survived run must be newer than the last to
// be handed on; ages lose the time that messages take.
const minSuccessAdvance = 2 * time.Second

// maxAgeDrift is by how much an end may look younger when its word comes round by several
// boxes, as ages lose the time that messages take.
const maxAgeDrift = 500 * time.Millisecond

// isAfterSuccess tells whether an end at a time is later than the last survived run.
func (r *requestHistory) isAfterSuccess(at time.Time) bool {
	return r.lastSuccess.IsZero() || at.After(r.lastSuccess.Add(maxAgeDrift))
}

// clearCrashes takes back all ends before a time.
func (q *Quarantine) clearCrashes(now time.Time, r *requestHistory, at time.Time) {
	r.lastSuccess = at
	for endpoint, crashedAt := range r.crashes {
		if !r.isAfterSuccess(crashedAt) {
			delete(r.crashes, endpoint)
		}
	}
	r.markChanged(now)
}

// wasRecentlyCleared tells whether an endpoint survived the request a short while ago, at this box.
func (q *Quarantine) wasRecentlyCleared(now time.Time, request Digest) bool {
	at, ok := q.clearedAt[request]
	return ok && now.Sub(at) <= q.rules.ClearedFor
}

// markCleared takes a request among the sound ones, in place of the oldest.
func (q *Quarantine) markCleared(now time.Time, request Digest) {
	if _, known := q.clearedAt[request]; !known {
		if len(q.clearedOrder) >= q.rules.MaxCleared {
			delete(q.clearedAt, q.clearedOrder[0])
			q.clearedOrder = q.clearedOrder[1:]
		}
		q.clearedOrder = append(q.clearedOrder, request)
	}
	q.clearedAt[request] = now
}

// makeRoom forgets a record when there are too many: the one with the fewest ends, and the
// oldest of these, unless the new one's end is older still. So all boxes keep the same ones,
// and don't take from each other in turns what they forgot.
func (q *Quarantine) makeRoom(at time.Time) bool {
	if len(q.records) < q.rules.MaxRecords {
		return true
	}
	var evicted Digest
	var weakest *requestHistory
	for request, r := range q.records {
		if weakest == nil || cmp.Or(cmp.Compare(len(r.crashes), len(weakest.crashes)), r.lastCrash.Compare(weakest.lastCrash)) < 0 {
			evicted, weakest = request, r
		}
	}
	if len(weakest.crashes) > 1 || weakest.lastCrash.After(at) {
		return false
	}
	delete(q.records, evicted)
	return true
}
