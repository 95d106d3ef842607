package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counts are the gateway's counters; each has its unit in its name.
type counts struct {
	connections *metrics.Counter
	overBudget  *metrics.Counter
	continued   *metrics.Counter
	strays      *metrics.Counter
	limited     *metrics.Counter // answers in which an endpoint named its limit
	leaving     *metrics.Counter // answers in which an endpoint said that it leaves
	rests       *metrics.Counter // answers in which an endpoint asked this box for rest
	ends        *metrics.Counter // of endpoints, under a request; one that ended under several counts each time
}

func newCounts() *counts {
	return &counts{
		connections: metrics.GetOrCreateCounter("dillsaddle_endpoint_connections_opened_total"),
		overBudget:  metrics.GetOrCreateCounter("dillsaddle_retry_budget_refusals_total"),
		continued:   metrics.GetOrCreateCounter("dillsaddle_streams_continued_total"),
		strays:      metrics.GetOrCreateCounter("dillsaddle_stray_answers_total"),
		limited:     metrics.GetOrCreateCounter("dillsaddle_endpoint_limits_named_total"),
		leaving:     metrics.GetOrCreateCounter("dillsaddle_endpoint_leaving_answers_total"),
		rests:       metrics.GetOrCreateCounter("dillsaddle_endpoint_rests_asked_total"),
		ends:        metrics.GetOrCreateCounter("dillsaddle_endpoints_ended_under_requests_total"),
	}
}

// ended counts a request's end and how long it took, by route and customer.
func (c *counts) ended(route, customer, outcome string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_requests_total{route=%q,customer=%q,outcome=%q}", route, customer, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_request_seconds{route=%q}", route)).Update(took.Seconds())
}

// streamed counts how a whole stream felt: the delay of its first event and its
// longest pause.
func (c *counts) streamed(route string, first, longest time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_first_event_seconds{route=%q}", route)).Update(first.Seconds())
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_longest_pause_seconds{route=%q}", route)).Update(longest.Seconds())
}
