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
	// queryInterval spaces the questions to one engine; each has a price, and an
	// engine's word is half a second old when it is given.
	queryInterval = 500 * time.Millisecond
	// staleQueryInterval spaces them while the list is older than staleList: only the
	// engines themselves tell then that they leave, with 1.5 to 2 s notice, and
	// half a second late.
	staleQueryInterval = 200 * time.Millisecond
	staleListAge       = time.Second
	// queryTimeout bounds one question.
	queryTimeout = 700 * time.Millisecond
	// reportLifetime is how long a report is handed on.
	reportLifetime = 3 * time.Second
	// maxGossipReports bounds the reports in one greeting.
	maxGossipReports = 64
)

// LoadReporter asks an engine for its load.
type LoadReporter interface {
	Report(ctx context.Context, e routing.Endpoint) (routing.Report, error)
}

// RestartedError reports that the server which answered is another incarnation than
// the one that was asked.
type RestartedError struct {
	Started int64 // of the one that answered, Unix milliseconds
}

// Error names the start and the remedy.
func (e *RestartedError) Error() string {
	return fmt.Sprintf("the server has started again, at %d; what is known of it is of its former life", e.Started)
}

// LoadReports knows the load of engines. Each engine is asked by one box, which
// follows from the roster, and that box's greetings tell the others.
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

type timedReport struct {
	routing.Report
	at time.Time
}

// LoadReportsOption changes how a table of reports is built.
type LoadReportsOption func(*LoadReports)

// WithLoadQueryFilter is asked before each question to an engine: one that takes only some requests
// may take none now.
func WithLoadQueryFilter(queryFilter func(routing.Endpoint) bool) LoadReportsOption {
	return func(r *LoadReports) { r.queryFilter = queryFilter }
}

// NewLoadReports builds an empty table; onReport is called with each report that is
// newer than the one before, and with when it was true.
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

// Run asks the engines that fall to this box until the context ends.
func (r *LoadReports) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range r.assignedEngines() {
			go r.query(ctx, e)
		}
		every := queryInterval
		if time.Since(r.state.View().ConfirmedAt) > staleListAge {
			every = staleQueryInterval
		}
		Sleep(ctx, every)
	}
}

// assignedEngines gives the engines that this box asks: those of its group's share for
// which its name hashes highest in the group. A box that knows few of the others yet
// asks none, as all would ask all.
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

// hashesHighest is rendezvous hashing.
func hashesHighest(self string, others []string, key string) bool {
	weight := xxhash.Sum64String(self + "/" + key)
	for _, other := range others {
		if xxhash.Sum64String(other+"/"+key) > weight {
			return false
		}
	}
	return true
}

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
		r.log.Debug("engine gave no report", zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	now := time.Now()
	if report.Leaving {
		r.peers.ReportLeaving(e.ID)
	}
	r.record(now, report)
}

// Clear drops all reports: after a suspension of the machine, they are older than their
// ages say.
func (r *LoadReports) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.latest)
}

// Merge takes reports that another box handed on.
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

// Sample gives the reports to hand on, with their ages: of some engines by id, or of all.
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
