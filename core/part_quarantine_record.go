package core

import (
	"slices"
	"time"
)

// addCrash adds a crash to a part's history. It reports whether the crash is new and counts.
func (q *PartQuarantine) addCrash(now time.Time, part PromptPart, endpoint string, crash partCrash) bool {
	r := q.records[part]
	if now.Sub(crash.at) > q.rules.Retention || !crash.at.After(q.lastSound(part)) || r.hasCleared(endpoint) {
		return false
	}
	if r == nil {
		if !makeRoom(q.records, q.rules.MaxRecords, crash.at) {
			return false
		}
		r = &partHistory{
			crashes: make(map[string]partCrash),
			cleared: newRecentTimes[string](q.rules.MaxCrashes),
			soundAt: q.lastSound(part),
		}
		q.records[part] = r
	}
	if known, ok := r.crashes[endpoint]; ok {
		// Of the requests at one crash all boxes keep the same one.
		if crash.request < known.request {
			known.request = crash.request
			known.runTime = crash.runTime
			r.crashes[endpoint] = known
		}
		return false
	}
	if len(r.crashes) >= q.rules.MaxCrashes {
		oldest := r.oldestCrash()
		if !crash.at.After(r.crashes[oldest].at) {
			return false // older than the crashes that are kept
		}
		delete(r.crashes, oldest)
	}
	r.crashes[endpoint] = crash
	r.lastCrash = latest(r.lastCrash, crash.at)
	r.markChanged(now)
	q.updateSuspicion(part, r)
	return true
}

// hasCleared reports whether an answer cleared the part of an endpoint's crash. Relayed records make
// crashes look later, so that one which another box still counts may seem to be after the answer.
func (r *partHistory) hasCleared(endpoint string) bool {
	if r == nil {
		return false
	}
	_, ok := r.cleared.at[endpoint]
	return ok
}

// oldestCrash returns the endpoint that crashed first.
func (r *partHistory) oldestCrash() string {
	oldest := ""
	for endpoint, crash := range r.crashes {
		if oldest == "" || crash.at.Before(r.crashes[oldest].at) {
			oldest = endpoint
		}
	}
	return oldest
}

// lastSound returns when a request with the part was last answered, as far as this box knows.
func (q *PartQuarantine) lastSound(part PromptPart) time.Time {
	at := q.soundAt.at[part]
	if r := q.records[part]; r != nil {
		at = latest(at, r.soundAt)
	}
	return at
}

// markSound records that a part is known to be sound since a time. It reports whether that clears the
// part of crashes.
func (q *PartQuarantine) markSound(now time.Time, part PromptPart, at time.Time) bool {
	q.soundAt.mark(part, at)
	r := q.records[part]
	if r == nil {
		return false
	}
	r.soundAt = latest(r.soundAt, at)
	before := len(r.crashes)
	for endpoint, crash := range r.crashes {
		if !crash.at.After(at) {
			delete(r.crashes, endpoint)
			r.cleared.mark(endpoint, crash.at)
		}
	}
	if len(r.crashes) == before {
		return false
	}
	r.markChanged(now)
	q.updateSuspicion(part, r)
	return true
}

// minSoundAdvance is how much later than the known one a reported answer must have begun to count as
// new, unless it clears crashes: ages don't include the time in transit.
const minSoundAdvance = 100 * time.Millisecond

// mergeSound records the same as another box reports it.
func (q *PartQuarantine) mergeSound(now time.Time, part PromptPart, at time.Time) bool {
	r := q.records[part]
	clears := r != nil && slices.ContainsFunc(r.sortedCrashes(), func(crash partCrash) bool { return !crash.at.After(at) })
	if known := q.lastSound(part); !clears && !known.IsZero() && at.Sub(known) < minSoundAdvance {
		return false
	}
	return q.markSound(now, part, at)
}

// updateSuspicion adds a part to the suspects or removes it, after its crashes have changed.
func (q *PartQuarantine) updateSuspicion(part PromptPart, r *partHistory) {
	delete(q.repeated, part)
	if len(r.crashes) > 1 {
		q.repeated[part] = r
	}
	if q.countSeparate(r) >= q.rules.CrashThreshold && r.requestCount() >= q.rules.RequestThreshold {
		q.suspects[part] = r
		return
	}
	delete(q.suspects, part)
}

// countSeparate returns the number of crashes, of which those close together count as one: engines
// that are killed together end the requests that all of them have. A request that was sent after a
// crash met another one.
func (q *PartQuarantine) countSeparate(r *partHistory) int {
	count := 0
	var last time.Time
	for _, crash := range r.sortedCrashes() {
		if count == 0 || crash.at.Sub(last) >= q.rules.MomentLength || crash.at.Add(-crash.runTime).After(last) {
			count++
			last = crash.at
		}
	}
	return count
}

// requestCount returns the number of different requests at the crashes.
func (r *partHistory) requestCount() int {
	requests := make(map[uint64]bool, len(r.crashes))
	for _, crash := range r.crashes {
		requests[crash.request] = true
	}
	return len(requests)
}

// removeExpired removes the records of parts whose last crash, or clearing, is long ago.
func (q *PartQuarantine) removeExpired(now time.Time) {
	for part, r := range q.records {
		isOld := now.Sub(r.lastCrash) > q.rules.Retention
		if isOld || (len(r.crashes) == 0 && now.Sub(r.changedAt) > q.rules.ClearedRetention) {
			delete(q.records, part)
			delete(q.repeated, part)
			delete(q.suspects, part)
		}
	}
}
