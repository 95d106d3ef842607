package core

import (
	"time"
)

// ListAdopted tells that a higher list version is in use on this box.
type ListAdopted struct {
	EventBase
	List *List
	At   time.Time
}

// ListConfirmed tells that the list in use was the newest at a moment.
type ListConfirmed struct {
	EventBase
	Version uint64
	At      time.Time
}

// ClaimAsked tells that an entry wants to run a key.
type ClaimAsked struct {
	EventBase
	Key         ClaimKey
	Attempt     string
	Asker       Box
	ListVersion uint64
	HomeKnown   Incarnation
	Timed       bool // the key carries the time at which it was made
	KeyAge      time.Duration
}

// ClaimSettled tells how a granted attempt ended.
type ClaimSettled struct {
	EventBase
	Key      ClaimKey
	Attempt  string
	Outcome  Outcome
	Status   int
	Response []byte
}

// BoxLost tells that a life of a box has ended.
type BoxLost struct {
	EventBase
	Box Box
}

// ClaimGuardSet tells the guard time that the configuration gives.
type ClaimGuardSet struct {
	EventBase
	Guard time.Duration
}

// ClaimAnswered asks the shell to answer a claim.
type ClaimAnswered struct {
	CommandBase
	Attempt    string
	Verdict    ClaimVerdict
	Status     int
	Response   []byte
	ValidFor   time.Duration
	ClaimOwner Box
}

// ListWanted asks the shell to fetch a newer list.
type ListWanted struct {
	CommandBase
	Version uint64
}
