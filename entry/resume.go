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

// cancelTimeout limits a cancellation request to an endpoint.
const cancelTimeout = 2 * time.Second

// lookupStream decodes the stream ID in the path, if the stream belongs to the customer.
func (e *Entry) lookupStream(c *app.RequestContext, customer string) (*streamIdentity, *Problem) {
	i, ok := decodeStreamID(e.settings.Secret, c.Param("id"))
	if !ok || i.Customer != customer {
		return nil, newRejection(http.StatusNotFound, "stream_not_found", "no stream of this customer has this id; use the Dillsaddle-Request of a stream's answer")
	}
	return i, nil
}

// withStream authenticates the caller, looks up its stream and calls handle, or answers with a
// problem.
func (e *Entry) withStream(ctx context.Context, c *app.RequestContext, handle func(*config.Document, *config.Customer, *streamIdentity)) {
	d, customerConfig, problem := e.beginRequest(ctx, c)
	if problem != nil {
		problem.answer(c)
		return
	}
	defer e.endRequest()
	i, problem := e.lookupStream(c, customerConfig.Name)
	if problem != nil {
		problem.answer(c)
		return
	}
	handle(d, customerConfig, i)
}

// continueStream resumes a stream that any box may have begun.
func (e *Entry) continueStream(ctx context.Context, c *app.RequestContext) {
	e.withStream(ctx, c, func(d *config.Document, customerConfig *config.Customer, i *streamIdentity) {
		e.resumeStream(ctx, c, d, customerConfig, i)
	})
}

func (e *Entry) resumeStream(ctx context.Context, c *app.RequestContext, d *config.Document, customerConfig *config.Customer, i *streamIdentity) {
	id := c.Param("id")
	next, ok := nextOffset(id, string(c.GetHeader(lastEventIDHeader)))
	if !ok {
		newRejection(http.StatusBadRequest, "invalid_last_event_id", "Last-Event-ID is not of this stream; send the id of its last event").answer(c)
		return
	}
	p := &parsedRequest{
		model:        i.Model,
		isChat:       i.Chat,
		isStreaming:  true,
		promptTokens: i.PromptTokens,
		maxTokens:    i.MaxTokens,
	}
	k := e.newCall(ctx, c, d, customerConfig, p, true)
	k.id = id
	k.gen = core.ContinueGeneration(i.origin(), next, k.rules)
	k.registerResumed(i, next)
	k.out.begin(id)
	k.runFromOffset()
}

// registerResumed adds the resumed stream to this box's calls and admission state. A previous
// connection of the stream on this box is ended.
func (k *call) registerResumed(i *streamIdentity, next uint64) {
	if old, found := k.entry.calls.Get(k.id); found {
		old.supersede()
	}
	k.entry.calls.Put(k.id, k)
	k.request.ID = newToken()
	k.placementID = k.request.ID
	k.model.step(time.Now(), admission.GenerationTakenOver{
		Request:   k.request,
		Endpoint:  i.Endpoint,
		Generated: int(next),
	})
}

func (k *call) runFromOffset() {
	k.runFrom(core.Resume{
		Attempt: k.gen.Attempt,
		Origin:  k.gen.Origin,
		From:    k.gen.NextOffset,
	})
}

// cancelStream cancels a stream that any box may have begun.
func (e *Entry) cancelStream(ctx context.Context, c *app.RequestContext) {
	e.withStream(ctx, c, func(_ *config.Document, _ *config.Customer, i *streamIdentity) { e.cancelIdentified(c, i) })
}

func (e *Entry) cancelIdentified(c *app.RequestContext, i *streamIdentity) {
	if k, found := e.calls.Get(c.Param("id")); found {
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

// cancelGeneration cancels a generation on its endpoint. With onlyIdle, a generation that has
// a reader, for example through another box, continues.
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
