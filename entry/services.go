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

// serviceCall carries one call to a plain service. Its decisions are those of a
// generation with a single frame: the answer.
type serviceCall struct {
	entry    *Entry
	ctx      context.Context
	c        *app.RequestContext
	service  *config.Service
	who      *config.Customer
	gen      *core.Generation
	claim    *claim
	path     string
	body     []byte
	deadline time.Time
	last     netip.AddrPort
	answer   *protocol.Response
	problem  *Problem
}

// passCall passes a call to a service.
func (e *Entry) passCall(ctx context.Context, c *app.RequestContext) {
	d, who, problem := e.enter(ctx, c)
	if problem != nil {
		problem.answer(c)
		return
	}
	defer e.exit()
	if problem := e.pass(ctx, c, d, who); problem != nil {
		countOutcome(who.Name, problem.Outcome, problem.Code)
		problem.answer(c)
	}
}

func (e *Entry) pass(ctx context.Context, c *app.RequestContext, d *config.Document, who *config.Customer) *Problem {
	service := d.Service(c.Param("name"))
	if service == nil {
		return invalid(http.StatusNotFound, "service_not_found", "no service has this name; see the services of the published configuration")
	}
	body, problem := readBody(c, d.Limits.BodyBytes)
	if problem != nil {
		return problem
	}
	customer := e.customerOf(who)
	if !customer.enterService(service.Name, service.Concurrency) {
		return refused(http.StatusTooManyRequests, "too_many_calls", "the customer has as many calls to this service as its concurrency allows; wait for one to end", time.Second)
	}
	defer customer.leaveService(service.Name)
	method := string(c.Method())
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	repeatable := service.Repeatable(method, path) && string(c.GetHeader(repeatableHeader)) != "false"
	k := &serviceCall{
		entry:    e,
		ctx:      ctx,
		c:        c,
		service:  service,
		who:      who,
		path:     path,
		body:     body,
		deadline: time.Now().Add(service.Deadline),
		gen: core.NewGeneration(repeatable, core.GenerationRules{
			Attempts: attempts,
		}),
	}
	if !repeatable {
		claimed, problem := e.claim(ctx, c, who)
		if problem != nil || claimed == nil {
			return problem
		}
		k.claim = claimed
	}
	return k.run()
}

func (k *serviceCall) run() *Problem {
	k.perform(core.PlaceAgain{})
	if k.answer != nil {
		defer protocol.ReleaseResponse(k.answer)
	}
	if k.problem == nil && k.answer != nil {
		k.deliver()
		countOutcome(k.who.Name, core.Ran, "")
	}
	if k.claim != nil {
		k.settle()
	}
	return k.problem
}

func (k *serviceCall) settle() {
	if k.answer == nil {
		k.entry.settle(k.claim, k.gen.Outcome, 0, nil)
		return
	}
	body := append([]byte(nil), k.answer.Body()...)
	k.entry.settle(k.claim, k.gen.Outcome, k.answer.StatusCode(), body)
}

func (k *serviceCall) step(ev core.Event) {
	for _, command := range k.gen.Step(time.Now(), ev) {
		k.perform(command)
	}
}

func (k *serviceCall) perform(command core.Command) {
	switch c := command.(type) {
	case core.PlaceAgain:
		k.place(c)
	case core.SendAttempt:
		k.send(c)
	case core.EndStream:
		if c.Code != core.EndDone {
			k.problem = k.failure(c)
		}
	}
}

// The pauses before another try, so that a server that returns meets no storm.
const (
	retryPause     = 10 * time.Millisecond
	mostRetryPause = 200 * time.Millisecond
)

// place picks a server for the next try, if there is time and budget for one.
func (k *serviceCall) place(c core.PlaceAgain) {
	again := c.Avoid != ""
	if again && (time.Until(k.deadline) <= 0 || !k.entry.customerOf(k.who).mayRetry()) {
		k.step(core.CallerGone{})
		k.problem = k.failure(core.EndStream{
			Outcome: k.gen.Outcome,
			Code:    core.EndRetriesSpent,
		})
		return
	}
	if again {
		retries.Inc()
		time.Sleep(core.Backoff(k.gen.Attempt, retryPause, mostRetryPause, rand.Float64()))
	}
	k.last = k.entry.services.choose(time.Now(), k.service.Addresses, k.last)
	k.step(core.Placed{
		Endpoint:   k.last.String(),
		Generation: newToken(),
	})
}

