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
func (q *Quarantine) Merge(now time.Time, told []CrashRecord) (news, objections []CrashRecord) {
	for _, t := range told {
		changed := false
		if t.Cleared {
			changed = q.hearSound(now, t)
		}
		for _, e := range t.Crashes {
			if q.add(now, t.Request, e.Endpoint, now.Add(-max(e.Age, 0))) {
				changed = true
			}
		}
		if changed {
			news = append(news, t)
		}
		q.correct(now, t)
		if r := q.records[t.Request]; r != nil && len(r.ends) > 1 && q.proved(now, t.Request) {
			q.acquit(now, r, now)
			objections = append(objections, r.tell(now, t.Request))
		}
	}
	return news, objections
}

// correct lets a box that tells of ends from before a survived run hear of that run with
// the next messages.
func (q *Quarantine) correct(now time.Time, t CrashRecord) {
	r := q.records[t.Request]
	if r == nil {
		return
	}
	old := func(e Crash) bool { return !r.counts(now.Add(-max(e.Age, 0))) }
	if slices.ContainsFunc(t.Crashes, old) {
		r.told = 0
	}
}

// hearSound takes word that an endpoint survived a request.
func (q *Quarantine) hearSound(now time.Time, t CrashRecord) bool {
	r := q.records[t.Request]
	at := now.Add(-max(t.Age, 0))
	// Word that came round has the time that its box gave it, less the time that it took.
	if r == nil || !at.After(r.soundAt.Add(soundStep)) {
		return false
	}
	q.acquit(now, r, at)
	return true
}

// Lookup gives what to tell about one request, or false for nothing.
func (q *Quarantine) Lookup(now time.Time, request Digest) (CrashRecord, bool) {
	r := q.records[request]
	if r == nil {
		return CrashRecord{}, false
	}
	return r.tell(now, request), true
}

// The records of one message to another box; one of three ends takes some 130 bytes, one
// of a single end 75.
const (
	// severalMost and severalTellings are for news of requests with two ends or more, or with a
	// survived run: told
	// often enough, as with changes of the roster, to reach a thousand boxes.
	severalMost     = 24
	severalTellings = 12
	// singleMost and singleTellings are for news of one end. There is one for each request
	// that ran at a server that crashed, most of them chance; each box of a group has it from
	// the box that saw it, and all of these tell other groups.
	singleMost     = 8
	singleTellings = 3
	// standingMost are the records with two ends or more that are no longer news, in turns:
	// boxes that start or were cut off know none of them. With eight messages a second that
	// is 4 KB a second of the 23 that a box has for control, and 24 records come round in a
	// second.
	standingMost = 4
)

// Sample gives the records that another box should know: those that are new, and some of
// those that speak against a request. Those told the least go first.
func (q *Quarantine) Sample(now time.Time) []CrashRecord {
	var several, single, standing []Digest
	for request, r := range q.records {
		switch {
		case now.Sub(r.last) > q.rules.Retention:
			delete(q.records, request)
		case r.doubtful() && r.told < singleTellings:
			single = append(single, request)
		case r.doubtful():
		case r.told < severalTellings:
			several = append(several, request)
		case len(r.ends) > 1:
			standing = append(standing, request)
		}
	}
	chosen := slices.Concat(q.least(several, severalMost), q.least(single, singleMost), q.least(standing, standingMost))
	out := make([]CrashRecord, 0, len(chosen))
	for _, request := range chosen {
		r := q.records[request]
		r.told++
		out = append(out, r.tell(now, request))
	}
	return out
}

// doubtful tells whether a single end speaks against a request, and nothing for it.
func (r *endRecord) doubtful() bool { return len(r.ends) == 1 && r.soundAt.IsZero() }

// least gives some of the requests, those told of the least first, and the newest of them.
func (q *Quarantine) least(requests []Digest, most int) []Digest {
	slices.SortFunc(requests, func(a, b Digest) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(x.told, y.told), y.changed.Compare(x.changed), slices.Compare(a[:], b[:]))
	})
	return requests[:min(len(requests), most)]
}

func (r *endRecord) tell(now time.Time, request Digest) CrashRecord {
	t := CrashRecord{Request: request}
	for _, endpoint := range slices.Sorted(maps.Keys(r.ends)) {
		t.Crashes = append(t.Crashes, Crash{
			Endpoint: endpoint,
			Age:      now.Sub(r.ends[endpoint]),
		})
	}
	if !r.soundAt.IsZero() {
		t.Cleared = true
		t.Age = now.Sub(r.soundAt)
	}
	return t
}
