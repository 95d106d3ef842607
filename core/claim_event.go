package core

import (
	"time"
)

// ListAdopted reports that the box switched to a newer box list.
type ListAdopted struct {
	EventBase
	List *List
	At   time.Time
}

// ListConfirmed reports that the list in use was the newest one at a given time.
type ListConfirmed struct {
	EventBase
	Version uint64
	At      time.Time
}

// ClaimAsked reports that a box wants to run the request of a key.
type ClaimAsked struct {
	EventBase
	Key         ClaimKey
	Attempt     string
	Asker       Box
	ListVersion uint64
	HomeKnown   Incarnation // the claim owner's incarnation as last seen by the asker; 0 if none
	Timed       bool        // the key contains its creation time
	KeyAge      time.Duration
}

// ClaimSettled reports the outcome of a granted attempt.
type ClaimSettled struct {
	EventBase
	Key      ClaimKey
	Attempt  string
	Outcome  Outcome
	Status   int
	Response []byte
}

// BoxLost reports that a process of a box has ended.
type BoxLost struct {
	EventBase
	Box Box
}

// ClaimGuardSet reports the guard time from the configuration.
type ClaimGuardSet struct {
	EventBase
	Guard time.Duration
}

// ClaimAnswered asks the shell to send the answer to a claim.
type ClaimAnswered struct {
	CommandBase
	Attempt    string
	Verdict    ClaimVerdict
	Status     int
	Response   []byte
	ValidFor   time.Duration // how long a grant may be used
	ClaimOwner Box           // the box and process that answers
}

// ListWanted asks the shell to fetch a newer box list.
type ListWanted struct {
	CommandBase
	Version uint64
}
