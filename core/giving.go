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
	rules  TransferRules
	takers []taker[K]
}

type taker[K comparable] struct {
	key   K
	began time.Time
	last  time.Time
}

// NewTransferLimiter builds a giving without takers.
func NewTransferLimiter[K comparable](rules TransferRules) *TransferLimiter[K] {
	return &TransferLimiter[K]{rules: rules}
}

// TryStart tells whether a taker may have its first part now.
func (g *TransferLimiter[K]) TryStart(now time.Time, key K) bool {
	g.takers = slices.DeleteFunc(g.takers, func(t taker[K]) bool {
		return t.key == key || now.Sub(t.last) > g.rules.IdleTimeout
	})
	if len(g.takers) >= g.rules.MaxConcurrent {
		return false
	}
	g.takers = append(g.takers, taker[K]{
		key:   key,
		began: now,
		last:  now,
	})
	return true
}

// RecordProgress notes that a taker has its next part. One that has begun always goes on, also after
// others took the place of a taker that seemed to have left: what it has would
// be lost otherwise.
func (g *TransferLimiter[K]) RecordProgress(now time.Time, key K) {
	if i := slices.IndexFunc(g.takers, func(t taker[K]) bool { return t.key == key }); i >= 0 {
		g.takers[i].last = now
	}
}

// Finish notes that a taker gets its last part, and gives the time since its first.
func (g *TransferLimiter[K]) Finish(now time.Time, key K) time.Duration {
	var took time.Duration
	g.takers = slices.DeleteFunc(g.takers, func(t taker[K]) bool {
		if t.key != key {
			return false
		}
		took = now.Sub(t.began)
		return true
	})
	return took
}