// tryTime is the time of one try: a repeatable call keeps half of what is left
// for another, so that one late server leaves nobody without an answer.
func (k *serviceCall) tryTime() time.Duration {
	left := time.Until(k.deadline)
	if k.gen.Repeatable && k.gen.Attempt < attempts && len(k.service.Addresses) > 1 {
		return left / 2
	}
	return left
}

func (k *serviceCall) send(c core.SendAttempt) {
	if k.claim != nil && time.Now().After(k.claim.until) || k.tryTime() <= 0 {
		k.entry.services.done(k.last, 0, false)
		k.step(core.CallerGone{})
		return
	}
	k.step(core.Sending{Attempt: c.Attempt})
	r := k.exchange(c)
	k.judge(c, r.resp, r.err)
}

// exchange sends the call and waits for what comes back.
func (k *serviceCall) exchange(c core.SendAttempt) tried {
	if k.mayHedge() {
		return k.hedged(c)
	}
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	k.fill(req, c, k.last)
	return k.try(k.ctx, req, k.last, k.tryTime())
}

func (k *serviceCall) mayHedge() bool {
	return k.service.Hedge && k.gen.Repeatable && len(k.service.Addresses) > 1 && k.times().hedgeAfter() > 0
}

func (k *serviceCall) times() *answerTimes {
	return k.entry.answers.GetOrCreate(k.service.Name, newAnswerTimes)
}

// try sends the call to one server and learns how long its answer took.
func (k *serviceCall) try(ctx context.Context, req *protocol.Request, server netip.AddrPort, timeout time.Duration) tried {
	resp := protocol.AcquireResponse()
	began := time.Now()
	err := k.entry.services.do(ctx, req, resp, timeout, k.gen.Repeatable)
	took := time.Since(began)
	k.entry.services.done(server, took, err != nil && ctx.Err() == nil)
	if err == nil {
		k.times().observe(took)
	}
	return tried{
		resp: resp,
		err:  err,
	}
}

func (k *serviceCall) fill(req *protocol.Request, c core.SendAttempt, server netip.AddrPort) {
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

// judge turns what came back into the call's next event. An answer that names
// another request is crossed and is not the caller's.
func (k *serviceCall) judge(c core.SendAttempt, resp *protocol.Response, err error) {
	echoed := string(resp.Header.Peek(requestIDHeader))
	switch {
	case err != nil && unsent(err):
		k.drop(resp, core.Refused{Attempt: c.Attempt})
	case err != nil:
		k.drop(resp, core.LinkLost{Attempt: c.Attempt})
	case echoed != "" && echoed != c.Origin.Generation:
		droppedLate.Inc()
		k.drop(resp, core.LinkLost{Attempt: c.Attempt})
	case slices.Contains(k.service.RefusalStatuses, resp.StatusCode()):
		k.drop(resp, core.Refused{Attempt: c.Attempt})
	case resp.StatusCode() >= http.StatusInternalServerError && k.gen.Repeatable && k.gen.Attempt < attempts:
		k.drop(resp, core.LinkLost{Attempt: c.Attempt})
	default:
		k.answer = resp
		k.step(core.FrameArrived{
			Attempt: c.Attempt,
			Origin:  c.Origin,
			Final:   true,
		})
	}
}

func (k *serviceCall) drop(resp *protocol.Response, ev core.Event) {
	protocol.ReleaseResponse(resp)
	k.step(ev)
}

func (k *serviceCall) deliver() {
	dropHopHeaders(&k.answer.Header)
	k.answer.CopyTo(&k.c.Response)
	k.c.Response.Header.Set(outcomeHeader, string(core.Ran))
}

func (k *serviceCall) failure(c core.EndStream) *Problem {
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
