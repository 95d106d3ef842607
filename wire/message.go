package wire

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Subscribe requests the current snapshot of a watch process and all later ones.
type Subscribe struct{}

// Kind implements Message.
func (Subscribe) Kind() string { return "subscribe" }

// Snapshot holds the active configuration and list of a watch process.
type Snapshot struct {
	ConfigVersion uint64        `cbor:"1,keyasint"`
	Config        []byte        `cbor:"2,keyasint,omitempty"`
	List          *core.List    `cbor:"3,keyasint,omitempty"`
	ListAge       time.Duration `cbor:"4,keyasint"` // time since the list was confirmed
	Suspected     []string      `cbor:"5,keyasint,omitempty"`
	ListVersion   uint64        `cbor:"6,keyasint"`
}

// Kind implements Message.
func (Snapshot) Kind() string { return "snapshot" }

// Heartbeat reports a box, its state and its list version to a peer.
type Heartbeat struct {
	From        core.Box      `cbor:"1,keyasint"`
	ListAge     time.Duration `cbor:"2,keyasint"` // time since the list was confirmed
	Leaving     bool          `cbor:"3,keyasint,omitempty"`
	Suspected   []string      `cbor:"4,keyasint,omitempty"`
	ListVersion uint64        `cbor:"5,keyasint"`
}

// Kind implements Message.
func (Heartbeat) Kind() string { return "heartbeat" }

