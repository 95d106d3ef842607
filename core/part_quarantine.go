package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PartRules configure when a part of prompts is quarantined and how much is remembered.
type PartRules struct {
	CrashThreshold   int           // number of separate crashes that quarantine a part
	RequestThreshold int           // number of different requests among them
	ProofThreshold   int           // number of crashes, unexplained by other parts, that prove a part bad
	MomentLength     time.Duration // crashes that are closer together count as one, unless the later request was sent after the first
	Duration         time.Duration // how long a first quarantine lasts after the last crash; each trial that fails doubles it
	UnprovenDuration time.Duration // how long it lasts while most crashes have another explanation
	MaxDuration      time.Duration // the longest quarantine
	TrialInterval    time.Duration // time after a quarantine by which one more box may try a request
	TrialTimeout     time.Duration // how long a box awaits the result of a trial
	Retention        time.Duration // how long crashes are remembered after the last one
	ClearedRetention time.Duration // how long it is remembered that a part was cleared
	MaxRecords       int           // maximum number of parts with recorded crashes
	MaxCrashes       int           // maximum number of crashes of one part
	MaxReported      int           // maximum number of parts of one request that a crash counts against
	MaxSound         int           // maximum number of parts remembered as sound
}

// DefaultPartRules returns the rules used in production. The crash threshold makes it unlikely
// that prompts with a sound part meet nothing but coincidental crashes. The request threshold
// leaves repeats of one request to Quarantine. MomentLength makes engines that are killed together
// one crash. UnprovenDuration and Duration limit the damage if a sound part is quarantined all the
// same.
func DefaultPartRules() PartRules {
	return PartRules{
		CrashThreshold:   4,
		RequestThreshold: 3,
		ProofThreshold:   2,
		MomentLength:     250 * time.Millisecond,
		Duration:         2 * time.Minute,
		UnprovenDuration: time.Second,
		MaxDuration:      10 * time.Minute,
		TrialInterval:    5 * time.Second,
		TrialTimeout:     30 * time.Second,
		Retention:        30 * time.Minute,
		ClearedRetention: time.Minute,
		MaxRecords:       2048,
		MaxCrashes:       16,
		MaxReported:      32,
		MaxSound:         4096,
	}
}

// PartCrash is the crash of an endpoint that had just begun to run a request.
type PartCrash struct {
	Endpoint string        `cbor:"1,keyasint"` // identifies the endpoint's process
	Request  uint64        `cbor:"2,keyasint"` // identifies the request's content
	Age      time.Duration `cbor:"3,keyasint"` // time since the crash, at the sender
	RunTime  time.Duration `cbor:"4,keyasint"` // from the request's send to the crash
}

// PartQuarantine records at which parts of prompts endpoints crashed, at this and other boxes, and
// decides which requests must not be sent because of such a part. A part is suspected when
// endpoints crashed at several different requests with it and none was answered in between.
// A part isn't blamed for being beside another one: a request is held for a suspected part only if
// parts that the request doesn't have leave some of its crashes unexplained.
//
// The state of a part is a set of crashes and the time since which it is known to be sound, so
// boxes may merge records in any order and more than once.
type PartQuarantine struct {
	rules    PartRules
	records  map[PromptPart]*partHistory
	repeated map[PromptPart]*partHistory // the records of parts with several crashes
	suspects map[PromptPart]*partHistory // of these, the ones of suspected parts
	soundAt  *recentTimes[PromptPart]    // when the last runs that were answered began to answer
}

// partHistory holds the crashes at a part since it was last known to be sound.
type partHistory struct {
	dissemination
	crashes      map[string]partCrash // by endpoint
	cleared      *recentTimes[string] // endpoints whose crashes an answer cleared
	lastCrash    time.Time
	soundAt      time.Time // when a request with the part was last answered; earlier crashes don't count
	trialAt      time.Time // when this box last let a request through after the quarantine
	trialRequest Digest
}

// partCrash is a crash at a part.
type partCrash struct {
	at      time.Time
	request uint64
	runTime time.Duration
}

func (r *partHistory) crashCount() int        { return len(r.crashes) }
func (r *partHistory) latestCrash() time.Time { return r.lastCrash }

