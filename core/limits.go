package core

import (
	"math"
	"math/rand/v2"
	"time"
)

// LimitRules say how long the word of an endpoint's limit counts.
type LimitRules struct {
	Retention  time.Duration // since the newest answer that told of it, at any box
	SettleTime time.Duration // in which answers that were under way may say otherwise
	MinChange  float64       // the part by which a limit must change to be told at once
}

// DefaultLimitRules fit fleets in which word of each answer reaches all boxes within some
// seconds, and endpoints that get at least some requests meanwhile.
func DefaultLimitRules() LimitRules {
	return LimitRules{
		Retention:  20 * time.Second,
		SettleTime: 250 * time.Millisecond,
		MinChange:  0.1,
	}
}

// LimitRecord is what a box tells of an endpoint's limit.
type LimitRecord struct {
	Endpoint  string        `cbor:"1,keyasint"`
	Limited   bool          `cbor:"2,keyasint,omitempty"`
	PerSecond float64       `cbor:"3,keyasint,omitempty"` // requests, from all boxes together
	Age       time.Duration `cbor:"4,keyasint,omitempty"` // since the answer that said so
}

// Limits is what a box knows, by itself and from others, of how much endpoints take. The
// newest answer of an endpoint to any box counts, so that order, repetition and loss of
// messages don't matter.
type Limits struct {
	rules LimitRules
	known map[string]knownLimit
}

type knownLimit struct {
	limited   bool
	perSecond float64
	at        time.Time
}

// NewLimits builds a table in which no endpoint is limited.
func NewLimits(rules LimitRules) *Limits {
	return &Limits{
		rules: rules,
		known: make(map[string]knownLimit),
	}
}

// RecordAnswer takes an endpoint's answer to this box, and tells whether others should hear of
// it at once.
func (l *Limits) RecordAnswer(now time.Time, w LimitRecord) bool {
	before, known := l.known[w.Endpoint]
	if !w.Limited && (!known || (before.limited && now.Sub(before.at) < l.rules.SettleTime)) {
		return false
	}
	return l.set(w, now)
}

// Merge takes what other boxes told, and gives what of it is worth handing on at once.
func (l *Limits) Merge(now time.Time, told []LimitRecord) []LimitRecord {
	var news []LimitRecord
	for _, w := range told {
		at := now.Add(-w.Age)
		if w.Age < 0 || w.Age >= l.rules.Retention || !(w.PerSecond >= 0) || math.IsInf(w.PerSecond, 1) {
			continue
		}
		if before, known := l.known[w.Endpoint]; known && !at.After(before.at) {
			continue
		}
		if l.set(w, at) {
			news = append(news, w)
		}
	}
	return news
}

// set notes a word, and tells whether it differs from the one before.
func (l *Limits) set(w LimitRecord, at time.Time) bool {
	before := l.known[w.Endpoint]
	l.known[w.Endpoint] = knownLimit{
		limited:   w.Limited,
		perSecond: w.PerSecond,
		at:        at,
	}
	if before.limited != w.Limited {
		return true
	}
	return w.Limited && math.Abs(w.PerSecond-before.perSecond) > l.rules.MinChange*before.perSecond
}

// Lookup gives the requests a second that an endpoint takes from all boxes together, if it
// named a limit.
func (l *Limits) Lookup(now time.Time, endpoint string) (perSecond float64, limited bool) {
	known := l.known[endpoint]
	if !known.limited || now.Sub(known.at) >= l.rules.Retention {
		return 0, false
	}
	return known.perSecond, true
}

// IsEmpty tells whether nothing is known of any endpoint.
func (l *Limits) IsEmpty() bool { return len(l.known) == 0 }

// Expire drops words that are too old, and gives those of them that named limits.
func (l *Limits) Expire(now time.Time) []string {
	var forgotten []string
	for endpoint, known := range l.known {
		if now.Sub(known.at) < l.rules.Retention {
			continue
		}
		delete(l.known, endpoint)
		if known.limited {
			forgotten = append(forgotten, endpoint)
		}
	}
	return forgotten
}

// HandleSuspension takes that the machine was suspended for a time that its clock didn't count.
func (l *Limits) HandleSuspension(d time.Duration) {
	for endpoint, known := range l.known {
		known.at = known.at.Add(-d)
		l.known[endpoint] = known
	}
}

// All gives every word that is kept, with its age.
func (l *Limits) All(now time.Time) []LimitRecord {
	all := make([]LimitRecord, 0, len(l.known))
	for endpoint, known := range l.known {
		all = append(all, LimitRecord{
			Endpoint:  endpoint,
			Limited:   known.limited,
			PerSecond: known.perSecond,
			Age:       now.Sub(known.at),
		})
	}
	return all
}

// Sample gives up to some of the words, drawn anew each time.
func (l *Limits) Sample(now time.Time, most int) []LimitRecord {
	all := l.All(now)
	if len(all) > most {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:most]
	}
	return all
}
