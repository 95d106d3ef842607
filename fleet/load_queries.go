package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// queryInterval is the time between queries of an engine in use. Shorter intervals would
	// gain little, since an engine's report is about half a second old.
	queryInterval = 500 * time.Millisecond
	// idleQueryInterval is the time between queries of an idle engine, which find load that no
	// placement announced. Engines close the connection in between.
	idleQueryInterval = time.Minute
	// staleQueryInterval and staleIdleQueryInterval apply while the list is older than
	// staleListAge. Then only the engines' reports show that they are leaving, 1.5 to 2 s in
	// advance.
	staleQueryInterval     = 200 * time.Millisecond
	staleIdleQueryInterval = time.Second
	staleListAge           = time.Second
	// usageTime is how long an engine counts as in use after a placement or a report of load.
	// It covers the lag of the report that shows the placement's run.
	usageTime = 2 * time.Second
)

// engineUsage records when an engine was used and queried.
type engineUsage struct {
	usedAt    time.Time // last placement by the group, or last report of load
	queriedAt time.Time // last query by this box
}

// Run queries the engines assigned to this box until the context ends.
func (r *LoadReports) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval, idleInterval := queryInterval, idleQueryInterval
		if time.Since(r.state.View().ConfirmedAt) > staleListAge {
			interval, idleInterval = staleQueryInterval, staleIdleQueryInterval
		}
		for _, e := range r.dueEngines(time.Now(), idleInterval) {
			go r.query(ctx, e)
		}
		Sleep(ctx, interval)
	}
}

// dueEngines returns the assigned engines to query now, and counts them as queried: those in use,
// and idle ones whose last query is idleInterval ago.
func (r *LoadReports) dueEngines(now time.Time, idleInterval time.Duration) []routing.Endpoint {
	assigned := r.assignedEngines()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []routing.Endpoint
	for _, e := range assigned {
		u, known := r.usage[e.ID]
		if !known {
			// Spreads the queries of engines that become known together.
			u.queriedAt = now.Add(-rand.N(idleQueryInterval))
			r.usage[e.ID] = u
		}
		if !r.inUse(now, e.ID) && now.Sub(u.queriedAt) < idleInterval {
			continue
		}
		u.queriedAt = now
		r.usage[e.ID] = u
		due = append(due, e)
	}
	r.dropUnused(now)
	return due
}

// dropUnused removes the usage records of engines that were neither used nor queried for a while.
func (r *LoadReports) dropUnused(now time.Time) {
	for id, u := range r.usage {
		if now.Sub(u.usedAt) > usageTime && now.Sub(u.queriedAt) > idleQueryInterval {
			delete(r.usage, id)
		}
	}
}

// inUse reports whether an engine was used within usageTime. The caller holds mu.
func (r *LoadReports) inUse(now time.Time, engine string) bool {
	return now.Sub(r.usage[engine].usedAt) < usageTime
}

// recordUse records that a box of the group placed or ended work at an engine.
func (r *LoadReports) recordUse(now time.Time, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordBusy(engine, now)
}

// recordBusy records that an engine had work at a time. The caller holds mu.
func (r *LoadReports) recordBusy(engine string, at time.Time) {
	u := r.usage[engine]
	if at.After(u.usedAt) {
		u.usedAt = at
		r.usage[engine] = u
	}
}

// hasLoad reports whether an engine has work or memory that it can't free.
func hasLoad(report routing.Report) bool {
	return report.Running > 0 || report.Waiting > 0 || report.Used > 0
}

// assignedEngines returns the engines that this box queries: of its group's preferred endpoints,
// those for which this box hashes highest in the group, without the boxes that can't reach them.
// Until it has discovered its peers a box queries none, or every starting box would query all.
func (r *LoadReports) assignedEngines() []routing.Endpoint {
	v := r.state.View()
	if v.Table == nil || !r.peers.HasDiscoveredPeers() {
		return nil
	}
	self := r.peers.Self()
	preferred := r.peers.PreferredEndpoints(v)
	var assignedEngines []routing.Endpoint
	for _, s := range v.Table.Document().Services {
		if s.Engine == nil {
			continue
		}
		members := r.peers.reachingMembers(s.Name)
		for _, e := range v.Serving(s.Name) {
			if preferred[e.ID] && hashesHighest(self, members, e.ID) {
				assignedEngines = append(assignedEngines, e)
			}
		}
	}
	return assignedEngines
}

// hashesHighest reports whether self wins rendezvous hashing for a key.
func hashesHighest(self string, others []string, key string) bool {
	weight := xxhash.Sum64String(self + "/" + key)
	for _, other := range others {
		if xxhash.Sum64String(other+"/"+key) > weight {
			return false
		}
	}
	return true
}
