package standin

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// completionRequest is the part of a completion request that an engine reads.
type completionRequest struct {
	Model      string          `json:"model"`
	Prompt     json.RawMessage `json:"prompt"`
	Messages   json.RawMessage `json:"messages"`
	MaxTokens  int             `json:"max_tokens"`
	Priority   int             `json:"priority"`
	Generation string          `json:"generation_id"`
}

// defaultMaxTokens is used when a request names none.
const defaultMaxTokens = 32768

// charactersPerToken is the stand-in's tokenizer.
const charactersPerToken = 4

// HTTPServer builds the engine's HTTP server.
func (e *Engine) HTTPServer(address netip.AddrPort) *server.Hertz {
	h := newServer(address)
	h.POST("/v1/completions", e.complete(false))
	h.POST("/v1/chat/completions", e.complete(true))
	h.GET("/v1/generations/:id", e.resume)
	h.DELETE("/v1/generations/:id", e.drop)
	h.GET("/v1/load", e.showLoad)
	h.GET("/v1/cache-events", e.showCache)
	h.POST("/v1/orders", e.takeOrder)
	h.GET("/control/record", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, e.record()) })
	e.faults.register(h)
	return h
}

func (e *Engine) complete(chat bool) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var q completionRequest
		if err := json.Unmarshal(c.Request.Body(), &q); err != nil {
			c.String(http.StatusBadRequest, "bad request")
			return
		}
		if e.faults.get().Refuse {
			c.String(http.StatusServiceUnavailable, "not started")
			return
		}
		if !slices.Contains(e.rules.Models, q.Model) {
			c.String(http.StatusNotFound, "no such model")
			return
		}
		if q.MaxTokens <= 0 {
			q.MaxTokens = defaultMaxTokens
		}
		text := string(q.Prompt) + string(q.Messages)
		g, fresh := e.start(q.Generation, q.Model, q.Priority, 1+len(text)/charactersPerToken, q.MaxTokens, prefixOf(text))
		if !fresh {
			c.String(http.StatusConflict, "generation id was used before")
			return
		}
		e.stream(ctx, c, g, 0, chat)
	}
}

// prefixBytes is the length of a prompt's start that counts as its prefix.
const prefixBytes = 64

func prefixOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text[:min(len(text), prefixBytes)]))
	return h.Sum64()
}

func (e *Engine) resume(ctx context.Context, c *app.RequestContext) {
	g := e.find(c.Param("id"))
	if g == nil {
		c.String(http.StatusNotFound, "no such generation")
		return
	}
	from, _ := strconv.Atoi(c.Query("from"))
	e.stream(ctx, c, g, from, c.Query("chat") == "true")
}

func (e *Engine) drop(_ context.Context, c *app.RequestContext) {
	if !e.cancel(c.Param("id"), c.Query("idle") == "true") {
		c.String(http.StatusNotFound, "no such generation")
		return
	}
	c.String(http.StatusOK, "cancelled")
}

func (e *Engine) showLoad(_ context.Context, c *app.RequestContext) {
	e.faults.hold(nil)
	e.mu.Lock()
	shown := e.shown
	e.mu.Unlock()
	c.JSON(http.StatusOK, shown)
}

