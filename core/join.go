package core

import "time"

// JoinState is the state of a box that starts.
type JoinState string

// A starting box queries its peers, then serves.
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

// JoinRules limit how long a starting box waits for its peers.
type JoinRules struct {
	Timeout time.Duration
}

// PeersListed reports the peers that a starting box queries.
type PeersListed struct {
	EventBase
	Boxes []string
}

// PeerAnswered reports that a peer sent its active versions. The shell has passed
// them to Versions before.
type PeerAnswered struct {
	EventBase
	Box string
}

// PeerUnreachable reports that a peer can't be reached or didn't answer.
type PeerUnreachable struct {
	EventBase
	Box string
}

// JoinTicked reports that time has passed.
type JoinTicked struct{ EventBase }

// Join decides when a starting box may serve. It first waits for its peers' active
// versions, since the platform may be down or serve an older state.
type Join struct {
	State       JoinState
	started     time.Time
	pending     map[string]bool
	peersListed bool
	rules       JoinRules
	guards      Guards
}

// NewJoin returns a Join that waits for its peers.
func NewJoin(now time.Time, rules JoinRules, options ...Option) *Join {
	return &Join{
		State:   JoinQuerying,
		started: now,
		pending: make(map[string]bool),
		rules:   rules,
		guards:  newGuards(options),
	}
}

// Step applies an event.
func (j *Join) Step(now time.Time, ev Event) []Command {
	switch e := ev.(type) {
	case PeersListed:
		j.peersListed = true
		for _, box := range e.Boxes {
			j.pending[box] = true
		}
	case PeerAnswered:
		delete(j.pending, e.Box)
	case PeerUnreachable:
		delete(j.pending, e.Box)
	}
	waiting := now.Sub(j.started) < j.rules.Timeout
	if waiting && j.guards.enabled(GuardVersionQuery) && (!j.peersListed || len(j.pending) > 0) {
		return nil
	}
	_ = joinLifecycle.Fire(&j.State, joinAnswered)
	return nil
}

// Clone returns an independent copy for the model checker.
func (j *Join) Clone() *Join {
	copied := *j
	copied.pending = make(map[string]bool, len(j.pending))
	for box := range j.pending {
		copied.pending[box] = true
	}
	return &copied
}
