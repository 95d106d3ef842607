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
	// maxBackoff bounds the rest that servers ask for with each refusal.
	maxBackoff = 3 * time.Second
	// minLimit and limitMost bound the limits that servers name, in requests a second.
	minLimit = 2
	maxLimit = 8
	// inFlightTime is how long requests that were under way may still arrive.
	inFlightTime = 500 * time.Millisecond
	// maxBackoffArrivals is how many requests may come within a rest.
	maxBackoffArrivals = 2
	// limitApplyTime is how long after a limit was named first it must be kept; within
	// limitSpan, so much more than that may come.
	limitApplyTime = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitBurst     = 5
	// leavingApplyTime is how long after its word a server that leaves may get requests.
	leavingApplyTime = 2 * time.Second
)

// announcer lets servers say of themselves what they want: rest with each refusal, limits for
// some, and that they leave. It has a series of its own, so that the seeds of the other
// faults stay what they were.
type announcer struct {
	fleet  *fleet
	r      *rand.Rand
	limits map[*listedServer]announcedLimit
}

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

// announceLimits lets one server of each service name a limit.
func (a *announcer) announceLimits() {
	limited := make(map[string]bool)
	for _, s := range a.fleet.servers {
		s.announce(func(n *emulator.Notice) { n.Rest = time.Duration(a.r.Int64N(int64(maxBackoff))) })
		if limited[s.service] {
			continue
		}
		limited[s.service] = true
		limit := announcedLimit{
			perSecond: minLimit + (maxLimit-minLimit)*a.r.Float64(),
			from:      time.Now(),
		}
		a.limits[s] = limit
		s.announce(func(n *emulator.Notice) { n.Limit = strconv.FormatFloat(limit.perSecond, 'f', 1, 64) })
	}
}

// clearLimits lets all servers take any number of requests again.
func (a *announcer) clearLimits() {
	for s, n := range a.limits {
		n.until = time.Now()
		a.limits[s] = n
		s.announce(func(n *emulator.Notice) { n.Limit = "" })
	}
}

// announce changes what a server says of itself.
func (l *listedServer) announce(change func(*emulator.Notice)) {
	change(&l.notice)
	l.Announce(l.notice)
}

// sendingBox gives the box that sent a request by the callers' id, or -1.
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

// isUndisturbed tells whether nothing happened to a box: one that was stopped, killed or paused
// may have forgotten, or not heard.
func (f *fleet) isUndisturbed(box int) bool {
	if box < 0 {
		return false
	}
	b := f.boxes[box]
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.disturbances) == 0 && len(b.stopTimes) == 0
}

// checkNotices checks that boxes keep to what servers say of themselves.
func (r *Report) checkNotices(f *fleet, announced *announcer, all []callResult) {
	startedAt := make(map[string]time.Time, len(all))
	for _, s := range all {
		startedAt[s.ID] = s.startedAt
	}
	for _, s := range f.servers {
		arrivals := s.Arrivals(time.Time{})
		r.checkBackoff(f, s, arrivals)
		if n, limited := announced.limits[s]; limited && !s.disturbed {
			r.checkLimit(f, s, arrivals, n)
		}
		if s.notice.Leaving && !s.disturbed {
			r.checkLeavingNotice(f, s, arrivals, startedAt)
		}
	}
}

func (r *Report) checkBackoff(f *fleet, server *listedServer, arrivals []emulator.Arrival) {
	for _, refused := range arrivals {
		box := sendingBox(refused)
		if refused.Rest == 0 || !f.isUndisturbed(box) {
			continue
		}
		count := 0
		for _, a := range arrivals {
			after := a.At.Sub(refused.Refused)
			if sendingBox(a) == box && after > inFlightTime && after < refused.Rest {
				count++
			}
		}
		if count > maxBackoffArrivals {
			r.addViolation("BUDGET: %s asked box %d for %s of rest and got %d requests from it", server.ID, box, refused.Rest, count)
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
	if got := emulator.MostWithin(counted, limitWindow); float64(got) > maxArrivals {
		r.addViolation("LIMIT: %s takes %.1f requests a second and got %d in %s", s.ID, limit.perSecond, got, limitWindow)
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
			r.addViolation("DRAIN: %s reached %s, %s after box %d was told that it leaves", a.ID, s.ID, late+inFlightTime, box)
		}
	}
}

// String tells of the limits that were named.
func (a *announcer) String() string {
	var descriptions []string
	for _, s := range a.fleet.servers {
		if n, limited := a.limits[s]; limited {
			descriptions = append(descriptions, fmt.Sprintf("%s takes %.1f requests a second", s.ID, n.perSecond))
		}
	}
	return strings.Join(descriptions, ", ")
}
