package core

import (
	"time"
)

// ClaimRules are the bounds of the at-most-once records.
//
// Records are kept for Retention. A key that carries its time (a UUID of
// version 7) and is older than that, or than a loss of records, gets "unknown"
// for ever; its maker's clock may be off by Skew at most. Any other key that is
// not on record counts as new once Guard has passed since the last loss.
//
// Guard must exceed Fresh and GrantTTL by more than the platform's usual lag:
// a home that lost touch stops granting within Fresh, and a grant it gave is
// spent within GrantTTL, before its successor grants anything.
type ClaimRules struct {
	Guard     time.Duration
	Fresh     time.Duration
	GrantTTL  time.Duration
	Retention time.Duration
	BootSlack time.Duration
	Skew      time.Duration
}

// DefaultClaimRules gives the bounds that the processes use.
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

// minGuard is what a guard time must exceed for its purpose.
func (r *ClaimRules) minGuard() time.Duration { return r.Fresh + r.GrantTTL + r.Skew }
