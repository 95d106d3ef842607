package core

import "time"

// addCrash adds a crash to a request's history. It reports whether the crash is new and
// counts against the request.
func (q *Quarantine) addCrash(now time.Time, request Digest, endpoint string, at time.Time) bool {
	if now.Sub(at) > q.rules.Retention {
		return false
	}
	r := q.records[request]
	if r == nil {
		if !makeRoom(q.records, q.rules.MaxRecords, at) {
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
	at, ok := q.clearedAt.at[request]
	return ok && now.Sub(at) <= q.rules.ClearedFor
}
