package core

import (
	"math"
	"math/rand/v2"
	"time"
)

// LimitRules configure how reported endpoint limits are merged and when they expire.
type LimitRules struct {
	Retention  time.Duration // how long a limit holds after the newest answer that any box received
	SettleTime time.Duration // time after a reported limit in which answers without one are ignored: they may predate it
	MinChange  float64       // relative change of a limit that is broadcast at once
}

// DefaultLimitRules returns the rules for fleets in which gossip reaches all boxes within
// seconds.
func DefaultLimitRules() LimitRules {
	return LimitRules{
		Retention:  20 * time.Second,
		SettleTime: 250 * time.Millisecond,
		MinChange:  0.1,
	}
}

// LimitRecord is the gossip record of an endpoint's rate limit.
type LimitRecord struct {
	Endpoint  string        `cbor:"1,keyasint"`
	Limited   bool          `cbor:"2,keyasint,omitempty"`
	PerSecond float64       `cbor:"3,keyasint,omitempty"` // requests per second, for all boxes together
	Age       time.Duration `cbor:"4,keyasint,omitempty"` // time since the endpoint's answer
}

// Limits holds the rate limits that endpoints reported to any box. For each endpoint the
// newest answer wins, so records may be merged in any order and more than once.
type Limits struct {
	rules LimitRules
	known map[string]limitEntry // limits by endpoint
}

type limitEntry struct {
	limited   bool
	perSecond float64
	at        time.Time // time of the endpoint's answer
}

// NewLimits returns a table in which no endpoint is limited.
func NewLimits(rules LimitRules) *Limits {
	return &Limits{
		rules: rules,
		known: make(map[string]limitEntry),
	}
}

// RecordAnswer records an endpoint's answer to this box. It reports whether the limit
// changed enough to be broadcast at once.
func (l *Limits) RecordAnswer(now time.Time, record LimitRecord) bool {
	before, known := l.known[record.Endpoint]
	if !record.Limited && (!known || (before.limited && now.Sub(before.at) < l.rules.SettleTime)) {
		return false
	}
	return l.update(record, now)
}

// Merge merges records from other boxes and returns those that are worth forwarding at once.
func (l *Limits) Merge(now time.Time, records []LimitRecord) []LimitRecord {
	var updates []LimitRecord
	for _, record := range records {
		at := now.Add(-record.Age)
		if record.Age < 0 || record.Age >= l.rules.Retention || !(record.PerSecond >= 0) || math.IsInf(record.PerSecond, 1) {
			continue
		}
		if before, known := l.known[record.Endpoint]; known && !at.After(before.at) {
			continue
		}
		if l.update(record, at) {
			updates = append(updates, record)
		}
	}
	return updates
}

// update stores a record and reports whether it differs notably from the previous one.
func (l *Limits) update(record LimitRecord, at time.Time) bool {
	before := l.known[record.Endpoint]
	l.known[record.Endpoint] = limitEntry{
		limited:   record.Limited,
		perSecond: record.PerSecond,
		at:        at,
	}
	if before.limited != record.Limited {
		return true
	}
	return record.Limited && math.Abs(record.PerSecond-before.perSecond) > l.rules.MinChange*before.perSecond
}

// Lookup returns an endpoint's limit in requests per second, for all boxes together, and
// whether one is in force.
func (l *Limits) Lookup(now time.Time, endpoint string) (perSecond float64, limited bool) {
	known := l.known[endpoint]
	if !known.limited || now.Sub(known.at) >= l.rules.Retention {
		return 0, false
	}
	return known.perSecond, true
}

// IsEmpty reports whether the table has no entry for any endpoint.
func (l *Limits) IsEmpty() bool { return len(l.known) == 0 }

// Expire removes expired entries and returns the endpoints whose limits expired.
func (l *Limits) Expire(now time.Time) []string {
	var expired []string
	for endpoint, known := range l.known {
		if now.Sub(known.at) < l.rules.Retention {
			continue
		}
		delete(l.known, endpoint)
		if known.limited {
			expired = append(expired, endpoint)
		}
	}
	return expired
}

// HandleSuspension ages all entries by the time that the machine was suspended, which the
// monotonic clock doesn't count.
func (l *Limits) HandleSuspension(d time.Duration) {
	for endpoint, known := range l.known {
		known.at = known.at.Add(-d)
		l.known[endpoint] = known
	}
}

// All returns a record of every entry, with its current age.
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

// Sample returns up to limit records, chosen at random.
func (l *Limits) Sample(now time.Time, limit int) []LimitRecord {
	all := l.All(now)
	if len(all) > limit {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:limit]
	}
	return all
}
