package losses

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memoryStep is how wide the rows of believed fullness are, as a part of an engine's
	// memory; ageStep is the same for the age of the engine's report.
	memoryStep = 0.2
	ageStep    = 250 * time.Millisecond
	// engineIdleTime is how long an engine without a run still counts as one that could have
	// been chosen: engines join and end without a line that names them here.
	engineIdleTime = 3 * time.Second
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

// runStep is a run that begins at an engine, goes on at another, or ends.
type runStep struct {
	at        time.Time
	request   string
	endpoint  string // empty for an end
	placed    bool
	memoryUse float64
	reportAge time.Duration
}

// runSteps gives what a line says of a run.
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

// runTracker replays where runs were.
type runTracker struct {
	leftAt       map[string]time.Time
	at           map[string]string          // engines by request
	runsByEngine map[string]map[string]bool // requests by engine
	lastUsed     map[string]time.Time
}

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

// minRuns gives the least runs at any engine that was in use and had not left.
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

// placementStats replays the runs of all boxes and counts each placement by what was believed.
func (r *Reader) placementStats() []PlacementStats {
	slices.SortStableFunc(r.runSteps, func(a, b runStep) int { return a.at.Compare(b.at) })
	now := &runTracker{
		leftAt:       r.leftAt,
		at:           make(map[string]string),
		runsByEngine: make(map[string]map[string]bool),
		lastUsed:     make(map[string]time.Time),
	}
	rows := make(map[statsKey]*PlacementStats)
	for _, s := range r.runSteps {
		if s.placed {
			runs := len(now.runsByEngine[s.endpoint])
			minRuns := min(now.minRuns(s.at), runs)
			late := r.requests[s.request].wasLateOrLost(r.hasLeft)
			for _, key := range s.statsKeys() {
				addPlacement(rows, key, runs, minRuns, late)
			}
		}
		now.apply(s)
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

type statsKey struct {
	by   string
	from float64
}

func (s runStep) statsKeys() []statsKey {
	ages := math.Floor(float64(s.reportAge) / float64(ageStep))
	return []statsKey{
		{by: "full", from: math.Floor(s.memoryUse/memoryStep+epsilon) * memoryStep},
		{by: "report_age", from: ages * ageStep.Seconds()},
	}
}

// epsilon keeps a fullness that is told as a whole step in the row that begins with it.
const epsilon = 1e-9

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

// wasLateOrLost tells whether the request's answer was late or never came.
func (r *request) wasLateOrLost(engineLeft func(endpoint string) bool) bool {
	_, lost := r.loss(engineLeft)
	return lost
}
