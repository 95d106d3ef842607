package core

import (
	"slices"
	"time"
)

// TransferRules bound what a box gives at once.
type TransferRules struct {
	MaxConcurrent int           // whole copies on their way at a time
	IdleTimeout   time.Duration // after which a taker that asks for no further part has left
}

// DefaultTransferRules gives the rules that the boxes use. Of 17 copies that share one
// link none is whole before all are; of two, both soon are, and their takers give in
// their turn: after n rounds 3^n boxes have it. A taker asks for its next part within some
// tens of milliseconds on a link of 10 Mbit/s.
func DefaultTransferRules() TransferRules {
	return TransferRules{
		MaxConcurrent: 2,
		IdleTimeout:   300 * time.Millisecond,
	}
}

// TransferLimiter decides who may take a large copy now. K tells takers apart.
type TransferLimiter[K comparable] struct {
	rules     TransferRules
	transfers []transfer[K]
}

type transfer[K comparable] struct {
	key        K
	startedAt  time.Time
	lastActive time.Time
}

// NewTransferLimiter builds a giving without takers.
func NewTransferLimiter[K comparable](rules TransferRules) *TransferLimiter[K] {
	return &TransferLimiter[K]{rules: rules}
}

// TryStart tells whether a taker may have its first part now.
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

// RecordProgress notes that a taker has its next part. One that has begun always goes on, also after
// others took the place of a taker that seemed to have left: what it has would
// be lost otherwise.
func (l *TransferLimiter[K]) RecordProgress(now time.Time, key K) {
	if i := slices.IndexFunc(l.transfers, func(t transfer[K]) bool { return t.key == key }); i >= 0 {
		l.transfers[i].lastActive = now
	}
}

// Finish notes that a taker gets its last part, and gives the time since its first.
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
