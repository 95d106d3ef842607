package wire

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Subscribe asks a watch for its snapshot and for every later one.
type Subscribe struct{}

// Kind names the message.
func (Subscribe) Kind() string { return "subscribe" }

// Snapshot is what a watch has in force.
type Snapshot struct {
	ConfigVersion uint64        `cbor:"1,keyasint"`
	Config        []byte        `cbor:"2,keyasint,omitempty"`
	List          *core.List    `cbor:"3,keyasint,omitempty"`
	ListAge       time.Duration `cbor:"4,keyasint"` // since the list was confirmed
	Suspected     []string      `cbor:"5,keyasint,omitempty"`
	ListVersion   uint64        `cbor:"6,keyasint"`
}

// Kind names the message.
func (Snapshot) Kind() string { return "snapshot" }

// Heartbeat is what peers tell each other of their versions and of themselves.
type Heartbeat struct {
	From        core.Box      `cbor:"1,keyasint"`
	ListAge     time.Duration `cbor:"2,keyasint"` // since the list was confirmed
	Leaving     bool          `cbor:"3,keyasint,omitempty"`
	Suspected   []string      `cbor:"4,keyasint,omitempty"`
	ListVersion uint64        `cbor:"5,keyasint"`
}

// Kind names the message.
func (Heartbeat) Kind() string { return "heartbeat" }

