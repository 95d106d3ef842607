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
	// reportEvery spaces the questions to one engine; each has a price, and an
	// engine's word is half a second old when it is given.
	reportEvery = 500 * time.Millisecond
	// staleEvery spaces them while the list is older than staleList: only the
	// engines themselves tell then that they leave, with 1.5 to 2 s notice, and
	// half a second late.
	staleEvery = 200 * time.Millisecond
	staleList  = time.Second
	// reportTime bounds one question.
	reportTime = 700 * time.Millisecond
	// reportLife is how long a report is handed on.
	reportLife = 3 * time.Second
	// reportSample bounds the reports in one greeting.
	reportSample = 64
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
	mu       sync.Mutex
	reporter LoadReporter
	belief   *State
	peers    *Peers
	log      *zap.Logger
	onReport func(time.Time, routing.Report)
	mayAsk   func(routing.Endpoint) bool
	known    map[string]timedReport
}

type timedReport struct {
	routing.Report
	at time.Time
}

// LoadReportsOption changes how a table of reports is built.
type LoadReportsOption func(*LoadReports)

// WithLoadQueryFilter is asked before each question to an engine: one that takes only some requests
// may take none now.
func WithLoadQueryFilter(mayAsk func(routing.Endpoint) bool) LoadReportsOption {
	return func(r *LoadReports) { r.mayAsk = mayAsk }
}

// NewLoadReports builds an empty table; onReport is called with each report that is
// newer than the one before, and with when it was true.
func NewLoadReports(reporter LoadReporter, belief *State, log *zap.Logger, onReport func(time.Time, routing.Report), options ...LoadReportsOption) *LoadReports {
	r := &LoadReports{
		reporter: reporter,
		belief:   belief,
		log:      log,
		onReport: onReport,
		mayAsk:   func(routing.Endpoint) bool { return true },
		known:    make(map[string]timedReport),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run asks the engines that fall to this box until the context ends.
func (r *LoadReports) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range r.mine() {
			go r.ask(ctx, e)
		}
		every := reportEvery
		if time.Since(r.belief.View().ConfirmedAt) > staleList {
			every = staleEvery
		}
		Sleep(ctx, every)
	}
}

// mine gives the engines that this box asks: those of its group's share for
// which its name hashes highest in the group. A box that knows few of the others yet
// asks none, as all would ask all.
func (r *LoadReports) mine() []routing.Endpoint {
	v := r.belief.View()
	if v.Table == nil || !r.peers.IsSettled() {
		return nil
	}
	self, group := r.peers.Self(), r.peers.Group()
	share := r.peers.PreferredEndpoints(v)
	var mine []routing.Endpoint
	for _, s := range v.Table.Document().Services {
		if s.Engine == nil {
			continue
		}
		for _, e := range v.Serving(s.Name) {
			if share[e.ID] && owns(self, group.Members, e.ID) {
				mine = append(mine, e)
			}
		}
	}
	return mine
}

// owns is rendezvous hashing.
func owns(self string, others []string, key string) bool {
	weight := xxhash.Sum64String(self + "/" + key)
	for _, other := range others {
		if xxhash.Sum64String(other+"/"+key) > weight {
			return false
		}
	}
	return true
}

func (r *LoadReports) ask(ctx context.Context, e routing.Endpoint) {
	if !r.mayAsk(e) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	report, err := r.reporter.Report(ctx, e)
	var restarted *RestartedError
	if errors.As(err, &restarted) {
		r.belief.MarkRestarted(fromEngine, e, restarted.Started)
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
	r.take(now, report)
}

// Clear drops all reports: after a suspension of the machine, they are older than their
// ages say.
func (r *LoadReports) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.known)
}

// Merge takes reports that another box handed on.
func (r *LoadReports) Merge(now time.Time, reports []routing.Report) {
	for _, report := range reports {
		if report.Age >= 0 && report.Age < reportLife {
			if report.Leaving {
				r.belief.MarkLeaving(now, fromPeer, report.Endpoint)
			}
			r.take(now, report)
		}
	}
}

func (r *LoadReports) take(now time.Time, report routing.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now.Add(-report.Age)
	if !at.After(r.known[report.Endpoint].at) {
		return
	}
	r.known[report.Endpoint] = timedReport{
		Report: report,
		at:     at,
	}
	r.onReport(at, report)
}

// Sample gives the reports to hand on, with their ages: of some engines by id, or of all.
func (r *LoadReports) Sample(now time.Time, of map[string]bool) []routing.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []routing.Report
	for id, known := range r.known {
		age := now.Sub(known.at)
		if age >= reportLife {
			delete(r.known, id)
			continue
		}
		if len(out) < reportSample && (of == nil || of[id]) {
			known.Report.Age = age
			out = append(out, known.Report)
		}
	}
	return out
}
