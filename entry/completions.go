package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/trace"
)

// maxAttempts is how often a request may be sent in total.
const maxAttempts = 3

// resumeDelay is the delay before the box reads an interrupted stream again.
const resumeDelay = 50 * time.Millisecond

func (e *Entry) handleCompletion(chat bool) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		d, customerConfig, problem := e.beginRequest(ctx, c)
		if problem != nil {
			problem.answer(c)
			return
		}
		defer e.endRequest()
		if problem = e.parseAndRun(ctx, c, d, customerConfig, chat); problem != nil {
			countOutcome(customerConfig.Name, problem.Outcome, problem.Code)
			problem.answer(c)
		}
	}
}

func (e *Entry) parseAndRun(ctx context.Context, c *app.RequestContext, d *config.Document, customerConfig *config.Customer, chat bool) *Problem {
	body, problem := readBody(c, d.Limits.BodyBytes)
	if problem != nil {
		return problem
	}
	p, problem := parseCompletion(d, body, chat)
	if problem != nil {
		return problem
	}
	return e.run(ctx, c, d, customerConfig, p)
}

func (e *Entry) run(ctx context.Context, c *app.RequestContext, d *config.Document, customerConfig *config.Customer, p *parsedRequest) *Problem {
	customer := e.customerOf(customerConfig)
	boxes := len(e.state.View().List.Boxes)
	if wait := customer.rateLimitDelay(time.Now(), customerConfig, boxes); wait > 0 {
		return newRefusal(http.StatusTooManyRequests, "token_rate", "the customer's token rate is spent; come back later or raise tokens_per_second", wait)
	}
	if !customer.acquireStream(customerConfig.MaxStreams) {
		return newRefusal(http.StatusTooManyRequests, "too_many_streams", "the customer has as many streams as max_streams allows; end one first", time.Second)
	}
	defer customer.releaseStream()
	repeatable := string(c.GetHeader(repeatableHeader)) != "false"
	k := e.newCall(ctx, c, d, customerConfig, p, repeatable)
	if !repeatable {
		claimed, problem := e.claim(ctx, c, customerConfig)
		if problem != nil || claimed == nil {
			return problem
		}
		k.claim = claimed
	}
	return k.run()
}

func (e *Entry) newCall(ctx context.Context, c *app.RequestContext, d *config.Document, customerConfig *config.Customer, parsed *parsedRequest, repeatable bool) *call {
	tier := d.Tier(customerConfig.Tier)
	now := time.Now()
	k := &call{
		entry:          e,
		ctx:            ctx,
		c:              c,
		document:       d,
		customerConfig: customerConfig,
		customer:       e.customerOf(customerConfig),
		model:          e.modelOf(parsed.model),
		parsed:         parsed,
		request: admission.Request{
			Customer:     customerConfig.Name,
			Class:        customerConfig.Class,
			Tier:         tier.Name,
			Rank:         tier.Rank,
			Weight:       customerConfig.Weight,
			Risk:         tier.Risk,
			PromptTokens: parsed.promptTokens,
			MaxTokens:    parsed.maxTokens,
			Prefix:       parsed.prefix,
			ArrivedAt:    now,
		},
		rules: core.GenerationRules{
			Attempts:     maxAttempts,
			ResumeWindow: d.Limits.ResumeWindow,
			ResumeDelay:  resumeDelay,
		},
		cancelled:  make(chan struct{}),
		superseded: make(chan struct{}),
		name:       newToken(),
	}
	k.streamMetrics = streamMetrics{
		histograms: k.customer.metricsFor(customerConfig.Name, customerConfig.Class),
		startedAt:  now,
	}
	k.gen = core.NewGeneration(repeatable, k.rules)
	e.recorder.Event(now, trace.Generation+k.name, trace.GenerationBegun{
		Repeatable: repeatable,
		Rules:      k.rules,
	})
	if parsed.isStreaming {
		k.out = newStreamWriter(c, connOf(ctx), parsed)
	} else {
		k.out = newBufferedWriter(c, parsed)
	}
	return k
}
