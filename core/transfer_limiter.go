package core

import (
	"slices"
	"time"
)

// TransferRules configure the transfers of snapshots that one box sends.
type TransferRules struct {
	MaxConcurrent int           // maximum number of concurrent transfers
	IdleTimeout   time.Duration // time without a request for the next part until a receiver counts as gone
}

// DefaultTransferRules returns the rules used in production. With few concurrent transfers
// the first receivers finish early and become senders themselves; many transfers on one link
// would all end late. IdleTimeout must exceed the time in which a receiver requests its next
// part, some tens of milliseconds at 10 Mbit/s.
func DefaultTransferRules() TransferRules {
	return TransferRules{
		MaxConcurrent: 2,
		IdleTimeout:   300 * time.Millisecond,
	}
}

// TransferLimiter limits how many large snapshots a box sends at a time. K identifies
// receivers.
type TransferLimiter[K comparable] struct {
	rules     TransferRules
	transfers []transfer[K]
}

// transfer is a transfer in progress.
type transfer[K comparable] struct {
	key        K
	startedAt  time.Time
	lastActive time.Time
}

// NewTransferLimiter returns a limiter without transfers.
func NewTransferLimiter[K comparable](rules TransferRules) *TransferLimiter[K] {
	return &TransferLimiter[K]{rules: rules}
}

// TryStart starts a transfer to a receiver if the limit allows it, and reports whether it
// did. A transfer to the same receiver is replaced.
func (l *TransferLimiter[K]) TryStart(now time.Time, key K) bool {
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer[K]) bool {
		return t.key == key || now.Sub(t.lastActive) > l.rules.IdleTimeout
	})
	if len(l.transfers) >= l.rules.MaxConcurrent {
		return false
	}
	l.transfers = append(l.transfers, transfer[K]{
		key:        key,
		startedAt:  now,
		lastActive: now,
	})
	return true
}

// RecordProgress records that a receiver gets its next part. A transfer that was dropped as
// idle may continue beyond the limit, so that the parts already sent aren't lost.
func (l *TransferLimiter[K]) RecordProgress(now time.Time, key K) {
	if i := slices.IndexFunc(l.transfers, func(t transfer[K]) bool { return t.key == key }); i >= 0 {
		l.transfers[i].lastActive = now
	}
}

// Finish records that a receiver gets its last part, and returns the duration of the
// transfer.
func (l *TransferLimiter[K]) Finish(now time.Time, key K) time.Duration {
	var elapsed time.Duration
	l.transfers = slices.DeleteFunc(l.transfers, func(t transfer[K]) bool {
		if t.key != key {
			return false
		}
		elapsed = now.Sub(t.startedAt)
		return true
	})
	return elapsed
}
