package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// queryInterval is the time between queries of an engine. Shorter intervals would gain
	// little, since an engine's report is about half a second old.
	queryInterval = 500 * time.Millisecond
	// staleQueryInterval applies while the list is older than staleListAge. Then only the
	// engines' reports show that they are leaving, 1.5 to 2 s in advance.
	staleQueryInterval = 200 * time.Millisecond
	staleListAge       = time.Second
	// queryTimeout bounds one query.
	queryTimeout = 700 * time.Millisecond
	// reportLifetime is the age up to which reports are gossiped.
	reportLifetime = 3 * time.Second
	// maxGossipReports bounds the reports in a gossip message.
	maxGossipReports = 64
)

// LoadReporter queries engines for their load.
type LoadReporter interface {
	Report(ctx context.Context, e routing.Endpoint) (routing.Report, error)
}

// RestartedError reports that a query was answered by a later incarnation of the server.
type RestartedError struct {
	Started int64 // start of the later incarnation, in Unix milliseconds
}

// Error implements the error interface.
func (e *RestartedError) Error() string {
	return fmt.Sprintf("server restarted at %d (Unix ms): its previous incarnation is gone", e.Started)
}

// LoadReports holds the latest load report of each engine. Each engine is queried by one box,
// chosen by hash among the boxes of the roster, which sends the report to others by gossip.
type LoadReports struct {
	mu          sync.Mutex
	reporter    LoadReporter
	state       *State
	peers       *Peers
	log         *zap.Logger
	onReport    func(time.Time, routing.Report)
	queryFilter func(routing.Endpoint) bool
	latest      map[string]timedReport
}

// timedReport is a load report with the time of its data.
type timedReport struct {
	routing.Report
	at time.Time
}

// LoadReportsOption configures LoadReports.
type LoadReportsOption func(*LoadReports)

// WithLoadQueryFilter sets a function that reports whether an engine may be queried now, since a
// rate-limited engine may accept no request.
func WithLoadQueryFilter(queryFilter func(routing.Endpoint) bool) LoadReportsOption {
	return func(r *LoadReports) { r.queryFilter = queryFilter }
}

// NewLoadReports returns an empty table. The function onReport is called with each report that
// is newer than the previous one, and with the time of its data.
func NewLoadReports(reporter LoadReporter, state *State, log *zap.Logger, onReport func(time.Time, routing.Report), options ...LoadReportsOption) *LoadReports {
	r := &LoadReports{
		reporter:    reporter,
		state:       state,
		log:         log,
		onReport:    onReport,
		queryFilter: func(routing.Endpoint) bool { return true },
		latest:      make(map[string]timedReport),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run queries the engines assigned to this box until the context ends.
func (r *LoadReports) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range r.assignedEngines() {
			go r.query(ctx, e)
		}
		interval := queryInterval
		if time.Since(r.state.View().ConfirmedAt) > staleListAge {
			interval = staleQueryInterval
		}
		Sleep(ctx, interval)
	}
}

// assignedEngines returns the engines that this box queries: of its group's preferred endpoints,
// those for which this box hashes highest in the group. Until it has discovered its peers a box
// queries none, or every starting box would query all.
func (r *LoadReports) assignedEngines() []routing.Endpoint {
	v := r.state.View()
	if v.Table == nil || !r.peers.HasDiscoveredPeers() {
		return nil
	}
	self, group := r.peers.Self(), r.peers.Group()
	preferred := r.peers.PreferredEndpoints(v)
	var assignedEngines []routing.Endpoint
	for _, s := range v.Table.Document().Services {
		if s.Engine == nil {
			continue
		}
		for _, e := range v.Serving(s.Name) {
			if preferred[e.ID] && hashesHighest(self, group.Members, e.ID) {
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

// query queries one engine and records its report, or that it has restarted.
func (r *LoadReports) query(ctx context.Context, e routing.Endpoint) {
	if !r.queryFilter(e) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	report, err := r.reporter.Report(ctx, e)
	var restarted *RestartedError
	if errors.As(err, &restarted) {
		r.state.MarkRestarted(sourceEngine, e, restarted.Started)
		return
	}
	if err != nil {
		r.log.Debug("querying engine load failed", zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	now := time.Now()
	if report.Leaving {
		r.peers.ReportLeaving(e.ID)
	}
	r.record(now, report)
}

// Clear drops all reports, whose ages are wrong after a machine suspension.
func (r *LoadReports) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.latest)
}

// Merge adds reports that another box sent.
func (r *LoadReports) Merge(now time.Time, reports []routing.Report) {
	for _, report := range reports {
		if report.Age >= 0 && report.Age < reportLifetime {
			if report.Leaving {
				r.state.MarkLeaving(now, sourcePeer, report.Endpoint)
			}
			r.record(now, report)
		}
	}
}

// record stores a report if it is newer than the previous one of its engine.
func (r *LoadReports) record(now time.Time, report routing.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now.Add(-report.Age)
	if !at.After(r.latest[report.Endpoint].at) {
		return
	}
	r.latest[report.Endpoint] = timedReport{
		Report: report,
		at:     at,
	}
	r.onReport(at, report)
}

// Sample returns reports with their ages for gossip, of the given endpoints, or of all if nil.
func (r *LoadReports) Sample(now time.Time, endpoints map[string]bool) []routing.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []routing.Report
	for id, latest := range r.latest {
		age := now.Sub(latest.at)
		if age >= reportLifetime {
			delete(r.latest, id)
			continue
		}
		if len(out) < maxGossipReports && (endpoints == nil || endpoints[id]) {
			latest.Report.Age = age
			out = append(out, latest.Report)
		}
	}
	return out
}
