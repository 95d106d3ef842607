package core

import "time"

// RejectionRules configure how a box avoids requests that an endpoint would reject for want of room.
type RejectionRules struct {
	Window        time.Duration // time over which rejections count
	RaiseInterval time.Duration // average time without a rejection after which the limit is raised by one
}

// DefaultRejectionRules returns rules for rejections per second. The window is a little longer,
// since requests take different times to reach the endpoint.
func DefaultRejectionRules() RejectionRules {
	return RejectionRules{
		Window:        1100 * time.Millisecond,
		RaiseInterval: 2 * time.Second,
	}
}

// RejectionLimiter limits one box's unanswered requests to an endpoint that fails if it has to reject
// too many in a short time. All boxes together send no more than the endpoint has places for, plus
// the rejections that it bears. The endpoint may have fewer places than known, as when its memory is
// full: the limit begins at half of the box's places and is raised slowly, and halved when a request
// is rejected.
type RejectionLimiter struct {
	rules      RejectionRules
	random     func() float64
	unanswered int
	rejected   []time.Time // within the window, oldest first
	isStarted  bool
	limit      int // meaningful only if hasLimit
	hasLimit   bool
	raiseAt    time.Time
}

// NewRejectionLimiter returns a limiter without any requests. The function random returns numbers in
// [0, 1), which keep boxes from raising their limits at the same time.
func NewRejectionLimiter(rules RejectionRules, random func() float64) *RejectionLimiter {
	return &RejectionLimiter{
		rules:  rules,
		random: random,
	}
}

// CanSend reports whether the box may send one more request. Places is the box's share of the
// endpoint's places and of the rejections it bears, rejections that of the latter alone.
func (l *RejectionLimiter) CanSend(now time.Time, places, rejections int) bool {
	if l.HasRejected(now) && l.unanswered+len(l.rejected) >= rejections {
		return false
	}
	if !l.isStarted {
		l.isStarted = true
		l.setLimit(now, places/2)
	}
	l.raise(now, places)
	if l.hasLimit {
		places = min(places, l.limit)
	}
	return l.unanswered < places
}

// raise raises the limit if it is time, and drops it once it exceeds the box's places.
func (l *RejectionLimiter) raise(now time.Time, places int) {
	if !l.hasLimit || now.Before(l.raiseAt) {
		return
	}
	l.limit++
	l.hasLimit = l.limit < places
	l.scheduleRaise(now)
}

func (l *RejectionLimiter) setLimit(now time.Time, limit int) {
	l.limit = max(limit, 1)
	l.hasLimit = true
	l.scheduleRaise(now)
}

func (l *RejectionLimiter) scheduleRaise(now time.Time) {
	l.raiseAt = now.Add(time.Duration((0.5 + l.random()) * float64(l.rules.RaiseInterval)))
}

// HasRejected reports whether the endpoint rejected a request of the box within the window.
func (l *RejectionLimiter) HasRejected(now time.Time) bool {
	l.rejected = dropUntil(l.rejected, now.Add(-l.rules.Window))
	return len(l.rejected) > 0
}

// Unanswered returns the number of requests that have no answer yet.
func (l *RejectionLimiter) Unanswered() int { return l.unanswered }

// Sent records that a request was sent.
func (l *RejectionLimiter) Sent() { l.unanswered++ }

// Answered records the answer to a request, or that there will be none.
func (l *RejectionLimiter) Answered(now time.Time, isRejected bool) {
	if isRejected && !l.HasRejected(now) {
		l.setLimit(now, l.unanswered/2)
	}
	l.unanswered = max(l.unanswered-1, 0)
	if isRejected {
		l.rejected = append(l.rejected, now)
	}
}
