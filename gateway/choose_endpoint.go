package gateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// defaultRetryAfter is the Retry-After of a refusal; by then another endpoint is likely to
// have capacity.
const defaultRetryAfter = 300 * time.Millisecond

const (
	// noConfigRetryAfter is the Retry-After while this box has no configuration, which
	// lasts as long as an outage of the store does: seconds. Most callers try only twice, and
	// would meet the same outage after defaultRetryAfter.
	noConfigRetryAfter = 2 * time.Second
	// retryJitter is the fraction by which jitter varies times in both directions, so that
	// callers refused together do not return together.
	retryJitter = 0.25
)

// jitter returns d, varied randomly by up to retryJitter.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + retryJitter*(2*rand.Float64()-1))).Round(time.Millisecond)
}

// chooseEndpoint chooses the endpoint of the next send and reserves a send there.
func (p *proxiedRequest) chooseEndpoint() core.Event {
	p.gateway.checkSuspension()
	if ev := p.terminalEvent(); ev != nil {
		return ev
	}
	if p.isQuarantined() {
		return core.CallQuarantined{}
	}
	p.view = p.gateway.view()
	if p.forwarded.copyToContinue() != "" {
		return p.placeAtCopy()
	}
	if p.chooseBox(time.Now()) {
		return core.CallPlaced{}
	}
	if p.isHopeless(time.Now()) {
		return core.CallUnplaced{}
	}
	e, ok, ev := p.placeOrWait()
	if ev != nil {
		return ev
	}
	if !ok && p.chooseBoxWithShare(time.Now()) {
		return core.CallPlaced{}
	}
	if !ok {
		return core.CallUnplaced{}
	}
	now := time.Now()
	p.mu.Lock()
	p.endpoint = e
	p.mu.Unlock()
	p.tried[e.ID] = true
	p.placedAt = now
	p.chooseBackup(now)
	p.logDecision("placed", append(append(p.estimateFields(now, e), p.forwarded.logFields()...),
		zap.String("endpoint", e.ID),
		zap.String("endpoint_zone", e.Zone),
		zap.String("backup", p.backup.ID),
		zap.Stringer("content", p.contentDigest),
		zap.Strings("shared_parts", p.loggedParts()),
		zap.Duration("list_age", now.Sub(p.view.ConfirmedAt)),
	)...)
	return core.CallPlaced{}
}

// pickEndpoint picks an endpoint and reserves a send at it. After maxReserveAttempts
// endpoints without a send left, it picks among endpoints without send limits only.
func (p *proxiedRequest) pickEndpoint(now time.Time) (routing.Endpoint, bool) {
	for range maxReserveAttempts {
		e, ok := p.gateway.balancer.Pick(now, p.candidates(now), p.requirements(p.tried))
		if !ok || p.gateway.sendGate.reserve(now, p.service, e) {
			return e, ok
		}
	}
	return p.gateway.balancer.Pick(now, p.unlimitedEndpoints(now), p.requirements(p.tried))
}

// estimateFields returns log fields with the estimates that the choice of an engine used.
func (p *proxiedRequest) estimateFields(now time.Time, e routing.Endpoint) []zap.Field {
	if p.service.Engine == nil {
		return nil
	}
	estimate := p.gateway.balancer.Estimate(now, e, p.requirements(nil))
	return append([]zap.Field{
		zap.Float64("full", math.Round(estimate.MemoryUse*100)/100),
		zap.Duration("ahead", estimate.PrefillDelay.Round(time.Millisecond)),
		zap.Duration("report_age", estimate.ReportAge.Round(time.Millisecond)),
		zap.Duration("heard_age", estimate.RemotePlacementAge.Round(time.Millisecond)),
		zap.Duration("until_first", estimate.UntilFirstEvent.Round(time.Millisecond)),
	}, paceFields(estimate)...)
}

// requirements returns what the request requires of an endpoint, other than those excluded.
func (p *proxiedRequest) requirements(exclude map[string]bool) admission.Requirements {
	req := admission.Requirements{Exclude: exclude}
	if engine := p.service.Engine; engine != nil {
		req.Tokens = p.expectedTokens()
		req.Prompt = p.inbound.PromptTokens
		req.Memory = engine.MemoryTokens
		req.Shared = p.gateway.budgetShare().Boxes > 1
		req.MovableTokens = movableTokens(engine)
		p.addTargets(&req)
	}
	return req
}

// shortNotice is the time for copies off an engine that leaves with the shortest notice,
// which is 1.5 s.
const shortNotice = 1300 * time.Millisecond

// movableTokens returns how many tokens of runs can be copied off an engine within a short
// notice, or 0 if its link's bandwidth is unknown.
func movableTokens(e *routing.Engine) int {
	if !e.SupportsMoves || e.LinkMbps <= 0 || e.BytesPerToken <= 0 {
		return 0
	}
	return int(e.LinkMbps * bitsPerMegabit / bitsPerByte / e.BytesPerToken * shortNotice.Seconds())
}

// expectedTokens estimates the tokens of memory that the run holds at its end.
func (p *proxiedRequest) expectedTokens() int { return p.inbound.PromptTokens + p.expectedOutput() }

// expectedOutput estimates the tokens that the run generates.
func (p *proxiedRequest) expectedOutput() int {
	if p.inbound.LengthHint > 0 {
		return min(p.inbound.LengthHint, p.inbound.MaxTokens)
	}
	return p.inbound.MaxTokens
}

// refuse answers a request that was not sent to any endpoint with an error.
func (p *proxiedRequest) refuse(status int, reason string) {
	p.refuseAs(forwardNotRun, status, reason)
}

