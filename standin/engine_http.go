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

// completionRequest holds the fields of a completion request that the fake engine uses.
type completionRequest struct {
	Model      string          `json:"model"`
	Prompt     json.RawMessage `json:"prompt"`
	Messages   json.RawMessage `json:"messages"`
	MaxTokens  int             `json:"max_tokens"`
	Priority   int             `json:"priority"`
	Generation string          `json:"generation_id"`
}

// defaultMaxTokens applies to requests without max_tokens.
const defaultMaxTokens = 32768

// charactersPerToken approximates a tokenizer.
const charactersPerToken = 4

// HTTPServer returns the engine's HTTP server, not yet started.
func (e *Engine) HTTPServer(address netip.AddrPort) *server.Hertz {
	h := newServer(address)
	h.POST("/v1/completions", e.handleCompletion(false))
	h.POST("/v1/chat/completions", e.handleCompletion(true))
	h.GET("/v1/generations/:id", e.handleResume)
	h.DELETE("/v1/generations/:id", e.handleCancel)
	h.GET("/v1/load", e.handleLoad)
	h.GET("/v1/cache-events", e.handleCacheEvents)
	h.POST("/v1/orders", e.handleOrder)
	h.GET("/control/record", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, e.record()) })
	e.faults.register(h)
	return h
}

func (e *Engine) handleCompletion(chat bool) app.HandlerFunc {
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
		g, started := e.start(q.Generation, q.Model, q.Priority, 1+len(text)/charactersPerToken, q.MaxTokens, hashPrefix(text))
		if !started {
			c.String(http.StatusConflict, "generation id was used before")
			return
		}
		e.stream(ctx, c, g, 0, chat)
	}
}

// prefixBytes is the length of the prompt prefix that the cache is keyed by.
const prefixBytes = 64

func hashPrefix(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text[:min(len(text), prefixBytes)]))
	return h.Sum64()
}

func (e *Engine) handleResume(ctx context.Context, c *app.RequestContext) {
	g := e.attach(c.Param("id"))
	if g == nil {
		c.String(http.StatusNotFound, "no such generation")
		return
	}
	from, _ := strconv.Atoi(c.Query("from"))
	e.stream(ctx, c, g, from, c.Query("chat") == "true")
}

func (e *Engine) handleCancel(_ context.Context, c *app.RequestContext) {
	if !e.cancel(c.Param("id"), c.Query("idle") == "true") {
		c.String(http.StatusNotFound, "no such generation")
		return
	}
	c.String(http.StatusOK, "cancelled")
}

func (e *Engine) handleLoad(_ context.Context, c *app.RequestContext) {
	e.faults.waitForFaults(nil)
	e.mu.Lock()
	reportedLoad := e.reportedLoad
	e.mu.Unlock()
	c.JSON(http.StatusOK, reportedLoad)
}

func (e *Engine) handleCacheEvents(_ context.Context, c *app.RequestContext) {
	after, _ := strconv.Atoi(c.Query("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	c.JSON(http.StatusOK, e.rules.Cache.visible(e.batch.cache.events, after))
}

func (e *Engine) handleOrder(_ context.Context, c *app.RequestContext) {
	var o Order
	if err := json.Unmarshal(c.Request.Body(), &o); err != nil {
		c.String(http.StatusBadRequest, "not an order")
		return
	}
	if !e.applyOrder(o) {
		c.String(http.StatusConflict, "an order with a higher fence was taken")
		return
	}
	c.String(http.StatusOK, "taken")
}

// stream writes a generation's frames from an offset to its end. The caller has attached the
// reader; stream detaches it.
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
	defer e.detach(g)
	if w.body.Flush() != nil {
		return
	}
	for sent := from; ; {
		emitted, ended, discarded, changed := e.progress(g)
		for ; sent < emitted; sent++ {
			if w.writeToken(sent) != nil {
				return
			}
		}
		if discarded {
			w.closeMidStream(c)
			return
		}
		if w.flush(ctx) != nil {
			w.closeMidStream(c)
			return
		}
		if ended {
			w.writeEnd(emitted)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// frameWriter writes a generation's frames to one reader.
type frameWriter struct {
	engine    *Engine
	body      network.ExtWriter
	g         *generation
	chat      bool // frames have the format of the chat API
	buffer    []byte
	heldFrame []byte // held back by the reorder fault until the next frame
	frames    int    // number of frames so far, those lost to faults included
}

// errCut ends a stream because of an injected fault.
type errCut struct{}

func (errCut) Error() string { return "stream cut by an injected fault" }

// writeToken buffers the frame of one token and applies the injected frame faults.
func (w *frameWriter) writeToken(offset int) error {
	frame := w.frame(offset, TokenText(w.g.seq.ID, offset), "null")
	f := w.engine.faults.get()
	w.frames++
	if f.CutEvery > 0 && w.frames%f.CutEvery == 0 {
		return errCut{}
	}
	if f.ReorderEvery > 0 && w.frames%f.ReorderEvery == 0 && w.heldFrame == nil {
		w.heldFrame = frame
		return nil
	}
	w.buffer = append(w.buffer, frame...)
	if f.DuplicateEvery > 0 && w.frames%f.DuplicateEvery == 0 {
		w.buffer = append(w.buffer, frame...)
	}
	w.buffer = append(w.buffer, w.heldFrame...)
	w.heldFrame = nil
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
	return append(append(b, chunkJSON(id, w.g.model, text, reason, w.chat)...), "\n\n"...)
}

func chunkJSON(id, model, text, reason string, chat bool) string {
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
	w.engine.faults.waitForFaults(ctx.Done())
	if _, err := w.body.Write(w.buffer); err != nil {
		return err
	}
	w.buffer = w.buffer[:0]
	return w.body.Flush()
}

// writeEnd writes the last frame, the token usage and the end marker.
func (w *frameWriter) writeEnd(emitted int) {
	w.engine.faults.waitForFaults(nil)
	last := w.frame(emitted, "", strconv.Quote(w.g.reason))
	last = append(w.heldFrame, last...)
	usage := `{"id":"` + w.g.seq.ID + `","choices":[],"usage":{"prompt_tokens":` + strconv.Itoa(w.g.seq.Prompt) +
		`,"completion_tokens":` + strconv.Itoa(emitted) + `,"total_tokens":` + strconv.Itoa(emitted+w.g.seq.Prompt) +
		`},"preempted":` + strconv.Itoa(w.g.seq.Preempted) + `}`
	last = append(last, "data: "+usage+"\n\ndata: [DONE]\n\n"...)
	_, _ = w.body.Write(last)
	_ = w.body.Flush()
}

// closeMidStream writes the buffered frames and closes the connection without an end marker.
func (w *frameWriter) closeMidStream(c *app.RequestContext) {
	_, _ = w.body.Write(w.buffer)
	_ = w.body.Flush()
	_ = c.GetConn().Close()
}
