package admission

import (
	"cmp"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// remoteWaitMargin is how long another box's request still counts after its wait should have
	// ended. It covers a message that arrives late; a killed box sends none.
	remoteWaitMargin = time.Second
	// maxRemoteWait bounds the time for which another box's request counts. It is longer than
	// any useful wait and keeps a wrong message from blocking this box.
	maxRemoteWait = time.Minute
	// maxRemoteRequests bounds the memory for other boxes' requests. Estimates are far beyond
	// all targets with fewer.
	maxRemoteRequests = 4096
	// maxCustomerShare is the fraction of a priority's waiting tokens beyond which a customer's
	// requests come after those of the other customers.
	maxCustomerShare = 0.5
)

// WaitingRequest is a request that waits at a box until an engine has room.
type WaitingRequest struct {
	ID       string
	Box      string // the box at which it waits; empty for this one
	Service  string
	Customer string
	Priority routing.Priority
	DueAt    time.Time // latest time at which it can be sent and still meet its target
	LimitAt  time.Time // when it stops waiting
	Tokens   int       // memory of its run at the expected end
	Prompt   int       // tokens to prefill
}

// waitingKey identifies a waiting request; two boxes may have one with the same ID.
type waitingKey struct {
	box string
	id  string
}

// WaitingList holds the waiting requests of this box and those known of other boxes. It addresses
// callers that compete for too little capacity: all boxes of a group order them alike. It is not
// safe for concurrent use.
type WaitingList struct {
	requests map[waitingKey]*WaitingRequest
	remote   int // number of other boxes' requests
}

// NewWaitingList returns an empty list.
func NewWaitingList() *WaitingList {
	return &WaitingList{requests: make(map[waitingKey]*WaitingRequest)}
}

// Add adds a request, or replaces it. It drops other boxes' requests beyond maxRemoteRequests,
// and shortens their waits to maxRemoteWait.
func (l *WaitingList) Add(now time.Time, r WaitingRequest) {
	key := keyOf(&r)
	if _, known := l.requests[key]; !known && r.Box != "" {
		if l.remote >= maxRemoteRequests {
			return
		}
		l.remote++
	}
	if longest := now.Add(maxRemoteWait); r.Box != "" && r.LimitAt.After(longest) {
		r.LimitAt = longest
	}
	l.requests[key] = &r
}

// Remove removes a request that waits no longer. Box is empty for this box's own.
func (l *WaitingList) Remove(box, id string) {
	key := waitingKey{
		box: box,
		id:  id,
	}
	if _, known := l.requests[key]; !known {
		return
	}
	delete(l.requests, key)
	if box != "" {
		l.remote--
	}
}

// DropBox removes the requests of a box that is suspected or gone.
func (l *WaitingList) DropBox(box string) {
	l.removeIf(func(r *WaitingRequest) bool { return r.Box != "" && r.Box == box })
}

// DropRemote removes the requests of all other boxes.
func (l *WaitingList) DropRemote() {
	l.removeIf(func(r *WaitingRequest) bool { return r.Box != "" })
}

// Expire removes other boxes' requests whose waits should have ended a while ago: their box was
// killed, or the message about the end was lost.
func (l *WaitingList) Expire(now time.Time) {
	l.removeIf(func(r *WaitingRequest) bool { return r.Box != "" && now.After(r.LimitAt.Add(remoteWaitMargin)) })
}

func (l *WaitingList) removeIf(matches func(*WaitingRequest) bool) {
	for key, r := range l.requests {
		if !matches(r) {
			continue
		}
		delete(l.requests, key)
		if r.Box != "" {
			l.remote--
		}
	}
}

// HandleSuspension moves this box's requests back by a time that the monotonic clock did not
// count, and removes all others, whose ends it may have missed.
func (l *WaitingList) HandleSuspension(d time.Duration) {
	l.DropRemote()
	for _, r := range l.requests {
		r.DueAt = r.DueAt.Add(-d)
		r.LimitAt = r.LimitAt.Add(-d)
	}
}

// Remote returns the number of other boxes' requests.
func (l *WaitingList) Remote() int { return l.remote }

// Order returns the requests of a service in the order in which they are sent. They must not be
// modified.
func (l *WaitingList) Order(now time.Time, service string) []*WaitingRequest {
	all := make([]*WaitingRequest, 0, len(l.requests))
	for _, r := range l.requests {
		if r.Service == service {
			all = append(all, r)
		}
	}
	return sortWaiting(now, all)
}

// Ahead returns the requests that are sent before the given one, in order. The given one need not
// be in the list. They must not be modified.
func (l *WaitingList) Ahead(now time.Time, r WaitingRequest) []*WaitingRequest {
	all := make([]*WaitingRequest, 0, len(l.requests)+1)
	for key, other := range l.requests {
		if other.Service == r.Service && key != keyOf(&r) {
			all = append(all, other)
		}
	}
	all = sortWaiting(now, append(all, &r))
	return all[:slices.Index(all, &r)]
}

// HasUrgent reports whether a request of the given service and priority, or of a higher one, waits
// besides the given one.
func (l *WaitingList) HasUrgent(r WaitingRequest) bool {
	for key, other := range l.requests {
		if other.Service == r.Service && other.Priority.Compare(r.Priority) <= 0 && key != keyOf(&r) {
			return true
		}
	}
	return false
}

// sortWaiting sorts requests by priority. Within a priority, the excess of a customer with more
// than its share comes last, and requests that can still meet their target precede the others;
// then they are sorted by the time at which they are due. The order is the same on all boxes.
func sortWaiting(now time.Time, all []*WaitingRequest) []*WaitingRequest {
	slices.SortFunc(all, func(a, b *WaitingRequest) int { return compareWaiting(now, a, b) })
	sorted := make([]*WaitingRequest, 0, len(all))
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].Priority == all[0].Priority {
			n++
		}
		sorted = appendExcessLast(sorted, all[:n])
		all = all[n:]
	}
	return sorted
}

// compareWaiting compares step by step, since cmp.Or would evaluate all comparisons each time.
func compareWaiting(now time.Time, a, b *WaitingRequest) int {
	if a.Priority != b.Priority {
		return a.Priority.Compare(b.Priority)
	}
	if c := compareBools(now.After(a.DueAt), now.After(b.DueAt)); c != 0 {
		return c
	}
	if c := a.DueAt.Compare(b.DueAt); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Box, b.Box))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func keyOf(r *WaitingRequest) waitingKey {
	return waitingKey{
		box: r.Box,
		id:  r.ID,
	}
}

// appendExcessLast appends the sorted requests of one priority, those last that a customer has
// beyond maxCustomerShare of their tokens. A customer's first request is never one of them, and a
// customer that waits alone is not reordered.
func appendExcessLast(sorted, all []*WaitingRequest) []*WaitingRequest {
	total := 0
	for _, r := range all {
		total += r.Tokens
	}
	earlier := make(map[string]int) // tokens by customer
	var excess []*WaitingRequest
	for _, r := range all {
		before := earlier[r.Customer]
		earlier[r.Customer] += r.Tokens
		if before > 0 && float64(before) >= maxCustomerShare*float64(total) {
			excess = append(excess, r)
			continue
		}
		sorted = append(sorted, r)
	}
	return append(sorted, excess...)
}
