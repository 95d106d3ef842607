package core

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Advertisement states how new a box's views are: the version of its configuration and the
// last change of its endpoint list. Zero means unknown.
type Advertisement struct {
	ConfigVersion uint64
	ListRevision  routing.Revision
}

// NewerThan reports whether either view is newer than in the other advertisement.
func (a Advertisement) NewerThan(other Advertisement) bool {
	return a.ConfigVersion > other.ConfigVersion || a.ListRevision > other.ListRevision
}

// SourceRules configure when a source of snapshots is asked again.
type SourceRules struct {
	Busy                  time.Duration // backoff after a source reported that it is busy
	Failed                time.Duration // backoff after a failure, doubled for each further one in a row
	MaxBackoff            time.Duration // bounds the doubled backoff
	AdvertisementLifetime time.Duration // age at which an advertisement expires unless it is repeated
}

// DefaultSourceRules returns the rules used in production. The Busy backoff is about half
// the time of one transfer on a slow link: 50 KB take 40 to 80 ms at 10 Mbit/s.
func DefaultSourceRules() SourceRules {
	return SourceRules{
		Busy:                  30 * time.Millisecond,
		Failed:                200 * time.Millisecond,
		MaxBackoff:            2 * time.Second,
		AdvertisementLifetime: 30 * time.Second,
	}
}

// SourceSelector selects the boxes from which this box fetches newer views, one at a time.
// It remembers all advertisements until this box has caught up, so that a failed request
// can be retried without waiting for the next advertisement. K identifies sources.
type SourceSelector[K comparable] struct {
	rules   SourceRules
	sources []source[K]
}

// source is a box that advertised newer views.
type source[K comparable] struct {
	key           K
	advertisement Advertisement
	advertisedAt  time.Time
	retryAt       time.Time // end of the backoff
	failures      int       // number of failures in a row
}

// NewSourceSelector returns a selector without sources.
func NewSourceSelector[K comparable](rules SourceRules) *SourceSelector[K] {
	return &SourceSelector[K]{rules: rules}
}

// RecordAdvertisement records which views a source has.
func (s *SourceSelector[K]) RecordAdvertisement(now time.Time, key K, a Advertisement) {
	src := s.find(key)
	if src == nil {
		s.sources = append(s.sources, source[K]{key: key})
		src = &s.sources[len(s.sources)-1]
	}
	src.advertisement.ConfigVersion = max(src.advertisement.ConfigVersion, a.ConfigVersion)
	src.advertisement.ListRevision = max(src.advertisement.ListRevision, a.ListRevision)
	src.advertisedAt = now
}

// Next returns the source to ask now and its advertisement: one of those with the newest
// views that aren't backing off, chosen by pick to spread the load. If there is none it
// returns the time to wait, or zero if no source has newer views than the current ones.
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

// Busy records that a source is busy with other transfers.
func (s *SourceSelector[K]) Busy(now time.Time, key K) {
	if src := s.find(key); src != nil {
		src.retryAt = now.Add(s.rules.Busy)
	}
}

// Failed records that a request to a source failed.
func (s *SourceSelector[K]) Failed(now time.Time, key K) {
	src := s.find(key)
	if src == nil {
		return
	}
	src.retryAt = now.Add(min(s.rules.Failed<<src.failures, s.rules.MaxBackoff))
	src.failures = min(src.failures+1, maxDoublings)
}

// maxDoublings bounds the shift of the backoff.
const maxDoublings = 16

// RecordSuccess records that a source delivered its views.
func (s *SourceSelector[K]) RecordSuccess(key K) {
	if src := s.find(key); src != nil {
		src.failures = 0
	}
}

// Remove removes a source that can't be asked any more.
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
