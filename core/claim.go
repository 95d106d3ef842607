package core

import (
	"time"
)

// ClaimKey identifies one request that may run at most once.
type ClaimKey struct {
	Customer string
	Key      string
}

// ClaimState is the state of one claim at its owner.
type ClaimState string

// A claim is granted to one attempt, then settled as ran, not run or unknown.
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

// ClaimRecord is a claim owner's record of one key.
type ClaimRecord struct {
	Key       ClaimKey
	State     ClaimState
	Attempt   string        // the attempt that holds or held the grant
	Asker     Box           // the process that the key was granted to
	Status    int           // HTTP status of the kept response; 0 if none is kept
	Response  []byte        // the kept response, or the ID of the request if none is kept
	SettleAt  time.Duration // age of the record since its last change, in a handover
	changedAt time.Time
}

// ClaimVerdict is a claim owner's answer to a claim.
type ClaimVerdict string

// The answers to a claim; only granted permits a send.
const (
	VerdictGranted  ClaimVerdict = "granted"
	VerdictInFlight ClaimVerdict = "in-flight"
	VerdictRan      ClaimVerdict = "ran"
	VerdictUnknown  ClaimVerdict = "unknown"
	VerdictNotOwner ClaimVerdict = "not-home" // another box owns the key
	VerdictNotYet   ClaimVerdict = "not-yet"  // can't be decided now; ask again
)

// ClaimOwner holds the claims of the keys that one box owns, so that each key is
// granted to at most one attempt at a time and never again once it has run. The
// owner of a key is chosen from the box list by rendezvous hashing. When the list
// changes, the previous owners send their records to the new ones in handovers;
// until then the new owner doesn't grant keys that a previous one may have granted.
type ClaimOwner struct {
	self      Box
	rules     ClaimRules
	started   time.Time
	snapshot  ListSnapshot
	takeover  takeoverState
	records   map[ClaimKey]*ClaimRecord
	retired   bool // the box is stopping; nothing is granted
	guards    Guards
	lastSweep time.Time
}

// NewClaimOwner returns a claim owner without records.
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

// Step applies an event and returns the commands to carry out.
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

// Self returns the box and process that this claim owner runs in.
func (o *ClaimOwner) Self() Box { return o.self }

// Len returns the number of records.
func (o *ClaimOwner) Len() int { return len(o.records) }

// Open returns the number of claims that were granted and not settled.
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

// ClaimScope returns the string that is hashed to find a key's owner.
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
		return o.reply(e, VerdictGranted, nil) // a repeated request; each attempt sends only once
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
	answer := ClaimAnswered{
		Attempt:    e.Attempt,
		Verdict:    verdict,
		ClaimOwner: o.self,
	}
	if verdict == VerdictGranted {
		answer.ValidFor = o.rules.GrantTTL
	}
	if r != nil {
		answer.Status = r.Status
		answer.Response = r.Response
	}
	return []Command{answer}
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

// handleBoxLost marks the open claims of a lost process as unknown, since it may
// have sent the requests.
func (o *ClaimOwner) handleBoxLost(now time.Time, e BoxLost) {
	for _, r := range o.records {
		if r.State == ClaimGranted && r.Asker.Name == e.Box.Name && r.Asker.Incarnation <= e.Box.Incarnation {
			_ = claimLifecycle.Fire(&r.State, claimLose)
			r.changedAt = now
		}
	}
}

// sweep removes settled records that are older than the retention time.
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
