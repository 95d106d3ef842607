package core

// VersionState is the state of one box's configuration.
type VersionState string

// States of the configuration: none yet, up to date, or older than a known version.
const (
	VersionNone     VersionState = "none"
	VersionActive   VersionState = "in-force"
	VersionOutdated VersionState = "behind"
)

type versionTrigger string

const (
	versionAccepted versionTrigger = "accepted"
	versionHeard    versionTrigger = "heard"
)

var versionLifecycle = NewLifecycle(map[VersionState]map[versionTrigger]VersionState{
	VersionNone: {
		versionAccepted: VersionActive,
		versionHeard:    VersionNone,
	},
	VersionActive: {
		versionAccepted: VersionActive,
		versionHeard:    VersionOutdated,
	},
	VersionOutdated: {
		versionAccepted: VersionActive,
		versionHeard:    VersionOutdated,
	},
})

// VersionOffered reports that a configuration document was read and validated.
type VersionOffered struct {
	EventBase
	Version  uint64
	Accepted bool
	Digest   uint64
}

// VersionHeard reports the version that a peer has active.
type VersionHeard struct {
	EventBase
	Version uint64
	Digest  uint64
	From    string
}

// PutInForce asks the shell to activate the document of a version.
type PutInForce struct {
	CommandBase
	Version uint64
}

// FetchVersion asks the shell to fetch a version from a peer.
type FetchVersion struct {
	CommandBase
	Version uint64
	From    string
}

// VersionRejected reports that an offered document was not activated.
type VersionRejected struct {
	CommandBase
	Version uint64
	Reason  RejectReason
}

// RejectReason is the reason why a document was not activated.
type RejectReason string

// The reasons for rejecting a document.
const (
	RejectNotNewer RejectReason = "not-newer"
	RejectInvalid  RejectReason = "faulty"
	RejectConflict RejectReason = "same-version-lower-digest"
)

// Versions decides which configuration version is active on one box. If operators
// publish two documents under the same version, the one with the higher digest
// wins on every box, in whichever order they arrive.
type Versions struct {
	State            VersionState
	Active           uint64
	Digest           uint64
	HighestAnnounced uint64
	Rejected         uint64
	guards           Guards
}

// NewVersions returns a Versions without an active configuration.
func NewVersions(options ...Option) *Versions {
	return &Versions{
		State:  VersionNone,
		guards: newGuards(options),
	}
}

// Step applies an event and returns the commands to carry out.
func (v *Versions) Step(ev Event) []Command {
	switch e := ev.(type) {
	case VersionOffered:
		return v.handleOffered(e)
	case VersionHeard:
		return v.handleHeard(e)
	}
	return nil
}

func (v *Versions) handleOffered(e VersionOffered) []Command {
	if e.Version < v.Active && v.guards.enabled(GuardVersionOrder) || e.Version == v.Active && e.Digest == v.Digest {
		return v.reject(e, RejectNotNewer)
	}
	if e.Version == v.Active && e.Digest < v.Digest {
		return v.reject(e, RejectConflict)
	}
	if !e.Accepted {
		v.Rejected = max(v.Rejected, e.Version)
		return v.reject(e, RejectInvalid)
	}
	v.Active = e.Version
	v.Digest = e.Digest
	_ = versionLifecycle.Fire(&v.State, versionAccepted)
	return []Command{PutInForce{Version: e.Version}}
}

func (v *Versions) reject(e VersionOffered, reason RejectReason) []Command {
	return []Command{VersionRejected{
		Version: e.Version,
		Reason:  reason,
	}}
}

// isWanted reports whether to fetch the version that a peer announced. A version
// that was rejected as invalid is not fetched again.
func (v *Versions) isWanted(e VersionHeard) bool {
	if e.Version == v.Active {
		return e.Digest > v.Digest
	}
	return e.Version > v.Active && e.Version != v.Rejected
}

func (v *Versions) handleHeard(e VersionHeard) []Command {
	v.HighestAnnounced = max(v.HighestAnnounced, e.Version)
	if !v.isWanted(e) {
		return nil
	}
	_ = versionLifecycle.Fire(&v.State, versionHeard)
	return []Command{FetchVersion{
		Version: e.Version,
		From:    e.From,
	}}
}
