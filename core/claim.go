package core

import (
	"time"
)

// ClaimKey names one request that may run at most once.
type ClaimKey struct {
	Customer string
	Key      string
}

// ClaimState is the state of one claim at its home.
type ClaimState string

// A claim is granted, then settled as run, not run or unknown.
const (
	ClaimGranted ClaimState = "granted"
	ClaimRan     ClaimState = "ran"
	ClaimNotRun  ClaimState = "not-run"
	ClaimUnknown ClaimState = "unknown"
)

type claimTrigger string

const (
	claimGrant  claimTrigger = "grant"
	claimFinish claimTrigger = "finish"
	claimFree   claimTrigger = "free"
	claimLose   claimTrigger = "lose"
)

var claimLifecycle = NewLifecycle(map[ClaimState]map[claimTrigger]ClaimState{
	ClaimNotRun: {claimGrant: ClaimGranted},
	ClaimGranted: {
		claimFinish: ClaimRan,
		claimFree:   ClaimNotRun,
		claimLose:   ClaimUnknown,
	},
	ClaimUnknown: {claimFinish: ClaimRan},
})

// ClaimRecord is what a home knows of one key.
type ClaimRecord struct {
	Key      ClaimKey
	State    ClaimState
	Attempt  string
	Asker    Box
	Status   int
	Response []byte
	SettleAt time.Duration // age of the record since its last change
	changed  time.Time
}

// ClaimVerdict is a home's answer to a claim.
type ClaimVerdict string

// The answers to a claim; only granted permits a send.
const (
	VerdictGranted  ClaimVerdict = "granted"
	VerdictInFlight ClaimVerdict = "in-flight"
	VerdictRan      ClaimVerdict = "ran"
	VerdictUnknown  ClaimVerdict = "unknown"
	VerdictNotOwner ClaimVerdict = "not-home"
	VerdictNotYet   ClaimVerdict = "not-yet"
)

// ClaimOwner keeps the claims whose keys belong to one box.
type ClaimOwner struct {
	self      Box
	rules     ClaimRules
	started   time.Time
	reading   ListSnapshot
	take      takeover
	records   map[ClaimKey]*ClaimRecord
	retired   bool
	guards    Guards
	lastSweep time.Time
}

// NewClaimOwner starts with empty memory.
func NewClaimOwner(self Box, rules ClaimRules, now time.Time, options ...Option) *ClaimOwner {
	return &ClaimOwner{
		self:    self,
		rules:   rules,
		started: now,
		take:    newTakeover(),
		records: make(map[ClaimKey]*ClaimRecord),
		guards:  newGuards(options),
	}
}

// Step applies one event.
func (h *ClaimOwner) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case ListAdopted:
		return h.adopted(now, e)
	case ListConfirmed:
		h.confirmed(e)
	case ClaimAsked:
		return h.asked(now, e)
	case ClaimSettled:
		h.settled(now, e)
	case BoxLost:
		h.boxLost(now, e)
	case ClaimGuardSet:
		h.rules.Guard = max(e.Guard, h.rules.leastGuard())
	case HandoverAsked:
		return h.handoverAsked(now, e)
	case HandoverArrived:
		h.handoverArrived(now, e)
	case HandoverDue:
		return h.handoverDue(now)
	case Retire:
		return h.retire(now)
	}
	return nil
}

// Self gives the life of the box that this home is on.
func (h *ClaimOwner) Self() Box { return h.self }

// Len gives the number of records held.
func (h *ClaimOwner) Len() int { return len(h.records) }

// Open counts the claims that were granted and not settled.
func (h *ClaimOwner) Open() int {
	open := 0
	for _, r := range h.records {
		if r.State == ClaimGranted {
			open++
		}
	}
	return open
}

func (h *ClaimOwner) confirmed(e ListConfirmed) {
	if h.reading.List != nil && e.Version == h.reading.List.Version && e.At.After(h.reading.ConfirmedAt) {
		h.reading.ConfirmedAt = e.At
	}
}

