package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
)

// cancelTimeout bounds a cancel at an endpoint.
const cancelTimeout = 2 * time.Second

// known reads the stream that a path names, if it is the customer's own.
func (e *Entry) known(c *app.RequestContext, customer string) (*identity, *Problem) {
	i, ok := unseal(e.settings.Secret, c.Param("id"))
	if !ok || i.Customer != customer {
		return nil, invalid(http.StatusNotFound, "stream_not_found", "no stream of this customer has this id; use the Dillsaddle-Request of a stream's answer")
	}
	return i, nil
}

// withStream lets a customer in to a stream of its own, or answers why not.
func (e *Entry) withStream(ctx context.Context, c *app.RequestContext, do func(*config.Document, *config.Customer, *identity)) {
	d, who, problem := e.enter(ctx, c)
	if problem != nil {
		problem.answer(c)
		return
	}
	defer e.exit()
	i, problem := e.known(c, who.Name)
	if problem != nil {
		problem.answer(c)
		return
	}
	do(d, who, i)
}

// continueStream goes on with a stream that any box began.
func (e *Entry) continueStream(ctx context.Context, c *app.RequestContext) {
	e.withStream(ctx, c, func(d *config.Document, who *config.Customer, i *identity) { e.goOn(ctx, c, d, who, i) })
}

func (e *Entry) goOn(ctx context.Context, c *app.RequestContext, d *config.Document, who *config.Customer, i *identity) {
	id := c.Param("id")
	next, ok := nextOffset(id, string(c.GetHeader(lastEventHeader)))
	if !ok {
		invalid(http.StatusBadRequest, "invalid_last_event_id", "Last-Event-ID is not of this stream; send the id of its last event").answer(c)
		return
	}
	p := &parsed{
		model:  i.Model,
		chat:   i.Chat,
		stream: true,
		prompt: i.Prompt,
		most:   i.Most,
	}
	k := e.newCall(ctx, c, d, who, p, true)
	k.id = id
	k.gen = core.ContinueGeneration(i.origin(), next, k.rules)
	k.takeOver(i, next)
	k.out.begin(id)
	k.runResumed()
}

// takeOver counts the stream into this box's own use of the endpoint.
func (k *call) takeOver(i *identity, next uint64) {
	if old, here := k.entry.calls.Get(k.id); here {
		old.supersede()
	}
	k.entry.calls.Put(k.id, k)
	k.request.ID = newToken()
	k.placedAs = k.request.ID
	k.model.step(time.Now(), admission.GenerationTakenOver{
		Request:   k.request,
		Endpoint:  i.Endpoint,
		Generated: int(next),
	})
}

func (k *call) runResumed() {
	k.carry(core.Resume{
		Attempt: k.gen.Attempt,
		Origin:  k.gen.Origin,
		From:    k.gen.NextOffset,
	})
}

// cancelStream cancels a stream from any box.
func (e *Entry) cancelStream(ctx context.Context, c *app.RequestContext) {
	e.withStream(ctx, c, func(_ *config.Document, _ *config.Customer, i *identity) { e.cancelKnown(c, i) })
}

func (e *Entry) cancelKnown(c *app.RequestContext, i *identity) {
	if k, here := e.calls.Get(c.Param("id")); here {
		k.cancel()
	}
	if err := e.cancelGeneration(i.origin(), false); err != nil {
		(&Problem{
			Status:     http.StatusServiceUnavailable,
			Code:       "cancel_not_confirmed",
			Message:    "the endpoint didn't confirm the cancel; send it again",
			Outcome:    core.Unknown,
			RetryAfter: time.Second,
		}).answer(c)
		return
	}
	c.Response.Header.Set(outcomeHeader, string(core.Ran))
	c.JSON(http.StatusOK, cancelBody{
		ID:        c.Param("id"),
		Cancelled: true,
	})
}

type cancelBody struct {
	ID        string `json:"id"`
	Cancelled bool   `json:"cancelled"`
}

func (e *Entry) cancelGeneration(origin core.Origin, onlyIdle bool) error {
	d := e.state.View().Document
	settings := d.Endpoint(origin.Endpoint)
	if settings == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return e.worker.Cancel(ctx, settings.Address, origin.Generation, onlyIdle)
}
