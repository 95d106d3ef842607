package core

import "time"

// JoinState is the state of a starting box.
type JoinState string

// A starting box asks its peers, then serves.
const (
	JoinQuerying JoinState = "asking"
	JoinServing  JoinState = "serving"
)

type joinTrigger string

const joinAnswered joinTrigger = "answered"

var joinLifecycle = NewLifecycle(map[JoinState]map[joinTrigger]JoinState{
	JoinQuerying: {joinAnswered: JoinServing},
	JoinServing:  {joinAnswered: JoinServing},
})

// JoinRules bound how long a starting box asks.
type JoinRules struct {
	Timeout time.Duration
}

// PeersListed tells whom a starting box can ask.
type PeersListed struct {
	EventBase
	Boxes []string
}

// PeerAnswered tells that a peer said what it has in force; what it has was
// offered to the versions before.
type PeerAnswered struct {
	EventBase
	Box string
}

// PeerUnreachable tells that a peer can't be reached or didn't answer.
type PeerUnreachable struct {
	EventBase
	Box string
}

// JoinTicked tells that time has passed.
type JoinTicked struct{ EventBase }

// Join decides when a starting box may serve: after its peers said what they
// have in force, since the platform may be down or show an older state.
type Join struct {
	State   JoinState
	started time.Time
	waiting map[string]bool
	named   bool
	rules   JoinRules
	guards  Guards
}

// NewJoin starts to ask.
func NewJoin(now time.Time, rules JoinRules, options ...Option) *Join {
	return &Join{
		State:   JoinQuerying,
		started: now,
		waiting: make(map[string]bool),
		rules:   rules,
		guards:  newGuards(options),
	}
}

// Step applies one event.
func (j *Join) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case PeersListed:
		j.named = true
		for _, box := range e.Boxes {
			j.waiting[box] = true
		}
	case PeerAnswered:
		delete(j.waiting, e.Box)
	case PeerUnreachable:
		delete(j.waiting, e.Box)
	}
	patient := now.Sub(j.started) < j.rules.Timeout
	if patient && j.guards.on(GuardVersionQuery) && (!j.named || len(j.waiting) > 0) {
		return nil
	}
	_ = joinLifecycle.Fire(&j.State, joinAnswered)
	return nil
}

// Clone copies the state.
func (j *Join) Clone() *Join {
	copied := *j
	copied.waiting = make(map[string]bool, len(j.waiting))
	for box := range j.waiting {
		copied.waiting[box] = true
	}
	return &copied
}
