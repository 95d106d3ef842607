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
	// restMost bounds the rest that servers ask for with each refusal.
	restMost = 3 * time.Second
	// limitLeast and limitMost bound the limits that servers name, in requests a second.
	limitLeast = 2
	limitMost  = 8
	// tellTime is how long requests that were under way may still arrive.
	tellTime = 500 * time.Millisecond
	// restArrivals is how many requests may come within a rest.
	restArrivals = 2
	// limitKnown is how long after a limit was named first it must be kept; within
	// limitSpan, so much more than that may come.
	limitKnown = 3 * time.Second
	limitSpan  = 4 * time.Second
	limitOver  = 1.5
	limitExtra = 5
	// leaveBound is how long after its word a server that leaves may get requests.
	leaveBound = 2 * time.Second
)

// announcer lets servers say of themselves what they want: rest with each refusal, limits for
// some, and that they leave. It has a series of its own, so that the seeds of the other
// faults stay what they were.
type announcer struct {
	fleet  *fleet
	r      *rand.Rand
	limits map[*listed]namedLimit
}

type namedLimit struct {
	perSecond float64
	from      time.Time
	until     time.Time
}

func newAnnouncer(f *fleet, seed uint64) *announcer {
	return &announcer{
		fleet:  f,
		r:      rand.New(rand.NewPCG(seed, 55)),
		limits: make(map[*listed]namedLimit),
	}
}

// begin lets one server of each service name a limit.
func (a *announcer) begin() {
	limited := make(map[string]bool)
	for _, s := range a.fleet.servers {
		s.announce(func(n *emulator.StatusHeaders) { n.Backoff = time.Duration(a.r.Int64N(int64(restMost))) })
		if limited[s.service] {
			continue
		}
		limited[s.service] = true
		named := namedLimit{
			perSecond: limitLeast + (limitMost-limitLeast)*a.r.Float64(),
			from:      time.Now(),
		}
		a.limits[s] = named
		s.announce(func(n *emulator.StatusHeaders) { n.RateLimit = strconv.FormatFloat(named.perSecond, 'f', 1, 64) })
	}
}

// end lets all servers take any number of requests again.
func (a *announcer) end() {
	for s, n := range a.limits {
		n.until = time.Now()
		a.limits[s] = n
		s.announce(func(n *emulator.StatusHeaders) { n.RateLimit = "" })
	}
}

// announce changes what a server says of itself.
func (l *listed) announce(change func(*emulator.StatusHeaders)) {
	change(&l.notice)
	l.SetStatusHeaders(l.notice)
}

// sender gives the box that sent a request by the callers' id, or -1.
func sender(a emulator.Arrival) int {
	for _, part := range strings.Split(a.ID, "-") {
		if n, ok := strings.CutPrefix(part, "b"); ok {
			if box, err := strconv.Atoi(n); err == nil {
				return box
			}
		}
	}
	return -1
}

// well tells whether nothing happened to a box: one that was stopped, killed or paused
// may have forgotten, or not heard.
func (f *fleet) well(box int) bool {
	if box < 0 {
		return false
	}
	b := f.boxes[box]
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.hurt) == 0 && len(b.stopped) == 0
}

// judgeNotices checks that boxes keep to what servers say of themselves.
func (r *Report) judgeNotices(f *fleet, limiting *announcer, all []seen) {
	began := make(map[string]time.Time, len(all))
	for _, s := range all {
		began[s.ID] = s.began
	}
	for _, s := range f.servers {
		arrivals := s.Arrivals(time.Time{})
		r.judgeRest(f, s, arrivals)
		if n, limited := limiting.limits[s]; limited && !s.hurt {
			r.judgeLimit(f, s, arrivals, n)
		}
		if s.notice.IsLeaving && !s.hurt {
			r.judgeLeavingNotice(f, s, arrivals, began)
		}
	}
}

func (r *Report) judgeRest(f *fleet, s *listed, arrivals []emulator.Arrival) {
	for _, refused := range arrivals {
		box := sender(refused)
		if refused.Backoff == 0 || !f.well(box) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			after := a.At.Sub(refused.RefusedAt)
			if sender(a) == box && after > tellTime && after < refused.Backoff {
				n++
			}
		}
		if n > restArrivals {
			r.breaks("BUDGET: %s asked box %d for %s of rest and got %d requests from it", s.ID, box, refused.Backoff, n)
		}
	}
}

func (r *Report) judgeLimit(f *fleet, s *listed, arrivals []emulator.Arrival, n namedLimit) {
	var counted []emulator.Arrival
	for _, a := range arrivals {
		if f.well(sender(a)) && a.At.After(n.from.Add(limitKnown)) && a.At.Before(n.until) {
			counted = append(counted, a)
		}
	}
	most := limitOver*n.perSecond*limitSpan.Seconds() + limitExtra
	if got := emulator.MaxArrivalsWithin(counted, limitSpan); float64(got) > most {
		r.breaks("LIMIT: %s takes %.1f requests a second and got %d in %s", s.ID, n.perSecond, got, limitSpan)
	}
}

func (r *Report) judgeLeavingNotice(f *fleet, s *listed, arrivals []emulator.Arrival, began map[string]time.Time) {
	told := make(map[int]time.Time)
	for _, a := range arrivals {
		box := sender(a)
		if !f.well(box) || a.At.Before(s.left) {
			continue
		}
		if _, known := told[box]; !known {
			told[box] = a.At.Add(workTime)
			continue
		}
		if late := began[a.ID].Sub(told[box].Add(tellTime)); late > leaveBound {
			r.breaks("DRAIN: %s reached %s, %s after box %d was told that it leaves", a.ID, s.ID, late+tellTime, box)
		}
	}
}

// String tells of the limits that were named.
func (a *announcer) String() string {
	var named []string
	for _, s := range a.fleet.servers {
		if n, limited := a.limits[s]; limited {
			named = append(named, fmt.Sprintf("%s takes %.1f requests a second", s.ID, n.perSecond))
		}
	}
	return strings.Join(named, ", ")
}
