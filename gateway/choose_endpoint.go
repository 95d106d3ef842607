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

// defaultRetryAfter is when a caller that was turned away may come back; long
// enough for another endpoint to have become free.
const defaultRetryAfter = 300 * time.Millisecond

// noConfigRetryAfter is the same while this box knows no configuration. A box that starts
// has one from the store within tens of milliseconds, so that who is refused meets an
// outage of the store, which lasts seconds; a caller that came back after 0.3 s met it
// again, and most callers try twice. Spread is the part by which the times differ, so that
// those who were refused together don't come back together.
const (
	noConfigRetryAfter = 2 * time.Second
	retryJitter        = 0.25
)

// jitter draws a time around another.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + retryJitter*(2*rand.Float64()-1))).Round(time.Millisecond)
}

// chooseEndpoint chooses an endpoint for the next send.
func (p *proxiedRequest) chooseEndpoint() core.Event {
	p.gateway.checkSuspension()
	if ev := p.terminalEvent(); ev != nil {
		return ev
	}
	if p.isQuarantined() {
		return core.CallQuarantined{}
	}
	p.view = p.gateway.view()
	now := time.Now()
	e, ok := p.pickEndpoint(now)
	if !ok {
		return core.CallUnplaced{}
	}
	p.mu.Lock()
	p.endpoint = e
	p.mu.Unlock()
	p.tried[e.ID] = true
	p.placedAt = now
	p.chooseBackup(now)
	p.logDecision("placed", append(p.estimateFields(now, e),
		zap.String("endpoint", e.ID),
		zap.String("endpoint_zone", e.Zone),
		zap.String("backup", p.backup.ID),
		zap.Stringer("content", p.contentDigest),
		zap.Duration("list_age", now.Sub(p.view.Confirmed)),
	)...)
	return core.CallPlaced{}
}

// pickEndpoint chooses an endpoint and keeps a place there if it takes only some requests; after
// some without a place it takes none of them.
func (p *proxiedRequest) pickEndpoint(now time.Time) (routing.Endpoint, bool) {
	for range maxReserveAttempts {
		e, ok := p.gateway.spread.Pick(now, p.candidates(now), p.demand(p.tried))
		if !ok || p.gateway.sendGate.reserve(now, p.service, e) {
			return e, ok
		}
	}
	return p.gateway.spread.Pick(now, p.unlimitedEndpoints(now), p.demand(p.tried))
}

// estimateFields gives what decided the choice of an engine.
func (p *proxiedRequest) estimateFields(now time.Time, e routing.Endpoint) []zap.Field {
	if p.service.Engine == nil {
		return nil
	}
	seen := p.gateway.spread.Estimate(now, e, p.demand(nil))
	return []zap.Field{
		zap.Float64("full", math.Round(seen.MemoryUse*100)/100),
		zap.Duration("ahead", seen.PrefillDelay.Round(time.Millisecond)),
		zap.Duration("report_age", seen.ReportAge.Round(time.Millisecond)),
		zap.Duration("heard_age", seen.RemotePlacementAge.Round(time.Millisecond)),
		zap.Duration("until_first", seen.UntilFirstEvent.Round(time.Millisecond)),
	}
}

func (p *proxiedRequest) demand(exclude map[string]bool) admission.Requirements {
	w := admission.Requirements{Exclude: exclude}
	if engine := p.service.Engine; engine != nil {
		w.Tokens = p.expectedTokens()
		w.Prompt = p.inbound.PromptTokens
		w.Memory = engine.MemoryTokens
		w.Shared = p.gateway.boxes() > 1
		w.MovableTokens = movableTokens(engine)
	}
	return w
}

// shortNotice is what is left of the shortest notice, of a second and a half, for the
// copies off an engine that leaves.
const shortNotice = 1300 * time.Millisecond

// movableTokens gives the tokens of runs that can leave an engine within a short notice, or
// 0 where nobody knows its link.
func movableTokens(e *routing.Engine) int {
	if !e.SupportsMoves || e.LinkMbps <= 0 || e.BytesPerToken <= 0 {
		return 0
	}
	return int(e.LinkMbps * bitsPerMegabit / bitsPerByte / e.BytesPerToken * shortNotice.Seconds())
}

// expectedTokens estimates what a run holds at its end.
func (p *proxiedRequest) expectedTokens() int { return p.inbound.PromptTokens + p.expectedOutput() }

