package model

import (
	"fmt"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// ClaimScenario says which lists the platform publishes, one after another.
type ClaimScenario string

// The scenarios of the specification of claims.
const (
	HomeLeaves  ClaimScenario = "home-leaves"  // the home of the key goes off the list
	HomeReturns ClaimScenario = "home-returns" // and comes back on it
	HomeJoins   ClaimScenario = "home-joins"   // a new box becomes the key's home
	HomeStops   ClaimScenario = "home-stops"   // the home is stopped as planned, then goes off the list
	SameList    ClaimScenario = "same-list"
)

// ClaimRules are the bounds of the specification of claims.
type ClaimRules struct {
	Scenario ClaimScenario
	Boxes    []int // at which callers send requests; keys come in turn
	Keys     int
	Faults   int
	Time     int
	Timed    bool // keys carry their time; if not, repeats come within the guard time
	Options  []core.Option
}

// claimTimes are the core's bounds in units of the specification's time.
func claimTimes() core.ClaimRules {
	return core.ClaimRules{
		Guard:     3 * unit,
		Fresh:     1 * unit,
		GrantTTL:  1 * unit,
		Retention: 100 * unit,
	}
}

type requestState string

const (
	requestIdle    requestState = "idle"
	requestAsking  requestState = "asking"
	requestGranted requestState = "granted"
	requestSent    requestState = "sent"
	requestNotRun  requestState = "told-not-run"
	requestUnknown requestState = "told-unknown"
)

// claimRequest is one caller's request through one box's entry.
type claimRequest struct {
	key   core.ClaimKey
	box   int
	state requestState
	asked int
	until int
	ran   bool
}

func (r *claimRequest) attempt(i int) string { return fmt.Sprintf("a%d", i) }

type claimMessageKind string

const (
	messageAsk    claimMessageKind = "ask"
	messageAnswer claimMessageKind = "answer"
)

// claimMessage is a message between an entry and a home.
type claimMessage struct {
	kind    claimMessageKind
	request int
	home    int
	list    uint64
	known   core.Incarnation
	verdict core.ClaimVerdict
	life    core.Incarnation
}

type claimBox struct {
	home        *core.ClaimOwner // nil while the process is dead
	incarnation core.Incarnation
	list        int // index of the list in use, -1 for none
	cut         bool
	paused      bool
	stopping    bool
	known       [len(boxNames)]core.Incarnation // homes' lives that its entry met
}

type claimState struct {
	rules     *ClaimRules
	lists     []*core.List
	published int
	now       int
	faults    int
	boxes     [len(boxNames)]claimBox
	requests  []claimRequest
	net       []claimMessage
	effects   []int
	made      []int // when each key was first used, -1 before
}

// The boxes of the specification: the first is the keys' home, the second its
// successor; the third only vouches and carries callers, and follows the list
// at each step of time.
const (
	boxHome = iota
	boxSuccessor
	boxThird
)

// Claims gives the first state of the specification of requests that may run at
// most once.
func Claims(rules ClaimRules) State {
	s := &claimState{
		rules:   &rules,
		faults:  rules.Faults,
		effects: make([]int, rules.Keys),
		made:    slices.Repeat([]int{-1}, rules.Keys),
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
	s.handovers() // all tell what they met
	s.handovers() // all are settled now and say so
	s.now = bootTime
	s.tick()
	return s
}

// bootTime is when the fleet is no longer young.
const bootTime = 1

// claimKeys gives keys whose home is box-a while it is listed.
func claimKeys(n int) []core.ClaimKey {
	all := listOf(1, 0, boxNames[:]...)
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

func claimLists(scenario ClaimScenario) []*core.List {
	all := listOf(1, 0, boxNames[:]...)
	switch scenario {
	case HomeLeaves, HomeStops:
		return []*core.List{all, listOf(2, unit, boxNames[1:]...)}
	case HomeReturns:
		return []*core.List{all, listOf(2, unit, boxNames[1:]...), listOf(3, 2*unit, boxNames[:]...)}
	case HomeJoins:
		return []*core.List{listOf(1, 0, boxNames[1:]...), listOf(2, unit, boxNames[:]...)}
	}
	return []*core.List{all}
}

// startBox starts a life of a box with the newest published list.
func (s *claimState) startBox(i int) {
	b := &s.boxes[i]
	b.incarnation++
	b.home = core.NewClaimOwner(core.Box{
		Name:        boxNames[i],
		Incarnation: b.incarnation,
	}, claimTimes(), at(s.now), s.rules.Options...)
	b.list = -1
	b.known = [len(boxNames)]core.Incarnation{}
	s.adopt(i, s.published)
}

func (s *claimState) adopt(i, list int) {
	b := &s.boxes[i]
	b.list = list
	published := *s.lists[list]
	published.Age = time.Duration(s.now) * unit
	b.home.Step(at(s.now), core.ListAdopted{
		List: &published,
		At:   at(s.now),
	})
}

func (s *claimState) reachable(i, j int) bool {
	a, b := &s.boxes[i], &s.boxes[j]
	if a.home == nil || b.home == nil || a.paused || b.paused {
		return false
	}
	return i == j || !a.cut && !b.cut
}

// handovers lets each box that can reach another take what it hands over.
func (s *claimState) handovers() {
	for i := range s.boxes {
		b := &s.boxes[i]
		if b.home == nil || b.paused {
			continue
		}
		for _, command := range b.home.Step(at(s.now), core.HandoverDue{}) {
			if wanted, ok := command.(core.HandoverWanted); ok {
				s.handover(slices.Index(boxNames[:], wanted.From), i, wanted.ListVersion)
			}
		}
	}
}

func (s *claimState) handover(from, to int, version uint64) {
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
	for _, command := range s.boxes[from].home.Step(at(s.now), asked) {
		if sent, ok := command.(core.HandoverSent); ok {
			s.boxes[to].home.Step(at(s.now), core.HandoverArrived{Handover: sent.Handover})
		}
	}
}

func (s *claimState) clone() *claimState {
	copied := *s
	copied.requests = slices.Clone(s.requests)
	copied.net = slices.Clone(s.net)
	copied.effects = slices.Clone(s.effects)
	copied.made = slices.Clone(s.made)
	for i := range copied.boxes {
		if copied.boxes[i].home != nil {
			copied.boxes[i].home = copied.boxes[i].home.Clone()
		}
	}
	return &copied
}

// Key writes what decides the later states. Messages are a set.
func (s *claimState) Key() string {
	b := fmt.Appendf(nil, "%d;%d;%d;%v;%v;%v;", s.now, s.faults, s.published, s.requests, s.effects, s.made)
	texts := make([]string, 0, len(s.net))
	for _, m := range s.net {
		texts = append(texts, fmt.Sprint(m))
	}
	slices.Sort(texts)
	b = fmt.Appendf(b, "%v;", texts)
	for i := range s.boxes {
		box := &s.boxes[i]
		b = fmt.Appendf(b, "%d,%d,%v,%v,%v,%v;", box.incarnation, box.list, box.cut, box.paused, box.stopping, box.known)
		if box.home != nil {
			b = box.home.Fingerprint(b, at(s.now))
		}
	}
	return string(b)
}

// Next gives every step that callers, entries, homes, the platform, time and
// faults can take.
func (s *claimState) Next() []Transition {
	return collect(s, s.steps)
}

// steps adds each of them.
func (s *claimState) steps(add func(string, func(*claimState))) {
	for i := range s.requests {
		s.nextRequest(i, add)
	}
	for m := range s.net {
		s.nextMessage(m, add)
	}
	s.nextPlatform(add)
	s.nextRecovery(add)
	if s.faults > 0 {
		s.nextFault(add)
	}
}

type claimAdder func(label string, change func(*claimState))

// Broken checks what is promised of requests that may run at most once.
func (s *claimState) Broken() (string, bool) {
	for key, n := range s.effects {
		if n > 1 {
			return fmt.Sprintf("the request of key %d ran %d times", key, n), true
		}
	}
	for i := range s.requests {
		if s.requests[i].state == requestNotRun && s.requests[i].ran {
			return "a request that was run was told not to have been run", true
		}
	}
	return "", false
}
