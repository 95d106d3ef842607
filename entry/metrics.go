package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dillsaddle.example/dillsaddle/core"
)

var (
	droppedLate    = metrics.NewCounter("dillsaddle_dropped_late_answers_total")
	callersLeft    = metrics.NewCounter("dillsaddle_callers_left_total")
	policyFailures = metrics.NewCounter("dillsaddle_policy_failures_total")
	hedges         = metrics.NewCounter("dillsaddle_hedges_total")
	retries        = metrics.NewCounter("dillsaddle_retries_total")
	resumes        = metrics.NewCounter("dillsaddle_resumes_total")
	leaseFaults    = metrics.NewCounter("dillsaddle_lease_faults_total")
	panics         = metrics.NewCounter("dillsaddle_request_panics_total")
)

// measures are the histograms of one customer and class.
type measures struct {
	firstToken *metrics.Histogram
	between    *metrics.Histogram
	stall      *metrics.Histogram
	waiting    *metrics.Histogram
	preempted  *metrics.Counter
	tokens     *metrics.Counter
}

func newMeasures(customer, class string) *measures {
	labels := fmt.Sprintf("{customer=%q,class=%q}", customer, class)
	return &measures{
		firstToken: metrics.GetOrCreateHistogram("dillsaddle_first_token_seconds" + labels),
		between:    metrics.GetOrCreateHistogram("dillsaddle_between_tokens_seconds" + labels),
		stall:      metrics.GetOrCreateHistogram("dillsaddle_stall_seconds" + labels),
		waiting:    metrics.GetOrCreateHistogram("dillsaddle_waiting_seconds" + labels),
		preempted:  metrics.GetOrCreateCounter("dillsaddle_preemptions_total" + labels),
		tokens:     metrics.GetOrCreateCounter("dillsaddle_tokens_total" + labels),
	}
}

func countOutcome(customer string, outcome core.Outcome, code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_outcomes_total{customer=%q,outcome=%q,code=%q}", customer, outcome, code)).Inc()
}

func countDropped(reason core.DropReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_dropped_frames_total{reason=%q}", reason)).Inc()
}

// stallAfter is the silence between tokens that counts as a stall.
const stallAfter = 250 * time.Millisecond

// pace measures the rhythm of one stream.
type pace struct {
	m       *measures
	began   time.Time
	last    time.Time
	stalled time.Duration
}

// tokens notes that some tokens were written together.
func (p *pace) tokens(now time.Time, count int) {
	p.m.tokens.Add(count)
	if p.last.IsZero() {
		p.m.firstToken.Update(now.Sub(p.began).Seconds())
		p.last = now
		return
	}
	gap := now.Sub(p.last)
	p.m.between.Update(gap.Seconds())
	if gap > stallAfter {
		p.stalled += gap - stallAfter
	}
	p.last = now
}

func (p *pace) end() {
	if !p.last.IsZero() {
		p.m.stall.Update(p.stalled.Seconds())
	}
}