// Fetch asks a peer for what it has in force, above given versions.
type Fetch struct {
	Config uint64 `cbor:"1,keyasint"`
	List   uint64 `cbor:"2,keyasint"`
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// Kind names the message.
func (Fetch) Kind() string { return "fetch" }

// LeaseRequest asks an owner for leases on its endpoints.
type LeaseRequest struct {
	Box             core.Box         `cbor:"1,keyasint"`
	Demands         []LeaseDemand    `cbor:"2,keyasint"`
	ObservedLengths []ObservedLength `cbor:"3,keyasint,omitempty"`
}

// Kind names the message.
func (LeaseRequest) Kind() string { return "lease-ask" }

// LeaseDemand is what an entry uses of one endpoint and what it wants.
type LeaseDemand struct {
	Endpoint  string    `cbor:"1,keyasint"`
	Mean      []float32 `cbor:"2,keyasint"` // expected tokens held, by horizon
	Deviation []float32 `cbor:"3,keyasint"`
	Running   int       `cbor:"4,keyasint"`
	Waiting   int       `cbor:"5,keyasint"` // expected tokens of waiting requests
	Rank      int       `cbor:"8,keyasint,omitempty"`

	// WantOtherUsage asks what other boxes hold; both owners know, one says so.
	WantOtherUsage bool   `cbor:"10,keyasint,omitempty"`
	Model          string `cbor:"6,keyasint"`
	Slot           int    `cbor:"7,keyasint,omitempty"`
}

// ObservedLength tells the length of an ended generation, for the estimates.
type ObservedLength struct {
	Model    string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Class    string `cbor:"3,keyasint"`
	Tokens   int    `cbor:"4,keyasint"`
}

// LeaseGrants answers with one lease an endpoint.
type LeaseGrants struct {
	Grants []LeaseGrant `cbor:"1,keyasint"`
}

// Kind names the message.
func (LeaseGrants) Kind() string { return "lease-grants" }

// LeaseGrant is the right to send to one endpoint for a while.
type LeaseGrant struct {
	Endpoint       string        `cbor:"1,keyasint"`
	TTL            time.Duration `cbor:"2,keyasint"`
	Tokens         int           `cbor:"3,keyasint"` // memory that may be planned for
	Slots          int           `cbor:"4,keyasint"`
	OtherMean      []float32     `cbor:"5,keyasint,omitempty"` // what other boxes hold
	OtherDeviation []float32     `cbor:"6,keyasint,omitempty"`
	OtherRunning   int           `cbor:"7,keyasint"`
	Growth         int           `cbor:"8,keyasint"` // tokens that may be added on this lease
	Incarnation    uint64        `cbor:"9,keyasint"`
	Step           time.Duration `cbor:"10,keyasint"` // engine's last time between tokens
	Hints          []CacheHint   `cbor:"11,keyasint,omitempty"`
	Model          string        `cbor:"12,keyasint"`
	Slot           int           `cbor:"13,keyasint,omitempty"`
	HasOthers      bool          `cbor:"14,keyasint,omitempty"`
}

// CacheHint tells that an endpoint kept or dropped a prompt prefix.
type CacheHint struct {
	Prefix  uint64 `cbor:"1,keyasint"`
	Dropped bool   `cbor:"2,keyasint,omitempty"`
}

// ClaimRequest asks a home for the right to run a key.
type ClaimRequest struct {
	Key         core.ClaimKey    `cbor:"1,keyasint"`
	Attempt     string           `cbor:"2,keyasint"`
	Asker       core.Box         `cbor:"3,keyasint"`
	ListVersion uint64           `cbor:"4,keyasint"`
	HomeKnown   core.Incarnation `cbor:"5,keyasint,omitempty"`
	Timed       bool             `cbor:"6,keyasint,omitempty"`
	KeyTime     time.Time        `cbor:"7,keyasint"` // by the key itself, if it is timed
}

// Kind names the message.
func (ClaimRequest) Kind() string { return "claim-ask" }

// ClaimAnswer is a home's verdict.
type ClaimAnswer struct {
	Verdict    core.ClaimVerdict `cbor:"1,keyasint"`
	ValidFor   time.Duration     `cbor:"2,keyasint"`
	Status     int               `cbor:"3,keyasint,omitempty"`
	Response   []byte            `cbor:"4,keyasint,omitempty"`
	ClaimOwner core.Box          `cbor:"5,keyasint"`
}

// Kind names the message.
func (ClaimAnswer) Kind() string { return "claim-answer" }

// ClaimSettle tells a home how a granted attempt ended.
type ClaimSettle struct {
	Key      core.ClaimKey `cbor:"1,keyasint"`
	Attempt  string        `cbor:"2,keyasint"`
	Outcome  core.Outcome  `cbor:"3,keyasint"`
	Status   int           `cbor:"4,keyasint,omitempty"`
	Response []byte        `cbor:"5,keyasint,omitempty"`
}

// Kind names the message.
func (ClaimSettle) Kind() string { return "claim-settle" }

// Done is the answer that says only that a message was taken.
type Done struct{}

// Kind names the message.
func (Done) Kind() string { return "done" }

// HandoverRequest asks a home for what the asker takes over.
type HandoverRequest struct {
	From        core.Box `cbor:"1,keyasint"`
	ListVersion uint64   `cbor:"2,keyasint"`
}

// Kind names the message.
func (HandoverRequest) Kind() string { return "handover-ask" }

// HandoverTransfer carries a handover; None says that there is none yet.
type HandoverTransfer struct {
	None     bool          `cbor:"1,keyasint,omitempty"`
	Handover core.Handover `cbor:"2,keyasint"`
}

// Kind names the message.
func (HandoverTransfer) Kind() string { return "handover-give" }

// StatusRequest asks a scheduler for its part of a box's status.
type StatusRequest struct{}

// Kind names the message.
func (StatusRequest) Kind() string { return "status-ask" }

// SchedulerStatus is a scheduler's part of a box's status.
type SchedulerStatus struct {
	OwnedSlots []OwnedSlotStatus `cbor:"1,keyasint" json:"holds"`
	Claims     int               `cbor:"2,keyasint" json:"claims"`
	Drain      string            `cbor:"3,keyasint" json:"drain"`
}

// Kind names the message.
func (SchedulerStatus) Kind() string { return "scheduler-status" }

// OwnedSlotStatus is one endpoint that a scheduler owns.
type OwnedSlotStatus struct {
	Endpoint string `cbor:"1,keyasint" json:"endpoint"`
	Slot     int    `cbor:"7,keyasint" json:"slot"`
	State    string `cbor:"2,keyasint" json:"state"`
	Boxes    int    `cbor:"4,keyasint" json:"boxes"`
	Used     int    `cbor:"5,keyasint" json:"used"`
	Capacity int    `cbor:"6,keyasint" json:"capacity"`
}
