package losses

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fullStep is how wide the rows of believed fullness are, as a part of an engine's
	// memory; ageStep is the same for the age of the engine's report.
	fullStep = 0.2
	ageStep  = 250 * time.Millisecond
	// idleTime is how long an engine without a run still counts as one that could have
	// been chosen: engines join and end without a line that names them here.
	idleTime = 3 * time.Second
)

// PlacementStats tells how the prompts fared that boxes placed while they believed the same of the
// chosen engines, and what was true by the logs of all boxes.
type PlacementStats struct {
	By         string  `json:"by"`   // full or report_age
	RangeStart float64 `json:"from"` // of the row's beliefs; seconds for an age
	Count      int     `json:"count"`
	Late       float64 `json:"late"`   // the part whose answers were late or lost
	Runs       float64 `json:"runs"`   // the mean of runs that were at the chosen engine
	MinRuns    float64 `json:"fewest"` // the mean of those at the engine with the fewest
}

// step is a run that begins at an engine, goes on at another, or ends.
type step struct {
	at       time.Time
	request  string
	endpoint string // empty for an end
	placed   bool
	full     float64
	age      time.Duration
}

// steps gives what a line says of a run.
func steps(l Line) (step, bool) {
	s := step{
		at:      l.At,
		request: l.Request,
	}
	switch l.Event {
	case "placed":
		if l.MemoryUse == nil {
			return s, false // a call to a plain service
		}
		s.endpoint = l.Endpoint
		s.placed = true
		s.full = *l.MemoryUse
		s.age = l.ReportAge
	case "continued from a copy", "resumed in another run":
		s.endpoint = l.Endpoint
	case "streamed", "cut", "given up", "caller left":
	default:
		return s, false
	}
	return s, true
}

// running replays where runs were.
type running struct {
	left    map[string]time.Time
	at      map[string]string          // engines by request
	engines map[string]map[string]bool // requests by engine
	used    map[string]time.Time
}

func (r *running) take(s step) {
	if was, known := r.at[s.request]; known {
		delete(r.engines[was], s.request)
		delete(r.at, s.request)
	}
	if s.endpoint == "" {
		return
	}
	if r.engines[s.endpoint] == nil {
		r.engines[s.endpoint] = make(map[string]bool)
	}
	r.engines[s.endpoint][s.request] = true
	r.at[s.request] = s.endpoint
	r.used[s.endpoint] = s.at
}

// fewest gives the least runs at any engine that was in use and had not left.
func (r *running) fewest(now time.Time) int {
	least := math.MaxInt
	for id, runs := range r.engines {
		left, leaves := r.left[id]
		if (leaves && !now.Before(left)) || (len(runs) == 0 && now.Sub(r.used[id]) > idleTime) {
			continue
		}
		least = min(least, len(runs))
	}
	return least
}

// placings replays the runs of all boxes and counts each placement by what was believed.
func (r *Reader) placings() []PlacementStats {
	slices.SortStableFunc(r.steps, func(a, b step) int { return a.at.Compare(b.at) })
	now := &running{
		left:    r.left,
		at:      make(map[string]string),
		engines: make(map[string]map[string]bool),
		used:    make(map[string]time.Time),
	}
	rows := make(map[placingKey]*PlacementStats)
	for _, s := range r.steps {
		if s.placed {
			runs := len(now.engines[s.endpoint])
			fewest := min(now.fewest(s.at), runs)
			late := r.requests[s.request].lateOrLost(r.hasLeft)
			for _, key := range s.keys() {
				count(rows, key, runs, fewest, late)
			}
		}
		now.take(s)
	}
	var all []PlacementStats
	for _, p := range rows {
		n := float64(p.Count)
		p.Late /= n
		p.Runs /= n
		p.MinRuns /= n
		all = append(all, *p)
	}
	slices.SortFunc(all, func(a, b PlacementStats) int {
		return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(a.RangeStart, b.RangeStart))
	})
	return all
}

type placingKey struct {
	by   string
	from float64
}

func (s step) keys() []placingKey {
	ages := math.Floor(float64(s.age) / float64(ageStep))
	return []placingKey{
		{by: "full", from: math.Floor(s.full/fullStep+tiny) * fullStep},
		{by: "report_age", from: ages * ageStep.Seconds()},
	}
}

// tiny keeps a fullness that is told as a whole step in the row that begins with it.
const tiny = 1e-9

func count(rows map[placingKey]*PlacementStats, key placingKey, runs, fewest int, late bool) {
	p := rows[key]
	if p == nil {
		p = &PlacementStats{
			By:         key.by,
			RangeStart: key.from,
		}
		rows[key] = p
	}
	p.Count++
	p.Runs += float64(runs)
	p.MinRuns += float64(fewest)
	if late {
		p.Late++
	}
}

// lateOrLost tells whether the request's answer was late or never came.
func (r *request) lateOrLost(engineLeft func(endpoint string) bool) bool {
	_, lost := r.loss(engineLeft)
	return lost
}
