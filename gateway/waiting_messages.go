package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// waitMessageDelay is the usual time from the announcement of a wait to its receipt. It is
// deducted from the times in the message, so that all boxes order the requests alike.
const waitMessageDelay = 15 * time.Millisecond

// announce notifies the group of a waiting request. The queue's lock is held, so that the message
// precedes the one about the end of the wait.
func (q *waitQueue) announce(now time.Time, entry *admission.WaitingRequest) {
	q.gateway.onPlaced(fleet.Placement{
		Waiting: &fleet.Waiting{
			Request:  entry.ID,
			Service:  entry.Service,
			Customer: entry.Customer,
			Priority: entry.Priority,
			DueIn:    entry.DueAt.Sub(now) - waitMessageDelay,
			Limit:    entry.LimitAt.Sub(now) - waitMessageDelay,
			Tokens:   entry.Tokens,
			Prompt:   entry.Prompt,
			Box:      q.gateway.box,
		},
	})
}

// logWaitBegin logs the begin of a wait.
func (p *proxiedRequest) logWaitBegin(now time.Time, in entered) {
	g := p.gateway
	p.logDecision("waiting for room",
		zap.String("why", g.balancer.WhyNoRoom(now, p.candidates(now), p.roomRequirements())),
		zap.Int("requests_ahead", in.wait.ahead),
		zap.Duration("estimate", in.Estimate.Round(time.Millisecond)),
		zap.String("priority", priorityText(in.entry.Priority)),
		zap.Duration("due_in", in.entry.DueAt.Sub(now).Round(time.Millisecond)),
		zap.Duration("limit", in.entry.LimitAt.Sub(now).Round(time.Millisecond)),
		zap.Duration("heard_age", g.waits.heardAge(now).Round(time.Millisecond)),
	)
}

// announceWaitEnd notifies the group that the request waits no longer, if it was notified of the
// wait.
func (p *proxiedRequest) announceWaitEnd() {
	if p.announcedWait == "" {
		return
	}
	p.gateway.onPlaced(fleet.Placement{
		Waiting: &fleet.Waiting{
			Request: p.announcedWait,
			Ended:   true,
			Box:     p.gateway.box,
		},
	})
	p.announcedWait = ""
}

// observeWait logs and counts the end of a wait, with the route by which the request waited.
func (p *proxiedRequest) observeWait(w *wait, outcome waitOutcome) {
	took := time.Since(w.since)
	p.gateway.counters.countWait(w.routeName, outcome)
	p.gateway.counters.observeWait(w.routeName, w.entry.Priority, took)
	p.logOnRoute("waited for room", w.routeName,
		zap.Duration("for", took.Round(time.Millisecond)),
		zap.Int("requests_ahead", w.ahead),
		zap.String("outcome", string(outcome)),
	)
}

// handleRemote handles a message about a wait at another box. One that names no box is ignored: in
// the list, such requests are this box's own.
func (q *waitQueue) handleRemote(now time.Time, m *fleet.Waiting) {
	if m.Box == "" || m.Box == q.gateway.box {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heardAt = now
	if m.Ended {
		q.list.Remove(m.Box, m.Request)
	} else {
		q.list.Add(now, admission.WaitingRequest{
			ID:       m.Request,
			Box:      m.Box,
			Service:  m.Service,
			Customer: m.Customer,
			Priority: m.Priority,
			DueAt:    now.Add(m.DueIn),
			LimitAt:  now.Add(m.Limit),
			Tokens:   max(m.Tokens, 0),
			Prompt:   max(m.Prompt, 0),
		})
	}
	q.countWaiting()
	q.notify()
}

// countRemoteSend counts a prompt that another box sent, with the memory of its run.
func (g *Gateway) countRemoteSend(now time.Time, p fleet.Placement, tokens int) {
	e, known := g.view().Endpoint(p.Endpoint)
	if known && g.waitsForRoom(e.Service) {
		g.balancer.CountSent(now, e.Service, p.Priority, tokens)
	}
}

// HandleBoxGone drops the waiting requests of a box that is suspected or gone.
func (g *Gateway) HandleBoxGone(box string) {
	q := g.waits
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.DropBox(box)
	q.countWaiting()
	q.notify()
}

// handleSuspension records a suspension of the machine and corrects the times of the waiting
// requests. Both happen under the lock, so that a request that begins to wait meanwhile has the
// suspension deducted once.
//
// This box's waiting requests are announced again: other boxes may have suspected this one, and
// dropped them. Those whose wait is over are about to end it.
func (q *waitQueue) handleSuspension(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gateway.suspended.Add(int64(d))
	q.list.HandleSuspension(d)
	for _, w := range q.own {
		w.entry.DueAt = w.entry.DueAt.Add(-d)
		w.entry.LimitAt = w.entry.LimitAt.Add(-d)
	}
	now := time.Now()
	for _, w := range q.ownInOrder(now) {
		if now.Before(w.entry.LimitAt) {
			q.announce(now, &w.entry)
		}
	}
	q.countWaiting()
	q.notify()
}

// sweep removes other boxes' requests whose waits should have ended a while ago.
func (q *waitQueue) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Expire(now)
	q.countWaiting()
}

// heardAge returns the age of the newest message from another box about a prompt or a wait, or 0
// if none arrived.
func (q *waitQueue) heardAge(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	age := q.gateway.balancer.RemotePlacementAge(now)
	if waitAge := now.Sub(q.heardAt); !q.heardAt.IsZero() && (age == 0 || waitAge < age) {
		age = waitAge
	}
	return age
}

// WaitingRequests are the requests that wait for room.
type WaitingRequests struct {
	Own    []OwnWait // of this box, by service and in the order in which they are sent
	Remote int       // number of those known of other boxes
}

// OwnWait is a request of this box that waits for room.
type OwnWait struct {
	ID       string
	Route    string
	Priority routing.Priority
	Since    time.Time
}

// Waiting returns the requests that wait for room.
func (g *Gateway) Waiting() WaitingRequests {
	q := g.waits
	q.mu.Lock()
	defer q.mu.Unlock()
	out := WaitingRequests{Remote: q.list.Remote()}
	for _, w := range q.ownInOrder(time.Now()) {
		out.Own = append(out.Own, OwnWait{
			ID:       w.entry.ID,
			Route:    w.routeName,
			Priority: w.entry.Priority,
			Since:    w.since,
		})
	}
	return out
}

// ownInOrder returns this box's waits by service and in the order in which they are sent.
func (q *waitQueue) ownInOrder(now time.Time) []*wait {
	services := make(map[string]bool)
	for _, w := range q.own {
		services[w.entry.Service] = true
	}
	all := make([]*wait, 0, len(q.own))
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for _, r := range q.list.Order(now, service) {
			if r.Box == "" {
				all = append(all, q.own[r.ID])
			}
		}
	}
	return all
}

// uniqueID returns an ID for a request in the queue: the caller's, which may be missing or used
// already.
func (q *waitQueue) uniqueID(id string) string {
	unique := id
	for n := 1; unique == "" || q.own[unique] != nil; n++ {
		unique = fmt.Sprintf("%s#%d", id, n)
	}
	return unique
}

// countWaiting updates the numbers of waiting requests in the metrics.
func (q *waitQueue) countWaiting() {
	q.gateway.counters.waitingOwn.Set(float64(len(q.own)))
	q.gateway.counters.waitingRemote.Set(float64(q.list.Remote()))
}
