package core

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Advertisement says how new the views are that a box has: the version of its configuration
// and the last change of its list. Zero says nothing of either.
type Advertisement struct {
	ConfigVersion uint64
	ListRevision  routing.Revision
}

// NewerThan tells whether an offer has anything that is newer than another.
func (o Advertisement) NewerThan(than Advertisement) bool {
	return o.ConfigVersion > than.ConfigVersion || o.ListRevision > than.ListRevision
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
	holders []holder[K]
}

type holder[K comparable] struct {
	key    K
	offer  Advertisement
	told   time.Time
	after  time.Time // not asked before
	failed int       // times in a row
}

// NewSourceSelector builds a pull that knows nobody.
func NewSourceSelector[K comparable](rules SourceRules) *SourceSelector[K] {
	return &SourceSelector[K]{rules: rules}
}

// RecordAdvertisement takes a box's word of what it has.
func (p *SourceSelector[K]) RecordAdvertisement(now time.Time, key K, o Advertisement) {
	h := p.find(key)
	if h == nil {
		p.holders = append(p.holders, holder[K]{key: key})
		h = &p.holders[len(p.holders)-1]
	}
	h.offer.ConfigVersion = max(h.offer.ConfigVersion, o.ConfigVersion)
	h.offer.ListRevision = max(h.offer.ListRevision, o.ListRevision)
	h.told = now
}

// Next gives the box to ask now, and what it offered: of those that are not to be left
// alone, any of the newest, by draw, so that many askers spread over all that
// have it. Without one, it gives how long to wait; zero says that there is nothing
// newer to ask for.
func (p *SourceSelector[K]) Next(now time.Time, have Advertisement, draw func(n int) int) (key K, o Advertisement, wait time.Duration) {
	p.holders = slices.DeleteFunc(p.holders, func(h holder[K]) bool {
		return !h.offer.NewerThan(have) || now.Sub(h.told) > p.rules.AdvertisementLifetime
	})
	var newest []holder[K]
	for _, h := range p.holders {
		if left := h.after.Sub(now); left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		if len(newest) > 0 && newest[0].offer.NewerThan(h.offer) {
			continue
		}
		if len(newest) > 0 && h.offer.NewerThan(newest[0].offer) {
			newest = newest[:0]
		}
		newest = append(newest, h)
	}
	if len(newest) == 0 {
		return key, o, wait
	}
	h := newest[draw(len(newest))]
	return h.key, h.offer, 0
}

// Busy notes that a box gives to others at present.
func (p *SourceSelector[K]) Busy(now time.Time, key K) {
	if h := p.find(key); h != nil {
		h.after = now.Add(p.rules.Busy)
	}
}

// Failed notes that a box didn't give what it offered.
func (p *SourceSelector[K]) Failed(now time.Time, key K) {
	h := p.find(key)
	if h == nil {
		return
	}
	h.after = now.Add(min(p.rules.Failed<<h.failed, p.rules.MaxBackoff))
	h.failed = min(h.failed+1, doublings)
}

// doublings bounds the shift of a pause; far above any that the rules' bound allows.
const doublings = 16

// RecordSuccess notes that a box gave what it was asked for.
func (p *SourceSelector[K]) RecordSuccess(key K) {
	if h := p.find(key); h != nil {
		h.failed = 0
	}
}

// Remove drops a box that can't be asked any more.
func (p *SourceSelector[K]) Remove(key K) {
	p.holders = slices.DeleteFunc(p.holders, func(h holder[K]) bool { return h.key == key })
}

func (p *SourceSelector[K]) find(key K) *holder[K] {
	i := slices.IndexFunc(p.holders, func(h holder[K]) bool { return h.key == key })
	if i < 0 {
		return nil
	}
	return &p.holders[i]
}