func (h *ClaimOwner) asked(now time.Time, e ClaimAsked) []Command {
	if h.reading.List == nil {
		return h.answer(e, VerdictNotYet, nil)
	}
	if e.ListVersion > h.reading.List.Version {
		return append(h.answer(e, VerdictNotYet, nil), ListWanted{Version: e.ListVersion})
	}
	if e.HomeKnown != 0 && e.HomeKnown != h.self.Incarnation {
		h.restartSeen()
	}
	if r := h.records[e.Key]; r != nil && r.State != ClaimNotRun {
		return h.answerKnown(e, r)
	}
	if h.retired || h.reading.List.ClaimOwner(ClaimScope(e.Key), nil) != h.self.Name {
		return h.answer(e, VerdictNotOwner, nil)
	}
	if !h.reading.Fresh(now, h.rules.Fresh) && h.guards.on(GuardClaimFresh) {
		return h.answer(e, VerdictNotYet, nil)
	}
	switch h.provable(now, &e) {
	case proofMissing:
		return h.answer(e, VerdictUnknown, nil)
	case proofPending:
		return h.answer(e, VerdictNotYet, nil)
	}
	return h.grant(now, e)
}

// ClaimScope is the text by which a key's home is found.
func ClaimScope(key ClaimKey) string { return key.Customer + "\x00" + key.Key }

func (h *ClaimOwner) answerKnown(e ClaimAsked, r *ClaimRecord) []Command {
	if !h.guards.on(GuardClaimRecord) {
		return h.answer(e, VerdictGranted, nil)
	}
	switch r.State {
	case ClaimRan:
		return h.answer(e, VerdictRan, r)
	case ClaimUnknown:
		return h.answer(e, VerdictUnknown, nil)
	}
	if r.Attempt == e.Attempt {
		return h.answer(e, VerdictGranted, nil) // its first answer was lost; an attempt sends once
	}
	return h.answer(e, VerdictInFlight, nil)
}

func (h *ClaimOwner) grant(now time.Time, e ClaimAsked) []Command {
	r := h.records[e.Key]
	if r == nil {
		r = &ClaimRecord{
			Key:   e.Key,
			State: ClaimNotRun,
		}
		h.records[e.Key] = r
	}
	_ = claimLifecycle.Fire(&r.State, claimGrant)
	r.Attempt = e.Attempt
	r.Asker = e.Asker
	r.changed = now
	return h.answer(e, VerdictGranted, nil)
}

func (h *ClaimOwner) answer(e ClaimAsked, verdict ClaimVerdict, r *ClaimRecord) []Command {
	a := ClaimAnswered{
		Attempt:    e.Attempt,
		Verdict:    verdict,
		ClaimOwner: h.self,
	}
	if verdict == VerdictGranted {
		a.ValidFor = h.rules.GrantTTL
	}
	if r != nil {
		a.Status = r.Status
		a.Response = r.Response
	}
	return []Command{a}
}

func (h *ClaimOwner) settled(now time.Time, e ClaimSettled) {
	r := h.records[e.Key]
	if r == nil || r.Attempt != e.Attempt {
		return
	}
	trigger := claimLose
	switch e.Outcome {
	case Ran:
		trigger = claimFinish
	case NotRun:
		trigger = claimFree
	}
	if claimLifecycle.Fire(&r.State, trigger) != nil {
		return
	}
	r.Status = e.Status
	r.Response = e.Response
	r.changed = now
}

// boxLost turns what a lost entry held into unknown: it may have sent.
func (h *ClaimOwner) boxLost(now time.Time, e BoxLost) {
	for _, r := range h.records {
		if r.State == ClaimGranted && r.Asker.Name == e.Box.Name && r.Asker.Incarnation <= e.Box.Incarnation {
			_ = claimLifecycle.Fire(&r.State, claimLose)
			r.changed = now
		}
	}
}

// sweep forgets records older than the retention time; a granted one stays.
func (h *ClaimOwner) sweep(now time.Time) {
	if now.Sub(h.lastSweep) < h.rules.Retention/60 {
		return
	}
	h.lastSweep = now
	for key, r := range h.records {
		if r.State != ClaimGranted && now.Sub(r.changed) > h.rules.Retention {
			delete(h.records, key)
		}
	}
}