// NewPartQuarantine returns a quarantine without any recorded crash.
func NewPartQuarantine(rules PartRules) *PartQuarantine {
	return &PartQuarantine{
		rules:    rules,
		records:  make(map[PromptPart]*partHistory),
		repeated: make(map[PromptPart]*partHistory),
		suspects: make(map[PromptPart]*partHistory),
		soundAt:  newRecentTimes[PromptPart](rules.MaxSound),
	}
}

// Crashed records that an endpoint crashed when it had just begun to run a request of this box, which
// it got runTime ago. It returns the parts against which the crash counts.
func (q *PartQuarantine) Crashed(now time.Time, prompt Prompt, endpoint string, runTime time.Duration) []PromptPart {
	var counted []PromptPart
	crash := partCrash{
		at:      now,
		request: prompt.Content.Short(),
		runTime: runTime,
	}
	for _, id := range q.reported(prompt) {
		part := prompt.part(id)
		if q.addCrash(now, part, endpoint, crash) {
			counted = append(counted, part)
		}
	}
	return counted
}

// reported returns the parts of a crashed request that the crash may count against: those with
// crashes already, then the first ones, as the parts that most requests share come first.
func (q *PartQuarantine) reported(prompt Prompt) []PartID {
	if len(prompt.Parts) <= q.rules.MaxReported {
		return prompt.Parts
	}
	parts := slices.Clone(prompt.Parts)
	slices.SortStableFunc(parts, func(a, b PartID) int {
		return cmp.Compare(q.crashCount(prompt.part(b)), q.crashCount(prompt.part(a)))
	})
	return parts[:q.rules.MaxReported]
}

func (q *PartQuarantine) crashCount(part PromptPart) int {
	if r := q.records[part]; r != nil {
		return len(r.crashes)
	}
	return 0
}

// RecordSound records that a request of this box was answered, or is being answered without a
// crash, since the given time. It returns the parts that this clears of crashes.
func (q *PartQuarantine) RecordSound(now time.Time, prompt Prompt, since time.Time) []PromptPart {
	var cleared []PromptPart
	for _, id := range prompt.Parts {
		if part := prompt.part(id); q.markSound(now, part, since) {
			cleared = append(cleared, part)
		}
	}
	return cleared
}

// Release clears a part of all crashes, as if a request with it had been answered now. It reports
// whether there were any.
func (q *PartQuarantine) Release(now time.Time, part PromptPart) bool {
	return q.markSound(now, part, now)
}

// Hold says because of which part a request must not be sent, and until when.
type Hold struct {
	Part  PromptPart
	Until time.Time
}

// Check returns why a request must not be sent now, and whether it must not. After a part's
// quarantine it lets single requests through, one at a time, to try whether endpoints still crash;
// tried are the parts that this one begins to try. rank is this box's place in the order in which the
// boxes may try a part, from 0.
func (q *PartQuarantine) Check(now time.Time, prompt Prompt, rank func(PromptPart) int) (hold Hold, held bool, tried []PromptPart) {
	var due []PromptPart
	for _, id := range prompt.Parts {
		part := prompt.part(id)
		r := q.suspects[part]
		if r == nil {
			continue
		}
		unexplained := q.unexplained(r, prompt)
		if unexplained == 0 {
			continue
		}
		until := q.quarantineEnd(r, unexplained)
		if q.isTrialDue(now, r, until, prompt.Content, func() int { return rank(part) }) {
			due = append(due, part)
			continue
		}
		if until = latest(until, now.Add(q.rules.TrialInterval)); until.After(hold.Until) {
			hold = Hold{
				Part:  part,
				Until: until,
			}
		}
	}
	if !hold.Until.IsZero() {
		return hold, true, nil
	}
	for _, part := range due {
		r := q.suspects[part]
		if r.trialRequest != prompt.Content || now.Sub(r.trialAt) >= q.rules.TrialTimeout {
			r.trialRequest = prompt.Content
			r.trialAt = now
			tried = append(tried, part)
		}
	}
	return Hold{}, false, tried
}

