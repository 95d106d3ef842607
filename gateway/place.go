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

// unknownRetryAfter is the same while this box knows no configuration. A box that starts
// has one from the store within tens of milliseconds, so that who is refused meets an
// outage of the store, which lasts seconds; a caller that came back after 0.3 s met it
// again, and most callers try twice. Spread is the part by which the times differ, so that
// those who were refused together don't come back together.
const (
	unknownRetryAfter = 2 * time.Second
	retrySpread       = 0.25
)

// spread draws a time around another.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + retrySpread*(2*rand.Float64()-1))).Round(time.Millisecond)
}

// place chooses an endpoint for the next send.
func (p *passage) place() core.Event {
	p.gateway.look()
	if ev := p.over(); ev != nil {
		return ev
	}
	if p.quarantined() {
		return core.CallQuarantined{}
	}
	p.view = p.gateway.view()
	now := time.Now()
	e, ok := p.pick(now)
	if !ok {
		return core.CallUnplaced{}
	}
	p.mu.Lock()
	p.endpoint = e
	p.mu.Unlock()
	p.tried[e.ID] = true
	p.placedAt = now
	p.chooseBackup(now)
	p.decided("placed", append(p.believed(now, e),
		zap.String("endpoint", e.ID),
		zap.String("endpoint_zone", e.Zone),
		zap.String("backup", p.backup.ID),
		zap.Stringer("content", p.content),
		zap.Duration("list_age", now.Sub(p.view.ConfirmedAt)),
	)...)
	return core.CallPlaced{}
}

// pick chooses an endpoint and keeps a place there if it takes only some requests; after
// some without a place it takes none of them.
func (p *passage) pick(now time.Time) (routing.Endpoint, bool) {
	for range placeTries {
		e, ok := p.gateway.spread.Pick(now, p.candidates(now), p.want(p.tried))
		if !ok || p.gateway.gate.hold(now, p.service, e) {
			return e, ok
		}
	}
	return p.gateway.spread.Pick(now, p.unbounded(now), p.want(p.tried))
}

// believed gives what decided the choice of an engine.
func (p *passage) believed(now time.Time, e routing.Endpoint) []zap.Field {
	if p.service.Engine == nil {
		return nil
	}
	seen := p.gateway.spread.Estimate(now, e, p.want(nil))
	return []zap.Field{
		zap.Float64("full", math.Round(seen.MemoryUse*100)/100),
		zap.Duration("ahead", seen.PrefillDelay.Round(time.Millisecond)),
		zap.Duration("report_age", seen.ReportAge.Round(time.Millisecond)),
		zap.Duration("heard_age", seen.RemotePlacementAge.Round(time.Millisecond)),
		zap.Duration("until_first", seen.UntilFirstEvent.Round(time.Millisecond)),
	}
}

func (p *passage) want(exclude map[string]bool) admission.Requirements {
	w := admission.Requirements{Exclude: exclude}
	if engine := p.service.Engine; engine != nil {
		w.Tokens = p.tokens()
		w.Prompt = p.in.PromptTokens
		w.Memory = engine.MemoryTokens
		w.Shared = p.gateway.boxes() > 1
		w.MovableTokens = movable(engine)
	}
	return w
}

// shortNotice is what is left of the shortest notice, of a second and a half, for the
// copies off an engine that leaves.
const shortNotice = 1300 * time.Millisecond

// movable gives the tokens of runs that can leave an engine within a short notice, or
// 0 where nobody knows its link.
func movable(e *routing.Engine) int {
	if !e.SupportsMoves || e.LinkMbps <= 0 || e.BytesPerToken <= 0 {
		return 0
	}
	return int(e.LinkMbps * bitsPerMegabit / bitsPerByte / e.BytesPerToken * shortNotice.Seconds())
}

// tokens estimates what a run holds at its end.
func (p *passage) tokens() int { return p.in.PromptTokens + p.output() }

// output estimates the tokens that a run generates.
func (p *passage) output() int {
	if p.in.LengthHint > 0 {
		return min(p.in.LengthHint, p.in.MaxTokens)
	}
	return p.in.MaxTokens
}

// refuse answers a request that was not sent anywhere.
func (p *passage) refuse(status int, why string) {
	p.decided("refused", zap.Int("status", status), zap.String("why", why))
	p.problem(status, why, p.comeBack())
	p.count("refused")
}

