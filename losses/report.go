package losses

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	// longestTime and timeDigits are the range and the precision of the histograms:
	// a minute, to the hundredth part.
	longestTime = int64(time.Minute / time.Millisecond)
	timeDigits  = 2
	// exampleMost is how many requests a row names.
	exampleMost = 5
)

// Row counts the losses of one route at one moment for one cause.
type Row struct {
	Route    string   `json:"route"`
	Moment   Moment   `json:"moment"`
	Cause    Cause    `json:"cause"`
	Late     bool     `json:"late"` // the answers came all the same
	Count    int      `json:"count"`
	Requests []string `json:"requests"` // the first of them
}

// StreamStats is what the callers of a route, a customer or a rank felt of their streams.
type StreamStats struct {
	Name        string        `json:"name"`
	Streams     int64         `json:"streams"`
	FirstMedian time.Duration `json:"first_median_ns"` // stall: the silence before the first event
	FirstTail   time.Duration `json:"first_p99_ns"`
	PauseMedian time.Duration `json:"pause_median_ns"` // of each stream's longest pause between events
	PauseTail   time.Duration `json:"pause_p99_ns"`
	Stutters    int           `json:"stutters"` // streams with a noticeable pause at their engine: preempted, or beside long prompts
}

// Total counts a route's requests.
type Total struct {
	Route        string `json:"route"`
	RequestCount int    `json:"asked"`
	Lost         int    `json:"lost"`
	Late         int    `json:"late"`
}

// Report is what a log tells of lost requests.
type Report struct {
	Lines      int              `json:"lines"`
	Skipped    Skipped          `json:"skipped"`
	Totals     []Total          `json:"totals"`
	Rows       []Row            `json:"losses"`
	Routes     []StreamStats    `json:"felt_by_route"`
	Customers  []StreamStats    `json:"felt_by_customer"`
	Ranks      []StreamStats    `json:"felt_by_rank"`
	Placements []PlacementStats `json:"placings"`
}

// Reader gathers log lines, of any boxes in any order.
type Reader struct {
	lines    int
	skipped  Skipped
	requests map[string]*request
	left     map[string]time.Time // endpoints, with when a box first heard that they leave
	steps    []step
}

// NewReader builds a reader that has seen nothing.
func NewReader() *Reader {
	return &Reader{
		requests: make(map[string]*request),
		left:     make(map[string]time.Time),
	}
}

// Read takes a whole log.
func (r *Reader) Read(from io.Reader) error {
	lines, skipped, err := read(from, r.take)
	if r.skipped.Count == 0 {
		r.skipped.First = r.lines + skipped.First
		r.skipped.FirstError = skipped.FirstError
	}
	r.skipped.Count += skipped.Count
	r.lines += lines
	return err
}

func (r *Reader) take(l Line) {
	if l.Request == "" {
		if l.Event == "endpoint leaving" || l.Event == "endpoint gone" {
			if at, known := r.left[l.Endpoint]; !known || l.At.Before(at) {
				r.left[l.Endpoint] = l.At
			}
		}
		return
	}
	q := r.requests[l.Request]
	if q == nil {
		q = &request{
			id:    l.Request,
			seams: make(map[string]bool),
		}
		r.requests[l.Request] = q
	}
	q.take(l)
	if s, ok := steps(l); ok {
		r.steps = append(r.steps, s)
	}
}

// Report counts what was read.
func (r *Reader) Report() Report {
	c := &counter{
		totals:    make(map[string]*Total),
		rows:      make(map[rowKey]*Row),
		routes:    make(map[string]*felt),
		customers: make(map[string]*felt),
		ranks:     make(map[string]*felt),
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		c.count(r.requests[id], r.hasLeft)
	}
	return Report{
		Lines:      r.lines,
		Skipped:    r.skipped,
		Totals:     c.allTotals(),
		Rows:       c.allRows(),
		Routes:     feltBy(c.routes),
		Customers:  feltBy(c.customers),
		Ranks:      feltBy(c.ranks),
		Placements: r.placings(),
	}
}

func (r *Reader) hasLeft(endpoint string) bool {
	_, left := r.left[endpoint]
	return left
}

type rowKey struct {
	route  string
	moment Moment
	cause  Cause
	late   bool
}

type counter struct {
	totals    map[string]*Total
	rows      map[rowKey]*Row
	routes    map[string]*felt
	customers map[string]*felt
	ranks     map[string]*felt
}

func (c *counter) count(q *request, hasLeft func(string) bool) {
	t := c.totals[q.route]
	if t == nil {
		t = &Total{Route: q.route}
		c.totals[q.route] = t
	}
	t.RequestCount++
	if q.end != nil && q.end.Event == "streamed" {
		c.feel(q)
	}
	l, lost := q.loss(hasLeft)
	if !lost {
		return
	}
	if l.Late {
		t.Late++
	} else {
		t.Lost++
	}
	key := rowKey{
		route:  l.Route,
		moment: l.Moment,
		cause:  l.Cause,
		late:   l.Late,
	}
	row := c.rows[key]
	if row == nil {
		row = &Row{
			Route:  l.Route,
			Moment: l.Moment,
			Cause:  l.Cause,
			Late:   l.Late,
		}
		c.rows[key] = row
	}
	row.Count++
	if len(row.Requests) < exampleMost {
		row.Requests = append(row.Requests, l.Request)
	}
}

func (c *counter) allTotals() []Total {
	var all []Total
	for _, t := range c.totals {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(a, b Total) int { return cmp.Compare(a.Route, b.Route) })
	return all
}

// allRows gives the rows with the most losses first; late answers come last.
func (c *counter) allRows() []Row {
	var all []Row
	for _, row := range c.rows {
		all = append(all, *row)
	}
	slices.SortFunc(all, func(a, b Row) int {
		if a.Late != b.Late {
			if a.Late {
				return 1
			}
			return -1
		}
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Moment, b.Moment),
			cmp.Compare(a.Cause, b.Cause),
		)
	})
	return all
}
