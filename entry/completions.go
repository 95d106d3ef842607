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

// attempts is how often a request may be sent, the first time included.
const attempts = 3

// resumeDelay is the pause before a cut stream is read again.
const resumeDelay = 50 * time.Millisecond

func (e *Entry) complete(chat bool) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		d, who, problem := e.enter(ctx, c)
		if problem != nil {
			problem.answer(c)
			return
		}
		defer e.exit()
		if problem = e.parseAndRun(ctx, c, d, who, chat); problem != nil {
			countOutcome(who.Name, problem.Outcome, problem.Code)
			problem.answer(c)
		}
	}
}

func (e *Entry) parseAndRun(ctx context.Context, c *app.RequestContext, d *config.Document, who *config.Customer, chat bool) *Problem {
	body, problem := readBody(c, d.Limits.BodyBytes)
	if problem != nil {
		return problem
	}
	p, problem := parseCompletion(d, body, chat)
	if problem != nil {
		return problem
	}
	return e.run(ctx, c, d, who, p)
}

func (e *Entry) run(ctx context.Context, c *app.RequestContext, d *config.Document, who *config.Customer, p *parsed) *Problem {
	customer := e.customerOf(who)
	boxes := len(e.state.View().List.Boxes)
	if wait := customer.overRate(time.Now(), who, boxes); wait > 0 {
		return refused(http.StatusTooManyRequests, "token_rate", "the customer's token rate is spent; come back later or raise tokens_per_second", wait)
	}
	if !customer.enter(who.MaxStreams) {
		return refused(http.StatusTooManyRequests, "too_many_streams", "the customer has as many streams as max_streams allows; end one first", time.Second)
	}
	defer customer.leave()
	repeatable := string(c.GetHeader(repeatableHeader)) != "false"
	k := e.newCall(ctx, c, d, who, p, repeatable)
	if !repeatable {
		claimed, problem := e.claim(ctx, c, who)
		if problem != nil || claimed == nil {
			return problem
		}
		k.claim = claimed
	}
	return k.run()
}

func (e *Entry) newCall(ctx context.Context, c *app.RequestContext, d *config.Document, who *config.Customer, p *parsed, repeatable bool) *call {
	tier := d.Tier(who.Tier)
	now := time.Now()
	k := &call{
		entry:    e,
		ctx:      ctx,
		c:        c,
		document: d,
		who:      who,
		customer: e.customerOf(who),
		model:    e.modelOf(p.model),
		p:        p,
		request: admission.Request{
			Customer:     who.Name,
			Class:        who.Class,
			Tier:         tier.Name,
			Rank:         tier.Rank,
			Weight:       who.Weight,
			Risk:         tier.Risk,
			PromptTokens: p.prompt,
			MaxTokens:    p.most,
			Prefix:       p.prefix,
			ArrivedAt:    now,
		},
		rules: core.GenerationRules{
			Attempts:     attempts,
			ResumeWindow: d.Limits.ResumeWindow,
			ResumeDelay:  resumeDelay,
		},
		cancelled: make(chan struct{}),
		replaced:  make(chan struct{}),
		name:      newToken(),
	}
	k.pace = pace{
		m:     k.customer.measure(who.Name, who.Class),
		began: now,
	}
	k.gen = core.NewGeneration(repeatable, k.rules)
	e.recorder.Event(now, trace.Generation+k.name, trace.GenerationBegun{
		Repeatable: repeatable,
		Rules:      k.rules,
	})
	if p.stream {
		k.out = newStreamWriter(c, linkOf(ctx), p)
	} else {
		k.out = newWholeWriter(c, p)
	}
	return k
}
