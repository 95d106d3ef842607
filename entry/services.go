package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
)

// serviceCall handles one call to a service. It uses a core.Generation with a single frame,
// the answer, to decide on retries.
type serviceCall struct {
	entry          *Entry
	ctx            context.Context
	c              *app.RequestContext
	service        *config.Service
	customerConfig *config.Customer
	gen            *core.Generation
	claim          *claim
	path           string
	body           []byte
	deadline       time.Time
	lastServer     netip.AddrPort // server of the latest try
	answer         *protocol.Response
	problem        *Problem
}

// handleServiceCall authenticates a caller and forwards its call to a service.
func (e *Entry) handleServiceCall(ctx context.Context, c *app.RequestContext) {
	d, customerConfig, problem := e.beginRequest(ctx, c)
	if problem != nil {
		problem.answer(c)
		return
	}
	defer e.endRequest()
	if problem := e.forwardCall(ctx, c, d, customerConfig); problem != nil {
		countOutcome(customerConfig.Name, problem.Outcome, problem.Code)
		problem.answer(c)
	}
}

func (e *Entry) forwardCall(ctx context.Context, c *app.RequestContext, d *config.Document, customerConfig *config.Customer) *Problem {
	service := d.Service(c.Param("name"))
	if service == nil {
		return newRejection(http.StatusNotFound, "service_not_found", "no service has this name; see the services of the published configuration")
	}
	body, problem := readBody(c, d.Limits.BodyBytes)
	if problem != nil {
		return problem
	}
	customer := e.customerOf(customerConfig)
	if !customer.acquireServiceCall(service.Name, service.Concurrency) {
		return newRefusal(http.StatusTooManyRequests, "too_many_calls", "the customer has as many calls to this service as its concurrency allows; wait for one to end", time.Second)
	}
	defer customer.releaseServiceCall(service.Name)
	method := string(c.Method())
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	repeatable := service.Repeatable(method, path) && string(c.GetHeader(repeatableHeader)) != "false"
	k := &serviceCall{
		entry:          e,
		ctx:            ctx,
		c:              c,
		service:        service,
		customerConfig: customerConfig,
		path:           path,
		body:           body,
		deadline:       time.Now().Add(service.Deadline),
		gen: core.NewGeneration(repeatable, core.GenerationRules{
			Attempts: maxAttempts,
		}),
	}
	if !repeatable {
		claimed, problem := e.claim(ctx, c, customerConfig)
		if problem != nil || claimed == nil {
			return problem
		}
		k.claim = claimed
	}
	return k.run()
}

func (k *serviceCall) run() *Problem {
	k.execute(core.PlaceAgain{})
	if k.answer != nil {
		defer protocol.ReleaseResponse(k.answer)
	}
	if k.problem == nil && k.answer != nil {
		k.deliver()
		countOutcome(k.customerConfig.Name, core.Ran, "")
	}
	if k.claim != nil {
		k.settleClaim()
	}
	return k.problem
}

func (k *serviceCall) settleClaim() {
	if k.answer == nil {
		k.entry.settleClaim(k.claim, k.gen.Outcome, 0, nil)
		return
	}
	body := append([]byte(nil), k.answer.Body()...)
	k.entry.settleClaim(k.claim, k.gen.Outcome, k.answer.StatusCode(), body)
}

func (k *serviceCall) step(ev core.Event) {
	for _, command := range k.gen.Step(time.Now(), ev) {
		k.execute(command)
	}
}

func (k *serviceCall) execute(command core.Command) {
	switch c := command.(type) {
	case core.PlaceAgain:
		k.place(c)
	case core.SendAttempt:
		k.send(c)
	case core.EndStream:
		if c.Code != core.EndDone {
			k.problem = k.failureProblem(c)
		}
	}
}

// The bounds of the delay before a retry, which keeps a recovering server from overload.
const (
	retryBaseDelay = 10 * time.Millisecond
	retryMaxDelay  = 200 * time.Millisecond
)

// place selects a server for the next try, if the deadline and the retry budget allow one.
func (k *serviceCall) place(c core.PlaceAgain) {
	isRetry := c.Avoid != ""
	if isRetry && (time.Until(k.deadline) <= 0 || !k.entry.customerOf(k.customerConfig).takeRetry()) {
		k.step(core.CallerGone{})
		k.problem = k.failureProblem(core.EndStream{
			Outcome: k.gen.Outcome,
			Code:    core.EndRetriesSpent,
		})
		return
	}
	if isRetry {
		retries.Inc()
		time.Sleep(core.Backoff(k.gen.Attempt, retryBaseDelay, retryMaxDelay, rand.Float64()))
	}
	k.lastServer = k.entry.services.pick(time.Now(), k.service.Addresses, k.lastServer)
	k.step(core.Placed{
		Endpoint:   k.lastServer.String(),
		Generation: newToken(),
	})
}

