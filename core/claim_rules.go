package core

import (
	"time"
)

// ClaimRules are the time limits of at-most-once claims.
//
// Guard must exceed Fresh plus GrantTTL by more than the usual delay of list
// updates: a claim owner that is cut off stops granting within Fresh, and its last
// grant expires within GrantTTL, both before its successor grants anything.
type ClaimRules struct {
	// Guard is how long after a loss of records a key without creation time and without
	// a record is answered "unknown". After that such a key counts as new.
	Guard time.Duration
	// Fresh is the maximum age of the box list's confirmation for granting claims.
	Fresh time.Duration
	// GrantTTL is how long a grant may be used.
	GrantTTL time.Duration
	// Retention is how long records are kept. A key with a creation time (a UUID of
	// version 7) that is older than that, or older than a loss of records, is always
	// answered "unknown".
	Retention time.Duration
	// BootSlack is the maximum age at which a fleet counts as new.
	BootSlack time.Duration
	// Skew is the maximum clock error of a key's creator.
	Skew time.Duration
}

// DefaultClaimRules returns the limits used in production.
func DefaultClaimRules() ClaimRules {
	return ClaimRules{
		Guard:     10 * time.Minute,
		Fresh:     time.Minute,
		GrantTTL:  10 * time.Second,
		Retention: time.Hour,
		BootSlack: time.Minute,
		Skew:      time.Minute,
	}
}

// minGuard returns the lower bound of a configured guard time.
func (r *ClaimRules) minGuard() time.Duration { return r.Fresh + r.GrantTTL + r.Skew }
