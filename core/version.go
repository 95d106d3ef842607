package core

// VersionState is the state of the configuration on one box.
type VersionState string

// A box has no configuration, has one in force, or knows of a newer one.
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

// VersionOffered tells that a document of a version was read and checked.
type VersionOffered struct {
	EventBase
	Version  uint64
	Accepted bool
	Digest   uint64
}

// VersionHeard tells that a peer named the version that it has in force.
type VersionHeard struct {
	EventBase
	Version uint64
	Digest  uint64
	From    string
}

// PutInForce asks the shell to use the document of a version from now on.
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

// VersionRejected tells that an offered document is not put in force.
type VersionRejected struct {
	CommandBase
	Version uint64
	Reason  RejectReason
}

// RejectReason says why a document is not put in force.
type RejectReason string

// The reasons for which a document is not put in force.
const (
	RejectNotNewer RejectReason = "not-newer"
	RejectInvalid  RejectReason = "faulty"
	RejectConflict RejectReason = "same-version-lower-digest"
)

// Versions decides which configuration version is in force on one box. Operators
// who race may publish two texts under one version; then the one with the higher
// digest is in force on every box, whichever came first.
type Versions struct {
	State            VersionState
	Active           uint64
	Digest           uint64
	HighestAnnounced uint64
	Rejected         uint64
	guards           Guards
}

// NewVersions starts with no configuration.
func NewVersions(options ...Option) *Versions {
	return &Versions{
		State:  VersionNone,
		guards: newGuards(options),
	}
}

// Step applies one event.
func (v *Versions) Step(ev Event) []Command {
	switch e := ev.(type) {
	case VersionOffered:
		return v.offered(e)
	case VersionHeard:
		return v.heard(e)
	}
	return nil
}

func (v *Versions) offered(e VersionOffered) []Command {
	if e.Version < v.Active && v.guards.on(GuardVersionOrder) || e.Version == v.Active && e.Digest == v.Digest {
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

// newer reports whether a version that a peer named is wanted; a faulty one is
// not asked for again.
func (v *Versions) newer(e VersionHeard) bool {
	if e.Version == v.Active {
		return e.Digest > v.Digest
	}
	return e.Version > v.Active && e.Version != v.Rejected
}

func (v *Versions) heard(e VersionHeard) []Command {
	v.HighestAnnounced = max(v.HighestAnnounced, e.Version)
	if !v.newer(e) {
		return nil
	}
	_ = versionLifecycle.Fire(&v.State, versionHeard)
	return []Command{FetchVersion{
		Version: e.Version,
		From:    e.From,
	}}
}