// refuseAs does the same and, if another box forwarded the request, tells it the outcome.
func (p *proxiedRequest) refuseAs(outcome forwardOutcome, status int, reason string) {
	p.logDecision("refused", zap.Int("status", status), zap.String("why", reason))
	p.markOutcome(outcome)
	p.writeError(status, reason, p.retryDelay())
	p.countOutcome("refused")
}

// refuseQuarantined answers a quarantined request with an error whose Retry-After is the
// end of the quarantine.
func (p *proxiedRequest) refuseQuarantined(q quarantine) {
	reason := string(q.reason())
	p.logDecision("refused", append(q.logFields(p), zap.Int("status", http.StatusServiceUnavailable), zap.String("why", reason))...)
	p.markOutcome(forwardNotRun)
	p.writeError(http.StatusServiceUnavailable, reason+": it isn't run before the time in Retry-After", q.retryAfter())
	p.countOutcome("quarantined")
}

// giveUp answers a request whose sends all failed. A request that may have run is not
// answered with 503, which promises that it has not.
func (p *proxiedRequest) giveUp(c core.RefuseCall) {
	if p.refusal != nil {
		p.refuseWait(p.refusal)
		return
	}
	status := http.StatusServiceUnavailable
	switch {
	case c.Outcome == core.NotRun:
	case c.Reason == core.ReasonExpired:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	retryAfter := p.retryDelay()
	var quarantineFields []zap.Field
	if c.Reason == core.ReasonQuarantined {
		q, _ := p.findQuarantine()
		retryAfter = q.retryAfter()
		quarantineFields = q.logFields(p)
		c.Reason = q.reason()
	}
	p.logDecision("given up", append(quarantineFields,
		zap.Int("status", status),
		zap.String("outcome", string(c.Outcome)),
		zap.String("why", string(c.Reason)),
		zap.String("endpoint", p.endpoint.ID),
		zap.Int("sends", p.call.Sends()),
		zap.Duration("took", time.Since(p.start)),
		zap.String("customer", p.customerName()),
		zap.Int("rank", p.rank()),
	)...)
	p.markOutcome(outcomeOf(c))
	p.writeError(status, string(c.Reason), retryAfter)
	p.countOutcome("given up")
}

// retryDelay returns the Retry-After of a refusal.
func (p *proxiedRequest) retryDelay() time.Duration {
	if p.view.Table == nil {
		return jitter(noConfigRetryAfter)
	}
	if p.service == nil {
		return defaultRetryAfter
	}
	now := time.Now()
	wait := p.gateway.sendGate.nextSendIn(now, p.allowedEndpoints(func(routing.Endpoint) bool { return true }))
	if wait <= defaultRetryAfter {
		return defaultRetryAfter
	}
	return jitter(wait)
}

func (p *proxiedRequest) writeError(status int, reason string, retryAfter time.Duration) {
	p.limitUnreadBody()
	h := p.writer.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	p.writer.WriteHeader(status)
	if _, err := p.writer.Write([]byte(reason + "\n")); err != nil {
		p.logDecision("caller disconnected before its refusal was written", zap.Error(err))
	}
}

// recordEnd logs and counts the end of a request that is not answered by refuse or giveUp.
func (p *proxiedRequest) recordEnd(outcome string, status int, fields ...zap.Field) {
	p.logDecision(outcome, append(fields,
		zap.Int("status", status),
		zap.String("endpoint", p.endpoint.ID),
		zap.Int("sends", p.call.Sends()),
		zap.String("last_event", p.lastEventID),
		zap.Duration("took", time.Since(p.start)),
		zap.String("customer", p.customerName()),
		zap.Int("rank", p.rank()),
		zap.Bool("late", p.missedTarget()),
	)...)
	p.countOutcome(outcome)
}

// countOutcome counts the end of the request's answer, of which each has one.
func (p *proxiedRequest) countOutcome(outcome string) {
	p.outcome = outcome
	route := ""
	if p.route != nil {
		route = p.route.Name
	}
	p.gateway.counters.observeRequest(route, p.customerName(), outcome, time.Since(p.start))
}

func (p *proxiedRequest) customerName() string {
	if p.customer == nil {
		return ""
	}
	return p.customer.Name
}

// missedTarget reports whether the answer missed a target of its route: the latency target
// with its first event or, for a call, its end, or the pause target between two events.
func (p *proxiedRequest) missedTarget() bool {
	took := p.firstEventDelay
	if p.events == 0 {
		took = time.Since(p.start)
	}
	slow := p.route.LatencyTarget > 0 && took > p.route.LatencyTarget
	return slow || (p.route.PauseTarget > 0 && p.longestPause > p.route.PauseTarget)
}

// logAsync logs an event of the request; unlike logDecision, it is safe to call from
// goroutines other than the request's own.
func (p *proxiedRequest) logAsync(event string, fields ...zap.Field) {
	p.gateway.log.Info(event, append([]zap.Field{zap.String("request", p.inbound.ID)}, fields...)...)
}

// logDecision logs a decision on the request, with its route and configuration version.
func (p *proxiedRequest) logDecision(event string, fields ...zap.Field) {
	route := ""
	if p.route != nil {
		route = p.route.Name
	}
	p.logOnRoute(event, route, fields...)
}

// logOnRoute logs a decision on the request while it had the given route, or none if empty.
func (p *proxiedRequest) logOnRoute(event, route string, fields ...zap.Field) {
	all := make([]zap.Field, 0, len(fields)+3)
	all = append(all, zap.String("request", p.inbound.ID))
	if route != "" {
		all = append(all, zap.String("route", route))
	}
	if p.view.Table != nil {
		all = append(all, zap.Uint64("configuration", p.view.Table.Version()))
	}
	p.gateway.log.Info(event, append(all, fields...)...)
}
