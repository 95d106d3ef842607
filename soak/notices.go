package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// maxBackoff bounds the backoff that servers request with each refusal.
	maxBackoff = 3 * time.Second
	// minLimit and maxLimit bound the rate limits of servers, in requests a second.
	minLimit = 2
	maxLimit = 8
	// inFlightTime is how long requests in flight may still arrive after an answer.
	inFlightTime = 500 * time.Millisecond
	// maxBackoffArrivals is how many requests of a box may arrive during a backoff.
	maxBackoffArrivals = 2
	// limitApplyTime is how long boxes may take to apply a newly announced limit. After that,
	// a limitWindow may hold limitTolerance times the limit and limitBurst requests more.
	limitApplyTime = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitBurst     = 5
	// leavingApplyTime is how long a box may still send requests to a server after an answer
	// that announced that it leaves.
	leavingApplyTime = 2 * time.Second
)

// announcer makes servers announce notices in their answers: a backoff with each refusal, and
// a rate limit for some servers. It draws from its own random source, so that the other faults
// of a seed stay the same.
type announcer struct {
	fleet  *fleet
	r      *rand.Rand
	limits map[*listedServer]announcedLimit
}

// announcedLimit is the rate limit of a server and the time in which it is announced.
type announcedLimit struct {
	perSecond float64
	from      time.Time
	until     time.Time
}

func newAnnouncer(f *fleet, seed uint64) *announcer {
	return &announcer{
		fleet:  f,
		r:      rand.New(rand.NewPCG(seed, 55)),
		limits: make(map[*listedServer]announcedLimit),
	}
}

// announceLimits makes all servers announce backoffs and one server of each service a limit.
func (a *announcer) announceLimits() {
	limited := make(map[string]bool)
	for _, s := range a.fleet.servers {
		s.announce(func(n *emulator.StatusHeaders) { n.Backoff = time.Duration(a.r.Int64N(int64(maxBackoff))) })
		if limited[s.service] {
			continue
		}
		limited[s.service] = true
		limit := announcedLimit{
			perSecond: minLimit + (maxLimit-minLimit)*a.r.Float64(),
			from:      time.Now(),
		}
		a.limits[s] = limit
		s.announce(func(n *emulator.StatusHeaders) { n.RateLimit = strconv.FormatFloat(limit.perSecond, 'f', 1, 64) })
	}
}

// clearLimits ends the announcement of all limits.
func (a *announcer) clearLimits() {
	for s, n := range a.limits {
		n.until = time.Now()
		a.limits[s] = n
		s.announce(func(n *emulator.StatusHeaders) { n.RateLimit = "" })
	}
}

// announce changes the notices that a server sends with its answers.
func (l *listedServer) announce(change func(*emulator.StatusHeaders)) {
	change(&l.notice)
	l.SetStatusHeaders(l.notice)
}

// sendingBox returns the box that the request's ID names, or -1 if it names none.
func sendingBox(a emulator.Arrival) int {
	for _, part := range strings.Split(a.ID, "-") {
		if n, ok := strings.CutPrefix(part, "b"); ok {
			if box, err := strconv.Atoi(n); err == nil {
				return box
			}
		}
	}
	return -1
}

// isUndisturbed reports whether a box was never stopped, killed or paused. A disturbed box
// may have missed or lost an announcement.
func (f *fleet) isUndisturbed(box int) bool {
	if box < 0 {
		return false
	}
	b := f.boxes[box]
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.disturbances) == 0 && len(b.stopTimes) == 0
}

// checkNotices checks that boxes follow the notices of servers.
func (r *Report) checkNotices(f *fleet, announced *announcer, results []callResult) {
	startedAt := make(map[string]time.Time, len(results))
	for _, s := range results {
		startedAt[s.ID] = s.startedAt
	}
	for _, s := range f.servers {
		arrivals := s.Arrivals(time.Time{})
		r.checkBackoff(f, s, arrivals)
		if n, limited := announced.limits[s]; limited && !s.disturbed {
			r.checkLimit(f, s, arrivals, n)
		}
		if s.notice.IsLeaving && !s.disturbed {
			r.checkLeavingNotice(f, s, arrivals, startedAt)
		}
	}
}

func (r *Report) checkBackoff(f *fleet, server *listedServer, arrivals []emulator.Arrival) {
	for _, refused := range arrivals {
		box := sendingBox(refused)
		if refused.Backoff == 0 || !f.isUndisturbed(box) {
			continue
		}
		count := 0
		for _, a := range arrivals {
			after := a.At.Sub(refused.RefusedAt)
			if sendingBox(a) == box && after > inFlightTime && after < refused.Backoff {
				count++
			}
		}
		if count > maxBackoffArrivals {
			r.addViolation("BUDGET: %s asked box %d to back off for %s and got %d requests from it", server.ID, box, refused.Backoff, count)
		}
	}
}

func (r *Report) checkLimit(f *fleet, s *listedServer, arrivals []emulator.Arrival, limit announcedLimit) {
	var counted []emulator.Arrival
	for _, a := range arrivals {
		if f.isUndisturbed(sendingBox(a)) && a.At.After(limit.from.Add(limitApplyTime)) && a.At.Before(limit.until) {
			counted = append(counted, a)
		}
	}
	maxArrivals := limitTolerance*limit.perSecond*limitWindow.Seconds() + limitBurst
	if got := emulator.MaxArrivalsWithin(counted, limitWindow); float64(got) > maxArrivals {
		r.addViolation("LIMIT: %s announced a limit of %.1f requests a second and got %d in %s", s.ID, limit.perSecond, got, limitWindow)
	}
}

func (r *Report) checkLeavingNotice(f *fleet, s *listedServer, arrivals []emulator.Arrival, startedAt map[string]time.Time) {
	noticedAt := make(map[int]time.Time)
	for _, a := range arrivals {
		box := sendingBox(a)
		if !f.isUndisturbed(box) || a.At.Before(s.leavingSince) {
			continue
		}
		if _, known := noticedAt[box]; !known {
			noticedAt[box] = a.At.Add(workTime)
			continue
		}
		if late := startedAt[a.ID].Sub(noticedAt[box].Add(inFlightTime)); late > leavingApplyTime {
			r.addViolation("DRAIN: %s reached %s, %s after an answer announced to box %d that the server leaves", a.ID, s.ID, late+inFlightTime, box)
		}
	}
}

// String returns the announced limits as text for the report.
func (a *announcer) String() string {
	var descriptions []string
	for _, s := range a.fleet.servers {
		if n, limited := a.limits[s]; limited {
			descriptions = append(descriptions, fmt.Sprintf("%s limited to %.1f requests a second", s.ID, n.perSecond))
		}
	}
	return strings.Join(descriptions, ", ")
}