// tryTimeout returns the time limit of one try. A repeatable call reserves half of the
// remaining time for another try.
func (k *serviceCall) tryTimeout() time.Duration {
	left := time.Until(k.deadline)
	if k.gen.Repeatable && k.gen.Attempt < maxAttempts && len(k.service.Addresses) > 1 {
		return left / 2
	}
	return left
}

func (k *serviceCall) send(c core.SendAttempt) {
	if k.claim != nil && time.Now().After(k.claim.until) || k.tryTimeout() <= 0 {
		k.entry.services.recordResult(k.lastServer, 0, false)
		k.step(core.CallerGone{})
		return
	}
	k.step(core.Sending{Attempt: c.Attempt})
	r := k.exchange(c)
	k.handleResult(c, r.resp, r.err)
}

// exchange sends the call and waits for the result.
func (k *serviceCall) exchange(c core.SendAttempt) tryResult {
	if k.mayHedge() {
		return k.exchangeHedged(c)
	}
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	k.fillRequest(req, c, k.lastServer)
	return k.try(k.ctx, req, k.lastServer, k.tryTimeout())
}

func (k *serviceCall) mayHedge() bool {
	return k.service.Hedge && k.gen.Repeatable && len(k.service.Addresses) > 1 && k.latency().hedgeDelay() > 0
}

func (k *serviceCall) latency() *latencyTracker {
	return k.entry.latencies.GetOrCreate(k.service.Name, newLatencyTracker)
}

// try sends the call to one server and records the latency of its answer.
func (k *serviceCall) try(ctx context.Context, req *protocol.Request, server netip.AddrPort, timeout time.Duration) tryResult {
	resp := protocol.AcquireResponse()
	began := time.Now()
	err := k.entry.services.do(ctx, req, resp, timeout, k.gen.Repeatable)
	took := time.Since(began)
	k.entry.services.recordResult(server, took, err != nil && ctx.Err() == nil)
	if err == nil {
		k.latency().observe(took)
	}
	return tryResult{
		resp: resp,
		err:  err,
	}
}

func (k *serviceCall) fillRequest(req *protocol.Request, c core.SendAttempt, server netip.AddrPort) {
	k.c.Request.Header.CopyTo(&req.Header)
	dropHopHeaders(&req.Header)
	req.Header.Del("Authorization")
	req.SetBody(k.body)
	uri := "http://" + server.String() + k.path
	if query := string(k.c.URI().QueryString()); query != "" {
		uri += "?" + query
	}
	req.SetRequestURI(uri)
	req.Header.SetHost(server.String())
	req.Header.Set(requestIDHeader, c.Origin.Generation)
	if !k.gen.Repeatable {
		req.SetConnectionClose()
	}
}

// handleResult converts the result of a try into an event for the generation. A response with
// the ID of another request is dropped.
func (k *serviceCall) handleResult(c core.SendAttempt, resp *protocol.Response, err error) {
	echoed := string(resp.Header.Peek(requestIDHeader))
	switch {
	case err != nil && isUnsent(err):
		k.discard(resp, core.Refused{Attempt: c.Attempt})
	case err != nil:
		k.discard(resp, core.LinkLost{Attempt: c.Attempt})
	case echoed != "" && echoed != c.Origin.Generation:
		droppedLate.Inc()
		k.discard(resp, core.LinkLost{Attempt: c.Attempt})
	case slices.Contains(k.service.RefusalStatuses, resp.StatusCode()):
		k.discard(resp, core.Refused{Attempt: c.Attempt})
	case resp.StatusCode() >= http.StatusInternalServerError && k.gen.Repeatable && k.gen.Attempt < maxAttempts:
		k.discard(resp, core.LinkLost{Attempt: c.Attempt})
	default:
		k.answer = resp
		k.step(core.FrameArrived{
			Attempt: c.Attempt,
			Origin:  c.Origin,
			Final:   true,
		})
	}
}

func (k *serviceCall) discard(resp *protocol.Response, ev core.Event) {
	protocol.ReleaseResponse(resp)
	k.step(ev)
}

func (k *serviceCall) deliver() {
	dropHopHeaders(&k.answer.Header)
	k.answer.CopyTo(&k.c.Response)
	k.c.Response.Header.Set(outcomeHeader, string(core.Ran))
}

func (k *serviceCall) failureProblem(c core.EndStream) *Problem {
	p := endProblem(c)
	p.Outcome = c.Outcome
	if time.Until(k.deadline) <= 0 {
		p.Status = http.StatusGatewayTimeout
		p.Code = "deadline"
		p.Message = "the service didn't answer within its deadline; come back after the time in Retry-After"
		if c.Outcome == core.Unknown && !k.gen.Repeatable {
			p.Message = "the service didn't answer within its deadline and the call may have run; look at its effects first"
		}
	}
	return p
}
