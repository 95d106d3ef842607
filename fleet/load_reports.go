package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
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
	usage       map[string]engineUsage // by endpoint ID
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
		usage:       make(map[string]engineUsage),
	}
	for _, o := range options {
		o(r)
	}
	return r
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
	if hasLoad(report) {
		r.recordBusy(report.Endpoint, at)
	}
	r.onReport(at, report)
}

// Sample returns reports with their ages for gossip, of the given endpoints, or of all if nil. It
// omits engines that have long been idle, which all boxes assume of an engine without a report.
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
		if len(out) < maxGossipReports && (endpoints == nil || endpoints[id]) && (latest.Leaving || r.inUse(now, id)) {
			latest.Report.Age = age
			out = append(out, latest.Report)
		}
	}
	return out
}