// Fetch requests a peer's active configuration and list, if newer than the given versions.
type Fetch struct {
	Config uint64 `cbor:"1,keyasint"`
	List   uint64 `cbor:"2,keyasint"`
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (Fetch) Kind() string { return "fetch" }

// LeaseRequest requests leases on endpoints from the box that owns their slots.
type LeaseRequest struct {
	Box             core.Box         `cbor:"1,keyasint"`
	Demands         []LeaseDemand    `cbor:"2,keyasint"`
	ObservedLengths []ObservedLength `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (LeaseRequest) Kind() string { return "lease-ask" }

// LeaseDemand describes an entry process's current and expected use of one owner slot.
type LeaseDemand struct {
	Endpoint  string    `cbor:"1,keyasint"`
	Mean      []float32 `cbor:"2,keyasint"` // expected tokens in memory, per horizon
	Deviation []float32 `cbor:"3,keyasint"`
	Running   int       `cbor:"4,keyasint"`           // running requests
	Waiting   int       `cbor:"5,keyasint"`           // expected tokens of the queued requests of Rank
	Rank      int       `cbor:"8,keyasint,omitempty"` // most urgent rank with queued requests

	// WantOtherUsage requests the usage of other boxes. It is set for one of the
	// endpoint's slots only, since both owners have the same data.
	WantOtherUsage bool   `cbor:"10,keyasint,omitempty"`
	Model          string `cbor:"6,keyasint"`
	Slot           int    `cbor:"7,keyasint,omitempty"`
}

// ObservedLength is the length of a completed generation, as input to length estimates.
type ObservedLength struct {
	Model    string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Class    string `cbor:"3,keyasint"`
	Tokens   int    `cbor:"4,keyasint"`
}

// LeaseGrants answers a LeaseRequest with one grant per granted lease.
type LeaseGrants struct {
	Grants []LeaseGrant `cbor:"1,keyasint"`
}

// Kind implements Message.
func (LeaseGrants) Kind() string { return "lease-grants" }

// LeaseGrant is a time-limited right to send requests to one endpoint.
type LeaseGrant struct {
	Endpoint       string        `cbor:"1,keyasint"`
	TTL            time.Duration `cbor:"2,keyasint"`
	Tokens         int           `cbor:"3,keyasint"` // memory that the box may plan to use
	Slots          int           `cbor:"4,keyasint"`
	OtherMean      []float32     `cbor:"5,keyasint,omitempty"` // memory use of other boxes
	OtherDeviation []float32     `cbor:"6,keyasint,omitempty"`
	OtherRunning   int           `cbor:"7,keyasint"`
	Growth         int           `cbor:"8,keyasint"` // tokens that may be added under this lease
	Incarnation    uint64        `cbor:"9,keyasint"`
	Step           time.Duration `cbor:"10,keyasint"` // engine's latest time between tokens
	Hints          []CacheHint   `cbor:"11,keyasint,omitempty"`
	Model          string        `cbor:"12,keyasint"`
	Slot           int           `cbor:"13,keyasint,omitempty"`
	HasOthers      bool          `cbor:"14,keyasint,omitempty"`
}

// CacheHint reports that an endpoint cached or evicted a prompt prefix.
type CacheHint struct {
	Prefix  uint64 `cbor:"1,keyasint"`
	Dropped bool   `cbor:"2,keyasint,omitempty"`
}

// ClaimRequest asks a claim owner for permission to run a request with an idempotency key.
type ClaimRequest struct {
	Key         core.ClaimKey    `cbor:"1,keyasint"`
	Attempt     string           `cbor:"2,keyasint"`
	Asker       core.Box         `cbor:"3,keyasint"` // process that requests the claim
	ListVersion uint64           `cbor:"4,keyasint"`
	HomeKnown   core.Incarnation `cbor:"5,keyasint,omitempty"` // latest incarnation of the claim owner known to Asker; 0 if none
	Timed       bool             `cbor:"6,keyasint,omitempty"` // the key contains its creation time
	KeyTime     time.Time        `cbor:"7,keyasint"`           // creation time in the key, if Timed
}

// Kind implements Message.
func (ClaimRequest) Kind() string { return "claim-ask" }

// ClaimAnswer is the claim owner's verdict on a ClaimRequest.
type ClaimAnswer struct {
	Verdict    core.ClaimVerdict `cbor:"1,keyasint"`
	ValidFor   time.Duration     `cbor:"2,keyasint"`
	Status     int               `cbor:"3,keyasint,omitempty"`
	Response   []byte            `cbor:"4,keyasint,omitempty"`
	ClaimOwner core.Box          `cbor:"5,keyasint"`
}

// Kind implements Message.
func (ClaimAnswer) Kind() string { return "claim-answer" }

// ClaimSettle reports the outcome of a granted attempt to the claim owner.
type ClaimSettle struct {
	Key      core.ClaimKey `cbor:"1,keyasint"`
	Attempt  string        `cbor:"2,keyasint"`
	Outcome  core.Outcome  `cbor:"3,keyasint"`
	Status   int           `cbor:"4,keyasint,omitempty"`
	Response []byte        `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (ClaimSettle) Kind() string { return "claim-settle" }

// Done acknowledges a message and carries no data.
type Done struct{}

// Kind implements Message.
func (Done) Kind() string { return "done" }

// HandoverRequest asks a claim owner for the claims that the sender takes over.
type HandoverRequest struct {
	From        core.Box `cbor:"1,keyasint"`
	ListVersion uint64   `cbor:"2,keyasint"`
}

// Kind implements Message.
func (HandoverRequest) Kind() string { return "handover-ask" }

// HandoverTransfer carries a handover of claims. None is set if no handover is available yet.
type HandoverTransfer struct {
	None     bool          `cbor:"1,keyasint,omitempty"`
	Handover core.Handover `cbor:"2,keyasint"`
}

// Kind implements Message.
func (HandoverTransfer) Kind() string { return "handover-give" }

// StatusRequest requests the scheduler's part of a box's status.
type StatusRequest struct{}

// Kind implements Message.
func (StatusRequest) Kind() string { return "status-ask" }

// SchedulerStatus is the scheduler's part of a box's status.
type SchedulerStatus struct {
	OwnedSlots []OwnedSlotStatus `cbor:"1,keyasint" json:"holds"`
	Claims     int               `cbor:"2,keyasint" json:"claims"`
	Drain      string            `cbor:"3,keyasint" json:"drain"`
}

// Kind implements Message.
func (SchedulerStatus) Kind() string { return "scheduler-status" }

// OwnedSlotStatus is the status of one endpoint slot that a scheduler owns.
type OwnedSlotStatus struct {
	Endpoint string `cbor:"1,keyasint" json:"endpoint"`
	Slot     int    `cbor:"7,keyasint" json:"slot"`
	State    string `cbor:"2,keyasint" json:"state"`
	Boxes    int    `cbor:"4,keyasint" json:"boxes"`
	Used     int    `cbor:"5,keyasint" json:"used"`
	Capacity int    `cbor:"6,keyasint" json:"capacity"`
}
