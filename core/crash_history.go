package core

import (
	"cmp"
	"slices"
	"time"
)

// dissemination tells how far a record has been sent to other boxes.
type dissemination struct {
	changedAt time.Time // when this box last learned something new
	timesSent int       // number of gossip messages since changedAt
}

// markChanged makes the record new again, so that it is sent to other boxes.
func (d *dissemination) markChanged(now time.Time) {
	d.changedAt = now
	d.timesSent = 0
}

// leastSent returns up to limit keys whose records were sent least often, those that changed last
// first among equals. It sorts keys; compare orders what is equal otherwise.
func leastSent[K any](keys []K, record func(K) dissemination, compare func(a, b K) int, limit int) []K {
	slices.SortFunc(keys, func(a, b K) int {
		x, y := record(a), record(b)
		return cmp.Or(cmp.Compare(x.timesSent, y.timesSent), y.changedAt.Compare(x.changedAt), compare(a, b))
	})
	return keys[:min(len(keys), limit)]
}

// crashHistory is a record of crashes.
type crashHistory interface {
	crashCount() int
	latestCrash() time.Time
}

// makeRoom reports whether a record of a crash at the given time fits in. When the table is
// full it evicts the record with the fewest crashes, the oldest of these, but neither one
// with several crashes nor one newer than the given time. All boxes thus keep the same
// records, and don't keep sending each other evicted ones.
func makeRoom[K comparable, H crashHistory](records map[K]H, limit int, at time.Time) bool {
	if len(records) < limit {
		return true
	}
	var evicted K
	var weakest H
	found := false
	for key, r := range records {
		if !found || cmp.Or(cmp.Compare(r.crashCount(), weakest.crashCount()), r.latestCrash().Compare(weakest.latestCrash())) < 0 {
			evicted, weakest, found = key, r, true
		}
	}
	if !found || weakest.crashCount() > 1 || weakest.latestCrash().After(at) {
		return false
	}
	delete(records, evicted)
	return true
}

// recentTimes holds the latest times of a bounded number of keys.
type recentTimes[K comparable] struct {
	limit int
	at    map[K]time.Time
	order []K // keys of at, oldest entry first
}

func newRecentTimes[K comparable](limit int) *recentTimes[K] {
	return &recentTimes[K]{
		limit: limit,
		at:    make(map[K]time.Time),
	}
}

// mark records a time of a key unless a later one is known, evicting the oldest entry when full.
func (t *recentTimes[K]) mark(key K, at time.Time) {
	known, ok := t.at[key]
	if ok && !at.After(known) {
		return
	}
	if !ok {
		if len(t.order) >= t.limit {
			delete(t.at, t.order[0])
			t.order = t.order[1:]
		}
		t.order = append(t.order, key)
	}
	t.at[key] = at
}