func (e *Engine) showCache(_ context.Context, c *app.RequestContext) {
	after, _ := strconv.Atoi(c.Query("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	c.JSON(http.StatusOK, e.rules.Cache.seen(e.batch.cache.log, after))
}

func (e *Engine) takeOrder(_ context.Context, c *app.RequestContext) {
	var o Order
	if err := json.Unmarshal(c.Request.Body(), &o); err != nil {
		c.String(http.StatusBadRequest, "not an order")
		return
	}
	if !e.order(o) {
		c.String(http.StatusConflict, "an order with a higher fence was taken")
		return
	}
	c.String(http.StatusOK, "taken")
}

// stream writes a generation's frames from an offset until its end, for a reader
// that start or find counted.
func (e *Engine) stream(ctx context.Context, c *app.RequestContext, g *generation, from int, chat bool) {
	c.Response.Header.SetContentType("text/event-stream")
	c.Response.Header.Set("Engine-Incarnation", strconv.FormatUint(e.incarnation, 10))
	w := &frameWriter{
		engine: e,
		body:   resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()),
		g:      g,
		chat:   chat,
	}
	c.Response.HijackWriter(w.body)
	defer e.leave(g)
	if w.body.Flush() != nil {
		return
	}
	for sent := from; ; {
		made, ended, gone, changed := e.progress(g)
		for ; sent < made; sent++ {
			if w.token(sent) != nil {
				return
			}
		}
		if gone {
			w.cut(c)
			return
		}
		if w.flush(ctx) != nil {
			w.cut(c)
			return
		}
		if ended {
			w.finish(made)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

type frameWriter struct {
	engine *Engine
	body   network.ExtWriter
	g      *generation
	chat   bool
	buffer []byte
	held   []byte
	frames int
}

// errCut ends a stream because the stand-in was told to.
type errCut struct{}

func (errCut) Error() string { return "cut" }

func (w *frameWriter) token(offset int) error {
	frame := w.frame(offset, TokenText(w.g.seq.ID, offset), "null")
	f := w.engine.faults.get()
	w.frames++
	if f.CutEvery > 0 && w.frames%f.CutEvery == 0 {
		return errCut{}
	}
	if f.ReorderEvery > 0 && w.frames%f.ReorderEvery == 0 && w.held == nil {
		w.held = frame
		return nil
	}
	w.buffer = append(w.buffer, frame...)
	if f.DuplicateEvery > 0 && w.frames%f.DuplicateEvery == 0 {
		w.buffer = append(w.buffer, frame...)
	}
	w.buffer = append(w.buffer, w.held...)
	w.held = nil
	return nil
}

func (w *frameWriter) frame(offset int, text, reason string) []byte {
	id := w.g.seq.ID
	b := make([]byte, 0, 256)
	b = append(b, "id: "...)
	b = strconv.AppendUint(b, w.engine.incarnation, 10)
	b = append(b, '/')
	b = append(b, id...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, "\ndata: "...)
	return append(append(b, chunk(id, w.g.model, text, reason, w.chat)...), "\n\n"...)
}

func chunk(id, model, text, reason string, chat bool) string {
	var b strings.Builder
	object, field := "text_completion", `"text":`+strconv.Quote(text)
	if chat {
		object, field = "chat.completion.chunk", `"delta":{"content":`+strconv.Quote(text)+`}`
	}
	b.WriteString(`{"id":"` + id + `","object":"` + object + `","created":0,"model":"` + model + `","choices":[{"index":0,`)
	b.WriteString(field + `,"finish_reason":` + reason + `}]}`)
	return b.String()
}

func (w *frameWriter) flush(ctx context.Context) error {
	if len(w.buffer) == 0 {
		return nil
	}
	w.engine.faults.hold(ctx.Done())
	if _, err := w.body.Write(w.buffer); err != nil {
		return err
	}
	w.buffer = w.buffer[:0]
	return w.body.Flush()
}

func (w *frameWriter) finish(made int) {
	w.engine.faults.hold(nil)
	last := w.frame(made, "", strconv.Quote(w.g.reason))
	last = append(w.held, last...)
	usage := `{"id":"` + w.g.seq.ID + `","choices":[],"usage":{"prompt_tokens":` + strconv.Itoa(w.g.seq.Prompt) +
		`,"completion_tokens":` + strconv.Itoa(made) + `,"total_tokens":` + strconv.Itoa(made+w.g.seq.Prompt) +
		`},"preempted":` + strconv.Itoa(w.g.seq.Preempted) + `}`
	last = append(last, "data: "+usage+"\n\ndata: [DONE]\n\n"...)
	_, _ = w.body.Write(last)
	_ = w.body.Flush()
}

// cut closes the connection in the middle of a stream.
func (w *frameWriter) cut(c *app.RequestContext) {
	_, _ = w.body.Write(w.buffer)
	_ = w.body.Flush()
	_ = c.GetConn().Close()
}
