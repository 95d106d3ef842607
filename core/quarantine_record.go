package core

import (
	"cmp"
	"time"
)

// addCrash adds a crash to a request's history. It reports whether the crash is new and
// counts against the request.
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
			return false // older than the crashes that are kept
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

// oldestCrash returns the endpoint that crashed first.
func (r *requestHistory) oldestCrash() string {
	oldestCrash := ""
	for endpoint, at := range r.crashes {
		if oldestCrash == "" || at.Before(r.crashes[oldestCrash]) {
			oldestCrash = endpoint
		}
	}
	return oldestCrash
}

// markChanged makes the record new again, so that it is sent to other boxes.
func (r *requestHistory) markChanged(now time.Time) {
	r.changedAt = now
	r.timesSent = 0
}

// minSuccessAdvance is how much later than the known one a reported successful run must be
// to count as new. Ages don't include the time in transit, so a relayed record of the same
// run looks slightly newer.
const minSuccessAdvance = 2 * time.Second

// maxAgeDrift bounds how much younger a crash may look after its record was relayed by
// several boxes, for the same reason.
const maxAgeDrift = 500 * time.Millisecond

// isAfterSuccess reports whether a crash at the given time is later than the last
// successful run.
func (r *requestHistory) isAfterSuccess(at time.Time) bool {
	return r.lastSuccess.IsZero() || at.After(r.lastSuccess.Add(maxAgeDrift))
}

// clearCrashes records a successful run at the given time and removes earlier crashes.
func (q *Quarantine) clearCrashes(now time.Time, r *requestHistory, at time.Time) {
	r.lastSuccess = at
	for endpoint, crashedAt := range r.crashes {
		if !r.isAfterSuccess(crashedAt) {
			delete(r.crashes, endpoint)
		}
	}
	r.markChanged(now)
}

// wasRecentlyCleared reports whether the request ran successfully at this box within
// ClearedFor.
func (q *Quarantine) wasRecentlyCleared(now time.Time, request Digest) bool {
	at, ok := q.clearedAt[request]
	return ok && now.Sub(at) <= q.rules.ClearedFor
}

// markCleared records a successful run at this box, evicting the oldest entry when full.
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

// makeRoom reports whether a record of a crash at the given time fits in. When the table is
// full it evicts the record with the fewest crashes, the oldest of these, but neither one
// with several crashes nor one newer than the given time. All boxes thus keep the same
// records, and don't keep sending each other evicted ones.
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