// unexplained returns the number of crashes of a part that other parts, which a prompt doesn't have,
// don't explain: the one that was there at most of them, or all suspected ones together. If there are
// none, the part may be sound, and a request without those other parts tells.
func (q *PartQuarantine) unexplained(r *partHistory, prompt Prompt) int {
	least := len(r.crashes)
	for part, other := range q.repeated {
		if !prompt.has(part) {
			least = min(least, r.countWithout([]*partHistory{other}))
		}
	}
	var suspects []*partHistory
	for part, other := range q.suspects {
		if !prompt.has(part) {
			suspects = append(suspects, other)
		}
	}
	return min(least, r.countWithout(suspects))
}

// countWithout returns the number of crashes at which none of some other parts was there.
func (r *partHistory) countWithout(others []*partHistory) int {
	count := 0
	for endpoint := range r.crashes {
		if !slices.ContainsFunc(others, func(other *partHistory) bool { return other.hasCrash(endpoint) }) {
			count++
		}
	}
	return count
}

func (r *partHistory) hasCrash(endpoint string) bool {
	_, ok := r.crashes[endpoint]
	return ok
}

// isTrialDue reports whether a request may be sent to try a part after its quarantine.
func (q *PartQuarantine) isTrialDue(now time.Time, r *partHistory, until time.Time, request Digest, rank func() int) bool {
	if now.Before(until) {
		return false
	}
	if now.Sub(r.trialAt) < q.rules.TrialTimeout {
		return r.trialRequest == request
	}
	return now.Sub(until) >= time.Duration(rank())*q.rules.TrialInterval
}

// quarantineEnd returns when the quarantine of a suspected part with a number of unexplained crashes
// ends.
func (q *PartQuarantine) quarantineEnd(r *partHistory, unexplained int) time.Time {
	if unexplained < q.rules.ProofThreshold {
		return r.lastCrash.Add(q.rules.UnprovenDuration)
	}
	d := q.rules.Duration
	crashes := r.sortedCrashes()
	for i := 1; i < len(crashes) && d < q.rules.MaxDuration; i++ {
		if crashes[i].at.Sub(crashes[i-1].at) >= q.rules.Duration {
			d *= 2 // a trial failed
		}
	}
	return r.lastCrash.Add(min(d, q.rules.MaxDuration))
}

// sortedCrashes returns the crashes, earliest first.
func (r *partHistory) sortedCrashes() []partCrash {
	return slices.SortedFunc(maps.Values(r.crashes), func(a, b partCrash) int { return a.at.Compare(b.at) })
}

// SuspectedPart is a part that requests are held back for, or tried with.
type SuspectedPart struct {
	Part     PromptPart
	Crashed  []string  // endpoints that crashed, sorted
	Requests int       // number of different requests at which they did
	Until    time.Time // end of the quarantine; requests are tried after it
}

// Suspects returns the suspected parts, those with the latest crashes first.
func (q *PartQuarantine) Suspects() []SuspectedPart {
	parts := slices.SortedFunc(maps.Keys(q.suspects), func(a, b PromptPart) int {
		return cmp.Or(q.suspects[b].lastCrash.Compare(q.suspects[a].lastCrash), comparePromptParts(a, b))
	})
	all := make([]SuspectedPart, 0, len(parts))
	for _, part := range parts {
		if s, ok := q.Lookup(part); ok {
			all = append(all, s)
		}
	}
	return all
}

// Lookup returns what is known of a part with crashes. Until is zero if it isn't suspected.
func (q *PartQuarantine) Lookup(part PromptPart) (SuspectedPart, bool) {
	r := q.records[part]
	if r == nil {
		return SuspectedPart{}, false
	}
	s := SuspectedPart{
		Part:     part,
		Crashed:  slices.Sorted(maps.Keys(r.crashes)),
		Requests: r.requestCount(),
	}
	if q.suspects[part] != nil {
		s.Until = q.quarantineEnd(r, q.unexplained(r, Prompt{
			Service: part.Service,
			Parts:   []PartID{part.ID},
		}))
	}
	return s, true
}

func comparePromptParts(a, b PromptPart) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
