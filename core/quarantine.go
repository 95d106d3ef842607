package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// QuarantineRules bound when a request is kept from the endpoints, and what is remembered.
type QuarantineRules struct {
	Ends    int           // of endpoints under a request, before it is quarantined
	Hold    time.Duration // since the last end, how long it is
	Memory  time.Duration // since the last end, after which it is forgotten
	Records int           // the most requests that are remembered
	Sound   int           // the most requests that are remembered as sound
	Proof   time.Duration // since a run that an endpoint survived, how long it proves the request sound
}

// DefaultQuarantineRules gives the rules that the boxes use. One end under a request is
// chance, and so is a second while a fleet of nine engines loses one a second (a caller who
// tries again meets the next with a probability of a ninth); three without one run that an
// endpoint survived are not. A client that repeats by itself has given up after the hold;
// then a single further end renews it. The records are all requests under way at some ten
// engines that end at once; the sound ones are those of half a minute at a box.
func DefaultQuarantineRules() QuarantineRules {
	return QuarantineRules{
		Ends:    3,
		Hold:    10 * time.Minute,
		Memory:  20 * time.Minute,
		Records: 2048,
		Sound:   4096,
		Proof:   30 * time.Second,
	}
}

// End is the end of an endpoint under a request.
type End struct {
	Endpoint string        `cbor:"1,keyasint"` // its incarnation
	Age      time.Duration `cbor:"2,keyasint"` // since it ended, by whom tells
}

// EndRecord is what a box tells others of a request under which endpoints ended.
type EndRecord struct {
	Request Digest        `cbor:"1,keyasint"`
	Ends    []End         `cbor:"2,keyasint,omitempty"`
	Sound   bool          `cbor:"3,keyasint,omitempty"` // an endpoint survived it
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since then, by whom tells
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

// Ended takes the end of an endpoint under a request, as this box saw it, and tells
// whether it says anything against the request.
func (q *Quarantine) Ended(now time.Time, request Digest, endpoint string) bool {
	if q.proved(now, request) {
		return false
	}
	return q.add(now, request, endpoint, now)
}

// Survived takes a run of a request that its endpoint survived, and tells whether others
// should know: two ends or more speak against the request.
func (q *Quarantine) Survived(now time.Time, request Digest) bool {
	q.remember(now, request)
	r := q.records[request]
	if r == nil {
		return false
	}
	others := len(r.ends) > 1
	q.acquit(now, r, now)
	return others
}

// Hear takes what another box tells, and gives the part of it that this box didn't know
// and what it has to say against it itself.
func (q *Quarantine) Hear(now time.Time, told []EndRecord) (news, objections []EndRecord) {
	for _, t := range told {
		changed := false
		if t.Sound {
			changed = q.hearSound(now, t)
		}
		for _, e := range t.Ends {
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
func (q *Quarantine) correct(now time.Time, t EndRecord) {
	r := q.records[t.Request]
	if r == nil {
		return
	}
	old := func(e End) bool { return !now.Add(-max(e.Age, 0)).After(r.soundAt) }
	if slices.ContainsFunc(t.Ends, old) {
		r.told = 0
	}
}

// Held tells whether a request is quarantined, and until when.
func (q *Quarantine) Held(now time.Time, request Digest) (time.Time, bool) {
	r := q.records[request]
	if r == nil || len(r.ends) < q.rules.Ends {
		return time.Time{}, false
	}
	until := r.last.Add(q.rules.Hold)
	return until, now.Before(until)
}

// All gives the requests that are quarantined, those that ended endpoints last first.
func (q *Quarantine) All(now time.Time) []Digest {
	var all []Digest
	for request := range q.records {
		if _, held := q.Held(now, request); held {
			all = append(all, request)
		}
	}
	slices.SortFunc(all, func(a, b Digest) int {
		return cmp.Or(q.records[b].last.Compare(q.records[a].last), slices.Compare(a[:], b[:]))
	})
	return all
}

// Ends gives the endpoints that ended under a request, sorted.
func (q *Quarantine) Ends(request Digest) []string {
	r := q.records[request]
	if r == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(r.ends))
}

// Tell gives what to tell about one request, or false for nothing.
func (q *Quarantine) Tell(now time.Time, request Digest) (EndRecord, bool) {
	r := q.records[request]
	if r == nil {
		return EndRecord{}, false
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
func (q *Quarantine) Sample(now time.Time) []EndRecord {
	var several, single, standing []Digest
	for request, r := range q.records {
		switch {
		case now.Sub(r.last) > q.rules.Memory:
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
	out := make([]EndRecord, 0, len(chosen))
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

func (r *endRecord) tell(now time.Time, request Digest) EndRecord {
	t := EndRecord{Request: request}
	for _, endpoint := range slices.Sorted(maps.Keys(r.ends)) {
		t.Ends = append(t.Ends, End{
			Endpoint: endpoint,
			Age:      now.Sub(r.ends[endpoint]),
		})
	}
	if !r.soundAt.IsZero() {
		t.Sound = true
		t.Age = now.Sub(r.soundAt)
	}
	return t
}

// add takes one end, and tells whether it is new and counts.
func (q *Quarantine) add(now time.Time, request Digest, endpoint string, at time.Time) bool {
	if now.Sub(at) > q.rules.Memory {
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
	if _, known := r.ends[endpoint]; known || !at.After(r.soundAt) {
		return false
	}
	if len(r.ends) > q.rules.Ends {
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

// hearSound takes word that an endpoint survived a request.
func (q *Quarantine) hearSound(now time.Time, t EndRecord) bool {
	r := q.records[t.Request]
	at := now.Add(-max(t.Age, 0))
	// Word that came round has the time that its box gave it, less the time that it took.
	if r == nil || !at.After(r.soundAt.Add(soundStep)) {
		return false
	}
	q.acquit(now, r, at)
	return true
}

// soundStep is the least by which word of a survived run must be newer than the last to
// be handed on; ages lose the time that messages take.
const soundStep = 2 * time.Second

// acquit takes back all ends before a time.
func (q *Quarantine) acquit(now time.Time, r *endRecord, at time.Time) {
	r.soundAt = at
	for endpoint, end := range r.ends {
		if !end.After(at) {
			delete(r.ends, endpoint)
		}
	}
	r.news(now)
}

// proved tells whether an endpoint survived the request a short while ago, at this box.
func (q *Quarantine) proved(now time.Time, request Digest) bool {
	at, ok := q.sound[request]
	return ok && now.Sub(at) <= q.rules.Proof
}

// remember takes a request among the sound ones, in place of the oldest.
func (q *Quarantine) remember(now time.Time, request Digest) {
	if _, known := q.sound[request]; !known {
		if len(q.order) >= q.rules.Sound {
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
	if len(q.records) < q.rules.Records {
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
