package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the gateway's metrics.
type counters struct {
	openedConnections *metrics.Counter
	refusedRetries    *metrics.Counter
	continuedStreams  *metrics.Counter
	strayAnswers      *metrics.Counter
	limitNotices      *metrics.Counter // answers that announced a rate limit
	leavingNotices    *metrics.Counter // answers that announced that the endpoint leaves
	backoffs          *metrics.Counter // answers that asked this box to back off
	crashes           *metrics.Counter // endpoint crashes, counted once for each request that was running
}

func newCounters() *counters {
	return &counters{
		openedConnections: metrics.GetOrCreateCounter("dillsaddle_endpoint_connections_opened_total"),
		refusedRetries:    metrics.GetOrCreateCounter("dillsaddle_retry_budget_refusals_total"),
		continuedStreams:  metrics.GetOrCreateCounter("dillsaddle_streams_continued_total"),
		strayAnswers:      metrics.GetOrCreateCounter("dillsaddle_stray_answers_total"),
		limitNotices:      metrics.GetOrCreateCounter("dillsaddle_endpoint_limits_named_total"),
		leavingNotices:    metrics.GetOrCreateCounter("dillsaddle_endpoint_leaving_answers_total"),
		backoffs:          metrics.GetOrCreateCounter("dillsaddle_endpoint_rests_asked_total"),
		crashes:           metrics.GetOrCreateCounter("dillsaddle_endpoints_ended_under_requests_total"),
	}
}

// observeRequest counts a request's outcome by route and customer, and records its duration.
func (c *counters) observeRequest(route, customer, outcome string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_requests_total{route=%q,customer=%q,outcome=%q}", route, customer, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_request_seconds{route=%q}", route)).Update(took.Seconds())
}

// observeMove counts the outcome of a run's turn to be moved off a leaving engine.
func (c *counters) observeMove(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_moves_total{outcome=%q}", outcome)).Inc()
}

// observeNotice records how long an engine ran after it was found to be leaving.
func (c *counters) observeNotice(service string, period time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_leaving_notice_seconds{service=%q}", service)).Update(period.Seconds())
}

// observeStream records the delay of a complete stream's first event and its longest pause.
func (c *counters) observeStream(route string, first, longest time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_first_event_seconds{route=%q}", route)).Update(first.Seconds())
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_longest_pause_seconds{route=%q}", route)).Update(longest.Seconds())
}