// expectedOutput estimates the tokens that a run generates.
func (p *proxiedRequest) expectedOutput() int {
	if p.inbound.LengthHint > 0 {
		return min(p.inbound.LengthHint, p.inbound.MaxTokens)
	}
	return p.inbound.MaxTokens
}

// refuse answers a request that was not sent anywhere.
func (p *proxiedRequest) refuse(status int, why string) {
	p.logDecision("refused", zap.Int("status", status), zap.String("why", why))
	p.writeError(status, why, p.retryDelay())
	p.countOutcome("refused")
}

// refuseQuarantined answers a request that no endpoint may get. It is told when that
// ends: most callers that repeat by themselves come back sooner, and are refused at once.
func (p *proxiedRequest) refuseQuarantined() {
	why := string(core.ReasonQuarantined)
	p.logDecision("refused", zap.Int("status", http.StatusServiceUnavailable), zap.String("why", why), zap.Stringer("content", p.contentDigest))
	p.writeError(http.StatusServiceUnavailable, why+": it isn't run before the time in Retry-After", p.quarantineRemaining())
	p.countOutcome("quarantined")
}

// giveUp answers a request whose sends all failed. What may have run is never
// told with a status that promises the opposite.
func (p *proxiedRequest) giveUp(c core.RefuseCall) {
	status := http.StatusServiceUnavailable
	switch {
	case c.Outcome == core.NotRun:
	case c.Reason == core.ReasonExpired:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	p.logDecision("given up",
		zap.Int("status", status),
		zap.String("outcome", string(c.Outcome)),
		zap.String("why", string(c.Reason)),
		zap.String("endpoint", p.endpoint.ID),
		zap.Int("sends", p.call.Sends()),
		zap.Duration("took", time.Since(p.start)),
		zap.String("customer", p.customerName()),
		zap.Int("rank", p.rank()),
	)
	retryAfter := p.retryDelay()
	if c.Reason == core.ReasonQuarantined {
		retryAfter = p.quarantineRemaining()
	}
	p.writeError(status, string(c.Reason), retryAfter)
	p.countOutcome("given up")
}

// retryDelay gives when a caller that was refused may try again.
func (p *proxiedRequest) retryDelay() time.Duration {
	if p.view.Table == nil {
		return jitter(noConfigRetryAfter)
	}
	if p.service == nil {
		return defaultRetryAfter
	}
	now := time.Now()
	in := p.gateway.sendGate.nextSendIn(now, p.allowedEndpoints(func(routing.Endpoint) bool { return true }))
	if in <= defaultRetryAfter {
		return defaultRetryAfter
	}
	return jitter(in)
}

func (p *proxiedRequest) writeError(status int, why string, retryAfter time.Duration) {
	h := p.writer.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	p.writer.WriteHeader(status)
	if _, err := p.writer.Write([]byte(why + "\n")); err != nil {
		p.logDecision("caller left before its refusal", zap.Error(err))
	}
}

// recordEnd logs and counts an end that has an answer of its own.
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

func (p *proxiedRequest) countOutcome(outcome string) {
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

// missedTarget tells whether an answer missed its route's target: by its first event or,
// for a call, its end, or by a pause between events.
func (p *proxiedRequest) missedTarget() bool {
	took := p.firstEventDelay
	if p.events == 0 {
		took = time.Since(p.start)
	}
	slow := p.route.Target > 0 && took > p.route.Target
	return slow || (p.route.PauseTarget > 0 && p.longestPause > p.route.PauseTarget)
}

// logAsync logs from beside the passage's own goroutine.
func (p *proxiedRequest) logAsync(event string, fields ...zap.Field) {
	p.gateway.log.Info(event, append([]zap.Field{zap.String("request", p.inbound.ID)}, fields...)...)
}

// logDecision logs one decision on the request, with the configuration's version.
func (p *proxiedRequest) logDecision(event string, fields ...zap.Field) {
	all := make([]zap.Field, 0, len(fields)+3)
	all = append(all, zap.String("request", p.inbound.ID))
	if p.route != nil {
		all = append(all, zap.String("route", p.route.Name))
	}
	if p.view.Table != nil {
		all = append(all, zap.Uint64("configuration", p.view.Table.Version()))
	}
	p.gateway.log.Info(event, append(all, fields...)...)
}
