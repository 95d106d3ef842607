package core

import (
	"slices"
	"time"
)

// GivingRules bound what a box gives at once.
type GivingRules struct {
	Most int           // whole copies on their way at a time
	Idle time.Duration // after which a taker that asks for no further part has left
}

// DefaultGivingRules gives the rules that the boxes use. Of 17 copies that share one
// link none is whole before all are; of two, both soon are, and their takers give in
// their turn: after n rounds 3^n boxes have it. A taker asks for its next part within some
// tens of milliseconds on a link of 10 Mbit/s.
func DefaultGivingRules() GivingRules {
	return GivingRules{
		Most: 2,
		Idle: 300 * time.Millisecond,
	}
}

// Giving decides who may take a large copy now. K tells takers apart.
type Giving[K comparable] struct {
	rules  GivingRules
	takers []taker[K]
}

type taker[K comparable] struct {
	key   K
	began time.Time
	last  time.Time
}

// NewGiving builds a giving without takers.
func NewGiving[K comparable](rules GivingRules) *Giving[K] {
	return &Giving[K]{rules: rules}
}

// Begin tells whether a taker may have its first part now.
func (g *Giving[K]) Begin(now time.Time, key K) bool {
	g.takers = slices.DeleteFunc(g.takers, func(t taker[K]) bool {
		return t.key == key || now.Sub(t.last) > g.rules.Idle
	})
	if len(g.takers) >= g.rules.Most {
		return false
	}
	g.takers = append(g.takers, taker[K]{
		key:   key,
		began: now,
		last:  now,
	})
	return true
}

// GoOn notes that a taker has its next part. One that has begun always goes on, also after
// others took the place of a taker that seemed to have left: what it has would
// be lost otherwise.
func (g *Giving[K]) GoOn(now time.Time, key K) {
	if i := slices.IndexFunc(g.takers, func(t taker[K]) bool { return t.key == key }); i >= 0 {
		g.takers[i].last = now
	}
}

// Done notes that a taker gets its last part, and gives the time since its first.
func (g *Giving[K]) Done(now time.Time, key K) time.Duration {
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