// refuseQuarantined answers a request that no endpoint may get. It is told when that
// ends: most callers that repeat by themselves come back sooner, and are refused at once.
func (p *passage) refuseQuarantined() {
	why := string(core.ReasonQuarantined)
	p.decided("refused", zap.Int("status", http.StatusServiceUnavailable), zap.String("why", why), zap.Stringer("content", p.content))
	p.problem(http.StatusServiceUnavailable, why+": it isn't run before the time in Retry-After", p.releasedIn())
	p.count("quarantined")
}

// giveUp answers a request whose sends all failed. What may have run is never
// told with a status that promises the opposite.
func (p *passage) giveUp(c core.RefuseCall) {
	status := http.StatusServiceUnavailable
	switch {
	case c.Outcome == core.NotRun:
	case c.Reason == core.ReasonExpired:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	p.decided("given up",
		zap.Int("status", status),
		zap.String("outcome", string(c.Outcome)),
		zap.String("why", string(c.Reason)),
		zap.String("endpoint", p.endpoint.ID),
		zap.Int("sends", p.call.Sends()),
		zap.Duration("took", time.Since(p.start)),
		zap.String("customer", p.customerName()),
		zap.Int("rank", p.rank()),
	)
	retryAfter := p.comeBack()
	if c.Reason == core.ReasonQuarantined {
		retryAfter = p.releasedIn()
	}
	p.problem(status, string(c.Reason), retryAfter)
	p.count("given up")
}

// comeBack gives when a caller that was refused may try again.
func (p *passage) comeBack() time.Duration {
	if p.view.Table == nil {
		return spread(unknownRetryAfter)
	}
	if p.service == nil {
		return defaultRetryAfter
	}
	now := time.Now()
	in := p.gateway.gate.freeIn(now, p.allowed(func(routing.Endpoint) bool { return true }))
	if in <= defaultRetryAfter {
		return defaultRetryAfter
	}
	return spread(in)
}

func (p *passage) problem(status int, why string, retryAfter time.Duration) {
	h := p.writer.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	p.writer.WriteHeader(status)
	if _, err := p.writer.Write([]byte(why + "\n")); err != nil {
		p.decided("caller left before its refusal", zap.Error(err))
	}
}

// ended logs and counts an end that has an answer of its own.
func (p *passage) ended(outcome string, status int, fields ...zap.Field) {
	p.decided(outcome, append(fields,
		zap.Int("status", status),
		zap.String("endpoint", p.endpoint.ID),
		zap.Int("sends", p.call.Sends()),
		zap.String("last_event", p.last),
		zap.Duration("took", time.Since(p.start)),
		zap.String("customer", p.customerName()),
		zap.Int("rank", p.rank()),
		zap.Bool("late", p.late()),
	)...)
	p.count(outcome)
}

func (p *passage) count(outcome string) {
	route := ""
	if p.route != nil {
		route = p.route.Name
	}
	p.gateway.counts.ended(route, p.customerName(), outcome, time.Since(p.start))
}

func (p *passage) customerName() string {
	if p.customer == nil {
		return ""
	}
	return p.customer.Name
}

// late tells whether an answer missed its route's target: by its first event or,
// for a call, its end, or by a pause between events.
func (p *passage) late() bool {
	took := p.first
	if p.events == 0 {
		took = time.Since(p.start)
	}
	slow := p.route.LatencyTarget > 0 && took > p.route.LatencyTarget
	return slow || (p.route.PauseTarget > 0 && p.longest > p.route.PauseTarget)
}

// note logs from beside the passage's own goroutine.
func (p *passage) note(event string, fields ...zap.Field) {
	p.gateway.log.Info(event, append([]zap.Field{zap.String("request", p.in.ID)}, fields...)...)
}

// decided logs one decision on the request, with the configuration's version.
func (p *passage) decided(event string, fields ...zap.Field) {
	all := make([]zap.Field, 0, len(fields)+3)
	all = append(all, zap.String("request", p.in.ID))
	if p.route != nil {
		all = append(all, zap.String("route", p.route.Name))
	}
	if p.view.Table != nil {
		all = append(all, zap.Uint64("configuration", p.view.Table.Version()))
	}
	p.gateway.log.Info(event, append(all, fields...)...)
}
