package losses

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dillsaddle.example/dillsaddle/core"
)

// WaitStats summarizes the requests of a route that waited until an engine had room.
type WaitStats struct {
	Route    string         `json:"route"`
	Requests int            `json:"requests"`
	Median   time.Duration  `json:"median_ns"` // of the waits that ended
	Tail     time.Duration  `json:"p99_ns"`
	Failed   int            `json:"late_or_lost"` // requests that were late or lost after they had waited
	Outcomes map[string]int `json:"outcomes"`     // how the waits ended; "unknown" for those whose end is not in the logs
}

// Refusals counts the requests of a route that were refused for one reason.
type Refusals struct {
	Route    string        `json:"route"`
	Reason   string        `json:"why"`
	Status   int           `json:"status"`
	Count    int           `json:"count"`
	Estimate time.Duration `json:"mean_estimate_ns"` // mean of the estimated waits; 0 if there were none
	Requests []string      `json:"requests"`         // examples

	estimated int // how many had an estimate
}

// unknownOutcome stands for the outcome of a wait whose end is not in the logs.
const unknownOutcome = "unknown"

// addWait updates the request with a line about a wait.
func (r *request) addWait(l Line) {
	r.hasWaited = true
	if l.Event == "waiting for room" {
		r.waitingSince = l.At
		r.waitOutcome = "" // a request may wait again after a refused send
		return
	}
	r.waitOutcome = cmp.Or(l.Outcome, unknownOutcome)
	switch {
	case l.For > 0:
		r.waited += l.For
	case !r.waitingSince.IsZero():
		r.waited += l.At.Sub(r.waitingSince)
	}
}

// endedWaiting reports whether the request's last wait is the last that is known of it: the wait
// ended with the request, or its end is not in the logs.
func (r *request) endedWaiting() bool {
	if !r.hasWaited {
		return false
	}
	switch r.waitOutcome {
	case "", "left", "expired", "withdrawn":
		return true
	}
	return !r.placed
}

// isMostlyWait reports whether the request spent most of the time until its first event waiting
// for room.
func (r *request) isMostlyWait() bool { return r.waited > r.outcome.FirstEvent/2 }

// waitCounter collects the waits and refusals of a report.
type waitCounter struct {
	waits      map[string]*WaitStats
	histograms map[string]*hdrhistogram.Histogram // of waits, by route
	refusals   map[refusalKey]*Refusals
}

// refusalKey identifies a Refusals.
type refusalKey struct {
	route  string
	reason string
	status int
}

func newWaitCounter() *waitCounter {
	return &waitCounter{
		waits:      make(map[string]*WaitStats),
		histograms: make(map[string]*hdrhistogram.Histogram),
		refusals:   make(map[refusalKey]*Refusals),
	}
}

// add adds a request's wait and refusal, if any.
func (c *waitCounter) add(q *request, failed bool) {
	if q.hasWaited {
		c.addWait(q, failed)
	}
	if q.wasRefused() {
		c.addRefusal(q)
	}
}

func (c *waitCounter) addWait(q *request, failed bool) {
	w := c.waits[q.route]
	if w == nil {
		w = &WaitStats{
			Route:    q.route,
			Outcomes: make(map[string]int),
		}
		c.waits[q.route] = w
		c.histograms[q.route] = hdrhistogram.New(1, maxMillis, significantDigits)
	}
	w.Requests++
	w.Outcomes[cmp.Or(q.waitOutcome, unknownOutcome)]++
	if failed {
		w.Failed++
	}
	if q.waitOutcome != "" {
		record(c.histograms[q.route], q.waited)
	}
}

// wasRefused reports whether the caller was told that the request was not run.
func (r *request) wasRefused() bool {
	if r.outcome == nil {
		return false
	}
	return r.outcome.Event == "refused" || r.outcome.Event == "given up" && r.outcome.Outcome == string(core.NotRun)
}

func (c *waitCounter) addRefusal(q *request) {
	key := refusalKey{
		route:  q.route,
		reason: q.outcome.EndReason,
		status: q.outcome.Status,
	}
	s := c.refusals[key]
	if s == nil {
		s = &Refusals{
			Route:  key.route,
			Reason: key.reason,
			Status: key.status,
		}
		c.refusals[key] = s
	}
	s.Count++
	if q.outcome.Estimate > 0 {
		s.estimated++
		s.Estimate += (q.outcome.Estimate - s.Estimate) / time.Duration(s.estimated)
	}
	if len(s.Requests) < maxExamples {
		s.Requests = append(s.Requests, q.id)
	}
}

// allWaits returns the waits, sorted by route.
func (c *waitCounter) allWaits() []WaitStats {
	var all []WaitStats
	for route, w := range c.waits {
		w.Median = quantile(c.histograms[route], 50)
		w.Tail = quantile(c.histograms[route], 99)
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b WaitStats) int { return cmp.Compare(a.Route, b.Route) })
	return all
}

// allRefusals returns the refusals in descending order of count.
func (c *waitCounter) allRefusals() []Refusals {
	var all []Refusals
	for _, s := range c.refusals {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Refusals) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status))
	})
	return all
}
