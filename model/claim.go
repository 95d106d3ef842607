package model

import (
	"fmt"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// ClaimScenario names the sequence of lists that the platform publishes.
type ClaimScenario string

// The scenarios of the specification of claims.
const (
	OwnerLeaves  ClaimScenario = "home-leaves"  // the key's owner is removed from the list
	OwnerReturns ClaimScenario = "home-returns" // the owner is removed from the list, then added back
	OwnerJoins   ClaimScenario = "home-joins"   // a new box becomes the key's owner
	OwnerStops   ClaimScenario = "home-stops"   // the owner makes a planned stop, then is removed from the list
	SameList     ClaimScenario = "same-list"    // the list stays the same
)

// ClaimRules are the bounds of the specification of claims. A claim is a box's
// exclusive permission to run the request with a given idempotency key; the key's
// owner grants it.
type ClaimRules struct {
	Scenario ClaimScenario
	Boxes    []int // the box that each request is sent to; the keys are assigned round-robin
	Keys     int
	Faults   int
	Time     int
	Timed    bool // keys carry their creation time; if not, repeats arrive within the guard time
	Options  []core.Option
}

// claimTimes returns the core's durations in time steps.
func claimTimes() core.ClaimRules {
	return core.ClaimRules{
		Guard:     3 * timeStep,
		Fresh:     1 * timeStep,
		GrantTTL:  1 * timeStep,
		Retention: 100 * timeStep,
	}
}

// requestState is the progress of a request, as its entry sees it.
type requestState string

const (
	requestIdle    requestState = "idle"
	requestAsking  requestState = "asking"
	requestGranted requestState = "granted"
	requestSent    requestState = "sent"
	requestNotRun  requestState = "not-run"
	requestUnknown requestState = "unknown"
)

// claimRequest is one caller's request to the entry of one box.
type claimRequest struct {
	key          core.ClaimKey
	box          int
	state        requestState
	askedAt      int
	grantedUntil int
	ran          bool
}

func (r *claimRequest) attempt(i int) string { return fmt.Sprintf("a%d", i) }

type claimMessageKind string

const (
	messageAsk    claimMessageKind = "ask"
	messageAnswer claimMessageKind = "answer"
)

// claimMessage is a message between an entry and a claim owner.
type claimMessage struct {
	kind             claimMessageKind
	request          int              // index of the request
	owner            int              // index of the owner's box
	list             uint64           // version of the list that the entry used
	knownIncarnation core.Incarnation // the newest incarnation of the owner known to the entry
	verdict          core.ClaimVerdict
	ownerIncarnation core.Incarnation
}

// claimBox is a box with the claims that it owns and the state of its entry.
type claimBox struct {
	owner            *core.ClaimOwner // nil while the process is not running
	incarnation      core.Incarnation
	list             int  // index of the adopted list, -1 for none
	isCutOff         bool // from the platform and the other boxes
	paused           bool
	stopping         bool
	knownIncarnation [len(boxNames)]core.Incarnation // the newest incarnation of each owner that answered this box's entry
}

// claimState holds the published lists, the boxes, the callers' requests, the delayed
// messages, and the runs of each request.
type claimState struct {
	rules     *ClaimRules
	lists     []*core.List
	published int // index of the newest published list
	now       int
	faults    int
	boxes     [len(boxNames)]claimBox
	requests  []claimRequest
	inFlight  []claimMessage
	effects   []int // how often the request of each key ran
	firstUsed []int // the step at which each key was first used, -1 if it wasn't
}

// The boxes of the specification. The first owns the keys, and the second is its
// successor. The third only vouches for the others and accepts requests; it adopts
// a new list at each time step.
const (
	boxOwner = iota
	boxSuccessor
	boxThird
)

// Claims returns the first state of the specification of requests that may run at
// most once.
func Claims(rules ClaimRules) State {
	s := &claimState{
		rules:     &rules,
		faults:    rules.Faults,
		effects:   make([]int, rules.Keys),
		firstUsed: slices.Repeat([]int{-1}, rules.Keys),
	}
	keys := claimKeys(rules.Keys)
	s.lists = claimLists(rules.Scenario)
	for i, box := range rules.Boxes {
		s.requests = append(s.requests, claimRequest{
			key:   keys[i%rules.Keys],
			box:   box,
			state: requestIdle,
		})
	}
	for i := range s.boxes {
		s.boxes[i].list = -1
		if s.lists[0].Member(boxNames[i]) != nil {
			s.startBox(i)
		}
	}
	s.requestHandovers() // each box reports the incarnations that it has contacted
	s.requestHandovers() // each box reports that its peer discovery has finished
	s.now = bootTime
	s.tick()
	return s
}

// bootTime is the step at which the fleet's startup phase has ended.
const bootTime = 1

// claimKeys returns keys that box-a owns while it is listed.
func claimKeys(n int) []core.ClaimKey {
	all := newList(1, 0, boxNames[:]...)
	var keys []core.ClaimKey
	for i := 0; len(keys) < n; i++ {
		key := core.ClaimKey{
			Customer: "customer",
			Key:      fmt.Sprintf("key-%d", i),
		}
		if all.ClaimOwner(core.ClaimScope(key), nil) == boxNames[0] {
			keys = append(keys, key)
		}
	}
	return keys
}

// claimLists returns the lists that the platform publishes in a scenario.
func claimLists(scenario ClaimScenario) []*core.List {
	all := newList(1, 0, boxNames[:]...)
	switch scenario {
	case OwnerLeaves, OwnerStops:
		return []*core.List{all, newList(2, timeStep, boxNames[1:]...)}
	case OwnerReturns:
		return []*core.List{all, newList(2, timeStep, boxNames[1:]...), newList(3, 2*timeStep, boxNames[:]...)}
	case OwnerJoins:
		return []*core.List{newList(1, 0, boxNames[1:]...), newList(2, timeStep, boxNames[:]...)}
	}
	return []*core.List{all}
}

// startBox starts a new incarnation of a box with the newest published list.
func (s *claimState) startBox(i int) {
	b := &s.boxes[i]
	b.incarnation++
	b.owner = core.NewClaimOwner(core.Box{
		Name:        boxNames[i],
		Incarnation: b.incarnation,
	}, claimTimes(), at(s.now), s.rules.Options...)
	b.list = -1
	b.knownIncarnation = [len(boxNames)]core.Incarnation{}
	s.adopt(i, s.published)
}

// adopt makes a box adopt a published list, given by its index.
func (s *claimState) adopt(i, list int) {
	b := &s.boxes[i]
	b.list = list
	published := *s.lists[list]
	published.Age = time.Duration(s.now) * timeStep
	b.owner.Step(at(s.now), core.ListAdopted{
		List: &published,
		At:   at(s.now),
	})
}

// reachable reports whether messages pass between two boxes.
func (s *claimState) reachable(i, j int) bool {
	a, b := &s.boxes[i], &s.boxes[j]
	if a.owner == nil || b.owner == nil || a.paused || b.paused {
		return false
	}
	return i == j || !a.isCutOff && !b.isCutOff
}

// requestHandovers lets every running box request the handovers that it needs from
// the boxes that it can reach.
func (s *claimState) requestHandovers() {
	for i := range s.boxes {
		b := &s.boxes[i]
		if b.owner == nil || b.paused {
			continue
		}
		for _, command := range b.owner.Step(at(s.now), core.HandoverDue{}) {
			if wanted, ok := command.(core.HandoverWanted); ok {
				s.transferClaims(slices.Index(boxNames[:], wanted.From), i, wanted.ListVersion)
			}
		}
	}
}

// transferClaims sends the claims that one box hands over to another.
func (s *claimState) transferClaims(from, to int, version uint64) {
	if !s.reachable(from, to) {
		return
	}
	asked := core.HandoverAsked{
		From: core.Box{
			Name:        boxNames[to],
			Incarnation: s.boxes[to].incarnation,
		},
		ListVersion: version,
	}
	for _, command := range s.boxes[from].owner.Step(at(s.now), asked) {
		if sent, ok := command.(core.HandoverSent); ok {
			s.boxes[to].owner.Step(at(s.now), core.HandoverArrived{Handover: sent.Handover})
		}
	}
}

func (s *claimState) clone() *claimState {
	copied := *s
	copied.requests = slices.Clone(s.requests)
	copied.inFlight = slices.Clone(s.inFlight)
	copied.effects = slices.Clone(s.effects)
	copied.firstUsed = slices.Clone(s.firstUsed)
	for i := range copied.boxes {
		if copied.boxes[i].owner != nil {
			copied.boxes[i].owner = copied.boxes[i].owner.Clone()
		}
	}
	return &copied
}

// Key encodes everything that the later states depend on. The order of messages
// doesn't matter.
func (s *claimState) Key() string {
	b := fmt.Appendf(nil, "%d;%d;%d;%v;%v;%v;", s.now, s.faults, s.published, s.requests, s.effects, s.firstUsed)
	texts := make([]string, 0, len(s.inFlight))
	for _, m := range s.inFlight {
		texts = append(texts, fmt.Sprint(m))
	}
	slices.Sort(texts)
	b = fmt.Appendf(b, "%v;", texts)
	for i := range s.boxes {
		box := &s.boxes[i]
		b = fmt.Appendf(b, "%d,%d,%v,%v,%v,%v;", box.incarnation, box.list, box.isCutOff, box.paused, box.stopping, box.knownIncarnation)
		if box.owner != nil {
			b = box.owner.Fingerprint(b, at(s.now))
		}
	}
	return string(b)
}

// Next returns the steps of callers, entries, owners, the platform, time and
// faults.
func (s *claimState) Next() []Transition {
	return collectTransitions(s, s.addSteps)
}

func (s *claimState) addSteps(add func(string, func(*claimState))) {
	for i := range s.requests {
		s.addRequestSteps(i, add)
	}
	for m := range s.inFlight {
		s.addMessageSteps(m, add)
	}
	s.addPlatformSteps(add)
	s.addRecoverySteps(add)
	if s.faults > 0 {
		s.addFaults(add)
	}
}

// claimAdder adds a transition that changes a copy of the state.
type claimAdder func(label string, change func(*claimState))

// FindViolation reports a broken promise about requests that may run at most once.
func (s *claimState) FindViolation() (string, bool) {
	for key, n := range s.effects {
		if n > 1 {
			return fmt.Sprintf("the request of key %d ran %d times", key, n), true
		}
	}
	for i := range s.requests {
		if s.requests[i].state == requestNotRun && s.requests[i].ran {
			return "a request that ran was reported as not run", true
		}
	}
	return "", false
}
