package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

// counters are the gateway's metrics.
type counters struct {
	openedConnections *metrics.Counter
	statusChecks      *metrics.Counter // sent to endpoints that may be unreachable
	refusedRetries    *metrics.Counter
	continuedStreams  *metrics.Counter
	strayAnswers      *metrics.Counter
	limitNotices      *metrics.Counter // answers that announced a rate limit
	brittleNotices    *metrics.Counter // answers that announced that the endpoints are brittle
	leavingNotices    *metrics.Counter // answers that announced that the endpoint leaves
	backoffs          *metrics.Counter // answers that asked this box to back off
	quarantinedParts  *metrics.Gauge
	crashes           *metrics.Counter // endpoint crashes, counted once for each request that was running
	waitingOwn        *metrics.Gauge   // requests of this box that wait for room
	waitingRemote     *metrics.Gauge   // the same of other boxes, as far as known
}

func newCounters() *counters {
	return &counters{
		openedConnections: metrics.GetOrCreateCounter("dillsaddle_endpoint_connections_opened_total"),
		statusChecks:      metrics.GetOrCreateCounter("dillsaddle_endpoint_status_checks_total"),
		refusedRetries:    metrics.GetOrCreateCounter("dillsaddle_retry_budget_refusals_total"),
		continuedStreams:  metrics.GetOrCreateCounter("dillsaddle_streams_continued_total"),
		strayAnswers:      metrics.GetOrCreateCounter("dillsaddle_stray_answers_total"),
		limitNotices:      metrics.GetOrCreateCounter("dillsaddle_endpoint_limits_named_total"),
		brittleNotices:    metrics.GetOrCreateCounter("dillsaddle_endpoint_brittle_answers_total"),
		leavingNotices:    metrics.GetOrCreateCounter("dillsaddle_endpoint_leaving_answers_total"),
		backoffs:          metrics.GetOrCreateCounter("dillsaddle_endpoint_rests_asked_total"),
		crashes:           metrics.GetOrCreateCounter("dillsaddle_endpoints_ended_under_requests_total"),
		quarantinedParts:  metrics.GetOrCreateGauge("dillsaddle_quarantined_prompt_parts", nil),
		waitingOwn:        metrics.GetOrCreateGauge(`dillsaddle_waiting_requests{of="own"}`, nil),
		waitingRemote:     metrics.GetOrCreateGauge(`dillsaddle_waiting_requests{of="other boxes"}`, nil),
	}
}

// observeRequest counts a request's outcome by route and customer, and records its duration.
func (c *counters) observeRequest(route, customer, outcome string, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_requests_total{route=%q,customer=%q,outcome=%q}", route, customer, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_request_seconds{route=%q}", route)).Update(took.Seconds())
}

// answerFault is the part of an endpoint's answer for which it was not passed on as whole.
type answerFault string

// The parts.
const (
	faultyHead    answerFault = "head"    // it was cut, isn't valid in HTTP/1.1 or is too large
	faultyBody    answerFault = "body"    // it was cut or isn't framed properly
	faultyEnd     answerFault = "end"     // it ended with its connection, which may have cut it
	faultyContent answerFault = "content" // it isn't signed, is encoded, or refuses without the not-run mark
)

// countFaultyAnswer counts an answer of a service's endpoint that was not passed on as whole.
func (c *counters) countFaultyAnswer(service string, fault answerFault) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_endpoint_answers_faulty_total{service=%q,fault=%q}", service, fault)).Inc()
}

// observePauses counts the prompts sent to an engine during a stream there, by the engine's
// pace relative to the service's median, and whether the stream had a pause beyond its target.
func (c *counters) observePauses(class admission.PaceClass, known bool, exposures int, missed bool) {
	label := "unknown"
	if known {
		label = class.String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_pause_exposures_total{relative_pace=%q}", label)).Add(exposures)
	if missed {
		metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_pauses_missed_total{relative_pace=%q}", label)).Inc()
	}
}

// observeMove counts the outcome of a run's turn to be moved off a leaving engine.
func (c *counters) observeMove(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_moves_total{outcome=%q}", outcome)).Inc()
}

// observeNotice records how long an engine ran after it was found to be leaving.
func (c *counters) observeNotice(service string, period time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_leaving_notice_seconds{service=%q}", service)).Update(period.Seconds())
}

// countSpell counts an engine's slow spell that this box is the first to see.
func (c *counters) countSpell(source spellSource) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_slow_spells_total{seen_by=%q}", source)).Inc()
}

// observeStream records the delay of a complete stream's first event and its longest pause.
func (c *counters) observeStream(route string, first, longest time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_first_event_seconds{route=%q}", route)).Update(first.Seconds())
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_longest_pause_seconds{route=%q}", route)).Update(longest.Seconds())
}

// countWait counts the end of a wait for room, or the refusal of a request that would wait.
func (c *counters) countWait(route string, outcome waitOutcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_waits_total{route=%q,outcome=%q}", route, outcome)).Inc()
}

// observeWait records how long a request waited for room.
func (c *counters) observeWait(route string, priority routing.Priority, took time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("dillsaddle_wait_seconds{route=%q,priority=%q}", route, priorityText(priority))).Update(took.Seconds())
}
