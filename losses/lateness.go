package losses

import (
	"cmp"
	"slices"
	"time"
)

// metTargets are the longest delay of a first event and the longest pause among a route's streams
// that were not late. The route's targets, which logs don't have, are at least as long.
type metTargets struct {
	first time.Duration
	pause time.Duration
}

// logFacts is what the logs of all boxes tell about a request beside its own lines.
type logFacts struct {
	leftAt map[string]time.Time  // when endpoints left
	met    map[string]metTargets // by route
}

// facts returns the facts from all lines read so far.
func (r *Reader) facts() logFacts {
	f := logFacts{
		leftAt: r.leftAt,
		met:    make(map[string]metTargets),
	}
	for _, q := range r.requests {
		if q.outcome == nil || q.outcome.Event != "streamed" || q.outcome.Late {
			continue
		}
		met := f.met[q.route]
		f.met[q.route] = metTargets{
			first: max(met.first, q.outcome.FirstEvent),
			pause: max(met.pause, q.outcome.LongestPause),
		}
	}
	return f
}

func (f logFacts) hasLeft(endpoint string) bool {
	_, left := f.leftAt[endpoint]
	return left
}

// minStutter is the shortest pause between events that readers notice, well above an
// engine's usual time between events.
const minStutter = 150 * time.Millisecond

// isPauseLate reports whether a late stream is late for a pause and not for its first event. If
// only one of the two exceeds what streams of the route that are not late had, it is that one.
func (r *request) isPauseLate(f logFacts) bool {
	o := r.outcome
	if o.Event != "streamed" || o.PauseAfter == "" {
		return false
	}
	met := f.met[r.route]
	slowFirst, longPause := o.FirstEvent > met.first, o.LongestPause > met.pause
	if slowFirst != longPause {
		return longPause
	}
	return o.LongestPause > minStutter
}

// EngineStats counts what made streams at an engine late, and how often its pace changed.
type EngineStats struct {
	Endpoint    string `json:"endpoint"`
	LatePauses  int    `json:"late_pauses"`  // streams that were late for a pause at the engine
	LateFirsts  int    `json:"late_firsts"`  // requests that were late for their first event and had not waited for room
	PaceChanges int    `json:"pace_changes"` // lines of all boxes
}

// maxEngineStats bounds the engines in a report.
const maxEngineStats = 20

// engineStats returns the engines with the most late requests and pace changes.
func engineStats(byEndpoint map[string]*EngineStats) []EngineStats {
	var all []EngineStats
	for _, e := range byEndpoint {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b EngineStats) int {
		return cmp.Or(
			cmp.Compare(b.LatePauses+b.LateFirsts, a.LatePauses+a.LateFirsts),
			cmp.Compare(b.PaceChanges, a.PaceChanges),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
	return all[:min(len(all), maxEngineStats)]
}

// addLate counts a late request at its endpoint.
func (c *counter) addLate(endpoint string, cause Cause) {
	if endpoint == "" || (cause != PauseAtEngine && cause != SlowFirst) {
		return
	}
	e := c.engine(endpoint)
	if cause == PauseAtEngine {
		e.LatePauses++
	} else {
		e.LateFirsts++
	}
}

func (c *counter) engine(endpoint string) *EngineStats {
	e := c.engines[endpoint]
	if e == nil {
		e = &EngineStats{Endpoint: endpoint}
		c.engines[endpoint] = e
	}
	return e
}
