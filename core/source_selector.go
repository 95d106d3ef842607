package core

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Advertisement says how new the views are that a box has: the version of its configuration
// and the last change of its list. Zero says nothing of either.
type Advertisement struct {
	Configuration uint64
	Changed       routing.Revision
}

// NewerThan tells whether an offer has anything that is newer than another.
func (a Advertisement) NewerThan(other Advertisement) bool {
	return a.Configuration > other.Configuration || a.Changed > other.Changed
}

// SourceRules say how long a box is left alone before it is asked again.
type SourceRules struct {
	Busy                  time.Duration // after it said that it gives to others
	Failed                time.Duration // after it didn't give; doubled with each time in a row
	MaxBackoff            time.Duration // bounds the doubling
	AdvertisementLifetime time.Duration // after which an offer that nobody repeated is forgotten
}

// DefaultSourceRules gives the rules that the boxes use. A copy of 50 KB, which is a
// configuration of 2,850 routes, takes 40 to 80 ms on a link of 10 Mbit/s: to ask a busy
// box again after half of that costs two or three small messages.
func DefaultSourceRules() SourceRules {
	return SourceRules{
		Busy:                  30 * time.Millisecond,
		Failed:                200 * time.Millisecond,
		MaxBackoff:            2 * time.Second,
		AdvertisementLifetime: 30 * time.Second,
	}
}

// SourceSelector decides whom to ask for newer views, one at a time. It remembers everyone who
// offered some until this box has them: a box that waits to be told again after a
// question that failed is without them for as long, 3 s in one of 73 boxes' logs. K
// tells boxes apart.
type SourceSelector[K comparable] struct {
	rules   SourceRules
	sources []source[K]
}

type source[K comparable] struct {
	key           K
	advertisement Advertisement
	advertisedAt  time.Time
	retryAt       time.Time // not asked before
	failures      int       // times in a row
}

// NewSourceSelector builds a pull that knows nobody.
func NewSourceSelector[K comparable](rules SourceRules) *SourceSelector[K] {
	return &SourceSelector[K]{rules: rules}
}

// RecordAdvertisement takes a box's word of what it has.
func (s *SourceSelector[K]) RecordAdvertisement(now time.Time, key K, a Advertisement) {
	src := s.find(key)
	if src == nil {
		s.sources = append(s.sources, source[K]{key: key})
		src = &s.sources[len(s.sources)-1]
	}
	src.advertisement.Configuration = max(src.advertisement.Configuration, a.Configuration)
	src.advertisement.Changed = max(src.advertisement.Changed, a.Changed)
	src.advertisedAt = now
}

// Next gives the box to ask now, and what it offered: of those that are not to be left
// alone, any of the newest, by draw, so that many askers spread over all that
// have it. Without one, it gives how long to wait; zero says that there is nothing
// newer to ask for.
func (s *SourceSelector[K]) Next(now time.Time, current Advertisement, pick func(n int) int) (key K, a Advertisement, wait time.Duration) {
	s.sources = slices.DeleteFunc(s.sources, func(src source[K]) bool {
		return !src.advertisement.NewerThan(current) || now.Sub(src.advertisedAt) > s.rules.AdvertisementLifetime
	})
	var newest []source[K]
	for _, src := range s.sources {
		if remaining := src.retryAt.Sub(now); remaining > 0 {
			if wait == 0 || remaining < wait {
				wait = remaining
			}
			continue
		}
		if len(newest) > 0 && newest[0].advertisement.NewerThan(src.advertisement) {
			continue
		}
		if len(newest) > 0 && src.advertisement.NewerThan(newest[0].advertisement) {
			newest = newest[:0]
		}
		newest = append(newest, src)
	}
	if len(newest) == 0 {
		return key, a, wait
	}
	src := newest[pick(len(newest))]
	return src.key, src.advertisement, 0
}

// Busy notes that a box gives to others at present.
func (s *SourceSelector[K]) Busy(now time.Time, key K) {
	if src := s.find(key); src != nil {
		src.retryAt = now.Add(s.rules.Busy)
	}
}

// Failed notes that a box didn't give what it offered.
func (s *SourceSelector[K]) Failed(now time.Time, key K) {
	src := s.find(key)
	if src == nil {
		return
	}
	src.retryAt = now.Add(min(s.rules.Failed<<src.failures, s.rules.MaxBackoff))
	src.failures = min(src.failures+1, maxDoublings)
}

// maxDoublings bounds the shift of a pause; far above any that the rules' bound allows.
const maxDoublings = 16

// RecordSuccess notes that a box gave what it was asked for.
func (s *SourceSelector[K]) RecordSuccess(key K) {
	if src := s.find(key); src != nil {
		src.failures = 0
	}
}

// Remove drops a box that can't be asked any more.
func (s *SourceSelector[K]) Remove(key K) {
	s.sources = slices.DeleteFunc(s.sources, func(src source[K]) bool { return src.key == key })
}

func (s *SourceSelector[K]) find(key K) *source[K] {
	i := slices.IndexFunc(s.sources, func(src source[K]) bool { return src.key == key })
	if i < 0 {
		return nil
	}
	return &s.sources[i]
}
