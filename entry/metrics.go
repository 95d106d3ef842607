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

// classMetrics holds the metrics of one customer and class.
type classMetrics struct {
	firstToken    *metrics.Histogram
	betweenTokens *metrics.Histogram
	stall         *metrics.Histogram
	queueWait     *metrics.Histogram
	preemptions   *metrics.Counter
	tokens        *metrics.Counter
}

func newClassMetrics(customer, class string) *classMetrics {
	labels := fmt.Sprintf("{customer=%q,class=%q}", customer, class)
	return &classMetrics{
		firstToken:    metrics.GetOrCreateHistogram("dillsaddle_first_token_seconds" + labels),
		betweenTokens: metrics.GetOrCreateHistogram("dillsaddle_between_tokens_seconds" + labels),
		stall:         metrics.GetOrCreateHistogram("dillsaddle_stall_seconds" + labels),
		queueWait:     metrics.GetOrCreateHistogram("dillsaddle_waiting_seconds" + labels),
		preemptions:   metrics.GetOrCreateCounter("dillsaddle_preemptions_total" + labels),
		tokens:        metrics.GetOrCreateCounter("dillsaddle_tokens_total" + labels),
	}
}

func countOutcome(customer string, outcome core.Outcome, code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_outcomes_total{customer=%q,outcome=%q,code=%q}", customer, outcome, code)).Inc()
}

func countDropped(reason core.DropReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_dropped_frames_total{reason=%q}", reason)).Inc()
}

// stallAfter is the longest gap between tokens that is not counted as a stall.
const stallAfter = 250 * time.Millisecond

// streamMetrics records the token timing of one stream.
type streamMetrics struct {
	histograms  *classMetrics
	startedAt   time.Time
	lastTokenAt time.Time
	stalledFor  time.Duration
}

// tokens records that a number of tokens were written together.
func (m *streamMetrics) tokens(now time.Time, count int) {
	m.histograms.tokens.Add(count)
	if m.lastTokenAt.IsZero() {
		m.histograms.firstToken.Update(now.Sub(m.startedAt).Seconds())
		m.lastTokenAt = now
		return
	}
	gap := now.Sub(m.lastTokenAt)
	m.histograms.betweenTokens.Update(gap.Seconds())
	if gap > stallAfter {
		m.stalledFor += gap - stallAfter
	}
	m.lastTokenAt = now
}

func (m *streamMetrics) recordStalls() {
	if !m.lastTokenAt.IsZero() {
		m.histograms.stall.Update(m.stalledFor.Seconds())
	}
}
