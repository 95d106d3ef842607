package losses

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	// maxMillis and significantDigits are the range and the precision of the histograms.
	maxMillis         = int64(time.Minute / time.Millisecond)
	significantDigits = 2
	// maxExamples bounds the requests listed in a row.
	maxExamples = 5
)

// Row counts the losses of a route at one moment and for one cause.
type Row struct {
	Route    string   `json:"route"`
	Moment   Moment   `json:"moment"`
	Cause    Cause    `json:"cause"`
	Late     bool     `json:"late"` // the answers were complete, but late
	Count    int      `json:"count"`
	Requests []string `json:"requests"` // examples
}

// StreamStats summarizes the latency of a route's, a customer's or a rank's streams.
type StreamStats struct {
	Name        string        `json:"name"`
	Streams     int64         `json:"streams"`
	FirstMedian time.Duration `json:"first_median_ns"` // time to the first event
	FirstTail   time.Duration `json:"first_p99_ns"`
	PauseMedian time.Duration `json:"pause_median_ns"` // of each stream's longest pause between events
	PauseTail   time.Duration `json:"pause_p99_ns"`
	Stutters    int           `json:"stutters"` // streams with a noticeable pause that wasn't due to a move
}

// Total counts a route's requests.
type Total struct {
	Route        string `json:"route"`
	RequestCount int    `json:"asked"`
	Lost         int    `json:"lost"`
	Late         int    `json:"late"`
}

// Report is the result of analyzing logs.
type Report struct {
	Lines      int              `json:"lines"`
	Skipped    Skipped          `json:"skipped"`
	Totals     []Total          `json:"totals"`
	Rows       []Row            `json:"losses"`
	Routes     []StreamStats    `json:"felt_by_route"`
	Customers  []StreamStats    `json:"felt_by_customer"`
	Ranks      []StreamStats    `json:"felt_by_rank"`
	Placements []PlacementStats `json:"placings"`
	Waits      []WaitStats      `json:"waits"`
	Refusals   []Refusals       `json:"refusals"`
	Engines    []EngineStats    `json:"engines"` // those with late requests or changes of pace, worst first
}

// Reader reads the logs of any number of boxes, in any order.
type Reader struct {
	lines    int
	skipped  Skipped
	requests map[string]*request
	leftAt   map[string]time.Time // when a box first logged that the endpoint was leaving or gone
	runSteps []runStep

	paceChanges map[string]int // by endpoint
}

// NewReader returns an empty Reader.
func NewReader() *Reader {
	return &Reader{
		requests: make(map[string]*request),
		leftAt:   make(map[string]time.Time),

		paceChanges: make(map[string]int),
	}
}

// Read reads a log to its end.
func (r *Reader) Read(from io.Reader) error {
	lines, skipped, err := read(from, r.addLine)
	if r.skipped.Count == 0 {
		r.skipped.First = r.lines + skipped.First
		r.skipped.FirstError = skipped.FirstError
	}
	r.skipped.Count += skipped.Count
	r.lines += lines
	return err
}

// addLine adds a line to its request, or records that an endpoint left or changed its pace.
func (r *Reader) addLine(l Line) {
	if l.Event == "engine pace changed" {
		r.paceChanges[l.Endpoint]++
		return
	}
	if l.Request == "" {
		if l.Event == "endpoint leaving" || l.Event == "endpoint gone" {
			if at, known := r.leftAt[l.Endpoint]; !known || l.At.Before(at) {
				r.leftAt[l.Endpoint] = l.At
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
	q.addLine(l)
	if s, ok := runSteps(l); ok {
		r.runSteps = append(r.runSteps, s)
	}
}

// Report returns the report on all lines read so far.
func (r *Reader) Report() Report {
	c := &counter{
		totals:    make(map[string]*Total),
		rows:      make(map[rowKey]*Row),
		routes:    make(map[string]*streamHistograms),
		customers: make(map[string]*streamHistograms),
		ranks:     make(map[string]*streamHistograms),
		waits:     newWaitCounter(),
		engines:   make(map[string]*EngineStats),
	}
	facts := r.facts()
	for endpoint, n := range r.paceChanges {
		c.engine(endpoint).PaceChanges = n
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		c.count(r.requests[id], facts)
	}
	return Report{
		Lines:      r.lines,
		Skipped:    r.skipped,
		Totals:     c.allTotals(),
		Rows:       c.allRows(),
		Routes:     streamStats(c.routes),
		Customers:  streamStats(c.customers),
		Ranks:      streamStats(c.ranks),
		Placements: r.placementStats(),
		Waits:      c.waits.allWaits(),
		Refusals:   c.waits.allRefusals(),
		Engines:    engineStats(c.engines),
	}
}

// rowKey identifies a Row.
type rowKey struct {
	route  string
	moment Moment
	cause  Cause
	late   bool
}

// counter collects the parts of a report.
type counter struct {
	totals    map[string]*Total
	rows      map[rowKey]*Row
	routes    map[string]*streamHistograms
	customers map[string]*streamHistograms
	ranks     map[string]*streamHistograms
	waits     *waitCounter
	engines   map[string]*EngineStats
}

// count adds a request to the totals and the statistics and, if it was lost or late, to the
// rows.
func (c *counter) count(q *request, f logFacts) {
	t := c.totals[q.route]
	if t == nil {
		t = &Total{Route: q.route}
		c.totals[q.route] = t
	}
	t.RequestCount++
	if q.outcome != nil && q.outcome.Event == "streamed" {
		c.addStream(q)
	}
	l, lost := q.loss(f)
	c.waits.add(q, lost)
	if !lost {
		return
	}
	if l.Late {
		t.Late++
		c.addLate(q.outcome.Endpoint, l.Cause)
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
	if len(row.Requests) < maxExamples {
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

// allRows returns the rows in descending order of count, those of late answers last.
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
