package losses

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memoryStep and ageStep are the widths of the ranges that placements are grouped by:
	// memory use as a fraction of the engine's memory, and age of the load report.
	memoryStep = 0.2
	ageStep    = 250 * time.Millisecond
	// engineIdleTime is how long an engine without runs counts as available after its last
	// run, since the log lines read here don't say when engines join and crash.
	engineIdleTime = 3 * time.Second
)

// PlacementStats summarizes the placements of prompts for one range of the chosen engines'
// estimated memory use or report age. Run counts are derived from the logs of all boxes.
type PlacementStats struct {
	By         string  `json:"by"`   // "full", the estimated memory use, or "report_age"
	RangeStart float64 `json:"from"` // a fraction of the memory, or seconds
	Count      int     `json:"count"`
	Late       float64 `json:"late"`   // fraction of prompts with a late or lost answer
	Runs       float64 `json:"runs"`   // mean number of runs at the chosen engine
	MinRuns    float64 `json:"fewest"` // mean number of runs at the engine with the fewest
}

// runStep is the start of a run at an engine, its continuation at another, or its end.
type runStep struct {
	at        time.Time
	request   string
	endpoint  string // empty for the end of a run
	placed    bool
	memoryUse float64
	reportAge time.Duration
}

// runSteps returns the step of a run that a line records, if any.
func runSteps(l Line) (runStep, bool) {
	s := runStep{
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
		s.memoryUse = *l.MemoryUse
		s.reportAge = l.ReportAge
	case "continued from a copy", "resumed in another run":
		s.endpoint = l.Endpoint
	case "streamed", "cut", "given up", "caller left":
	default:
		return s, false
	}
	return s, true
}

// runTracker replays run steps and tracks which engine each run is at.
type runTracker struct {
	leftAt       map[string]time.Time
	at           map[string]string          // engine by request
	runsByEngine map[string]map[string]bool // set of requests by engine
	lastUsed     map[string]time.Time       // start of the last run by engine
}

// apply starts, continues or ends a run.
func (r *runTracker) apply(s runStep) {
	if was, known := r.at[s.request]; known {
		delete(r.runsByEngine[was], s.request)
		delete(r.at, s.request)
	}
	if s.endpoint == "" {
		return
	}
	if r.runsByEngine[s.endpoint] == nil {
		r.runsByEngine[s.endpoint] = make(map[string]bool)
	}
	r.runsByEngine[s.endpoint][s.request] = true
	r.at[s.request] = s.endpoint
	r.lastUsed[s.endpoint] = s.at
}

// minRuns returns the lowest number of runs at any engine that is in use and hasn't left.
func (r *runTracker) minRuns(now time.Time) int {
	least := math.MaxInt
	for id, runs := range r.runsByEngine {
		leftAt, leaves := r.leftAt[id]
		if (leaves && !now.Before(leftAt)) || (len(runs) == 0 && now.Sub(r.lastUsed[id]) > engineIdleTime) {
			continue
		}
		least = min(least, len(runs))
	}
	return least
}

// placementStats replays the runs of all boxes and groups the placements.
func (r *Reader) placementStats() []PlacementStats {
	slices.SortStableFunc(r.runSteps, func(a, b runStep) int { return a.at.Compare(b.at) })
	tracker := &runTracker{
		leftAt:       r.leftAt,
		at:           make(map[string]string),
		runsByEngine: make(map[string]map[string]bool),
		lastUsed:     make(map[string]time.Time),
	}
	rows := make(map[statsKey]*PlacementStats)
	facts := r.facts()
	for _, s := range r.runSteps {
		if s.placed {
			runs := len(tracker.runsByEngine[s.endpoint])
			minRuns := min(tracker.minRuns(s.at), runs)
			late := r.requests[s.request].wasLateOrLost(facts)
			for _, key := range s.statsKeys() {
				addPlacement(rows, key, runs, minRuns, late)
			}
		}
		tracker.apply(s)
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

// statsKey is a range of the memory use or the report age.
type statsKey struct {
	by   string
	from float64
}

// statsKeys returns the ranges that a placement is counted in.
func (s runStep) statsKeys() []statsKey {
	ages := math.Floor(float64(s.reportAge) / float64(ageStep))
	return []statsKey{
		{by: "full", from: math.Floor(s.memoryUse/memoryStep+epsilon) * memoryStep},
		{by: "report_age", from: ages * ageStep.Seconds()},
	}
}

// epsilon keeps a memory use that is a multiple of memoryStep in the range that it begins,
// despite rounding errors.
const epsilon = 1e-9

// addPlacement adds a placement to the sums of its range.
func addPlacement(rows map[statsKey]*PlacementStats, key statsKey, runs, minRuns int, late bool) {
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
	p.MinRuns += float64(minRuns)
	if late {
		p.Late++
	}
}

// wasLateOrLost reports whether the request's answer was late or lost.
func (r *request) wasLateOrLost(f logFacts) bool {
	_, lost := r.loss(f)
	return lost
}
