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
	Key       ClaimKey
	State     ClaimState
	Attempt   string
	Asker     Box
	Status    int
	Response  []byte
	SettleAt  time.Duration // age of the record since its last change
	changedAt time.Time
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
	snapshot  Reading
	takeover  takeoverState
	records   map[ClaimKey]*ClaimRecord
	retired   bool
	guards    Guards
	lastSweep time.Time
}

// NewClaimOwner starts with empty memory.
func NewClaimOwner(self Box, rules ClaimRules, now time.Time, options ...Option) *ClaimOwner {
	return &ClaimOwner{
		self:     self,
		rules:    rules,
		started:  now,
		takeover: newTakeoverState(),
		records:  make(map[ClaimKey]*ClaimRecord),
		guards:   newGuards(options),
	}
}

// Step applies one event.
func (o *ClaimOwner) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case ListAdopted:
		return o.handleListAdopted(now, e)
	case ListConfirmed:
		o.handleListConfirmed(e)
	case ClaimAsked:
		return o.handleClaim(now, e)
	case ClaimSettled:
		o.handleSettled(now, e)
	case BoxLost:
		o.handleBoxLost(now, e)
	case ClaimGuardSet:
		o.rules.Guard = max(e.Guard, o.rules.minGuard())
	case HandoverAsked:
		return o.handleHandoverAsked(now, e)
	case HandoverArrived:
		o.handleHandoverArrived(now, e)
	case HandoverDue:
		return o.requestHandovers(now)
	case Retire:
		return o.handOverAll(now)
	}
	return nil
}

// Self gives the life of the box that this home is on.
func (o *ClaimOwner) Self() Box { return o.self }

// Len gives the number of records held.
func (o *ClaimOwner) Len() int { return len(o.records) }

// Open counts the claims that were granted and not settled.
func (o *ClaimOwner) Open() int {
	open := 0
	for _, r := range o.records {
		if r.State == ClaimGranted {
			open++
		}
	}
	return open
}

func (o *ClaimOwner) handleListConfirmed(e ListConfirmed) {
	if o.snapshot.List != nil && e.Version == o.snapshot.List.Version && e.At.After(o.snapshot.ConfirmedAt) {
		o.snapshot.ConfirmedAt = e.At
	}
}

func (o *ClaimOwner) handleClaim(now time.Time, e ClaimAsked) []Command {
	if o.snapshot.List == nil {
		return o.reply(e, VerdictNotYet, nil)
	}
	if e.ListVersion > o.snapshot.List.Version {
		return append(o.reply(e, VerdictNotYet, nil), ListWanted{Version: e.ListVersion})
	}
	if e.HomeKnown != 0 && e.HomeKnown != o.self.Incarnation {
		o.markRestarted()
	}
	if r := o.records[e.Key]; r != nil && r.State != ClaimNotRun {
		return o.replyFromRecord(e, r)
	}
	if o.retired || o.snapshot.List.ClaimOwner(ClaimScope(e.Key), nil) != o.self.Name {
		return o.reply(e, VerdictNotOwner, nil)
	}
	if !o.snapshot.Fresh(now, o.rules.Fresh) && o.guards.enabled(GuardClaimFresh) {
		return o.reply(e, VerdictNotYet, nil)
	}
	switch o.checkPriorGrants(now, &e) {
	case priorGrantsPossible:
		return o.reply(e, VerdictUnknown, nil)
	case priorGrantsPending:
		return o.reply(e, VerdictNotYet, nil)
	}
	return o.grant(now, e)
}

// ClaimScope is the text by which a key's home is found.
func ClaimScope(key ClaimKey) string { return key.Customer + "\x00" + key.Key }

func (o *ClaimOwner) replyFromRecord(e ClaimAsked, r *ClaimRecord) []Command {
	if !o.guards.enabled(GuardClaimRecord) {
		return o.reply(e, VerdictGranted, nil)
	}
	switch r.State {
	case ClaimRan:
		return o.reply(e, VerdictRan, r)
	case ClaimUnknown:
		return o.reply(e, VerdictUnknown, nil)
	}
	if r.Attempt == e.Attempt {
		return o.reply(e, VerdictGranted, nil) // its first answer was lost; an attempt sends once
	}
	return o.reply(e, VerdictInFlight, nil)
}

func (o *ClaimOwner) grant(now time.Time, e ClaimAsked) []Command {
	r := o.records[e.Key]
	if r == nil {
		r = &ClaimRecord{
			Key:   e.Key,
			State: ClaimNotRun,
		}
		o.records[e.Key] = r
	}
	_ = claimLifecycle.Fire(&r.State, claimGrant)
	r.Attempt = e.Attempt
	r.Asker = e.Asker
	r.changedAt = now
	return o.reply(e, VerdictGranted, nil)
}

func (o *ClaimOwner) reply(e ClaimAsked, verdict ClaimVerdict, r *ClaimRecord) []Command {
	a := ClaimAnswered{
		Attempt:    e.Attempt,
		Verdict:    verdict,
		ClaimOwner: o.self,
	}
	if verdict == VerdictGranted {
		a.ValidFor = o.rules.GrantTTL
	}
	if r != nil {
		a.Status = r.Status
		a.Response = r.Response
	}
	return []Command{a}
}

func (o *ClaimOwner) handleSettled(now time.Time, e ClaimSettled) {
	r := o.records[e.Key]
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
	r.changedAt = now
}

// handleBoxLost turns what a lost entry held into unknown: it may have sent.
func (o *ClaimOwner) handleBoxLost(now time.Time, e BoxLost) {
	for _, r := range o.records {
		if r.State == ClaimGranted && r.Asker.Name == e.Box.Name && r.Asker.Incarnation <= e.Box.Incarnation {
			_ = claimLifecycle.Fire(&r.State, claimLose)
			r.changedAt = now
		}
	}
}

// sweep forgets records older than the retention time; a granted one stays.
func (o *ClaimOwner) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < o.rules.Retention/60 {
		return
	}
	o.lastSweep = now
	for key, r := range o.records {
		if r.State != ClaimGranted && now.Sub(r.changedAt) > o.rules.Retention {
			delete(o.records, key)
		}
	}
}
