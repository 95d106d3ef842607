package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
)

// streamWriter writes a response as server-sent events. Tokens that are available together
// are sent in one write.
type streamWriter struct {
	c      *app.RequestContext
	conn   *callerConn
	body   network.ExtWriter
	parsed *parsedRequest
	buffer []byte
}

func newStreamWriter(c *app.RequestContext, conn *callerConn, parsed *parsedRequest) *streamWriter {
	return &streamWriter{
		c:      c,
		conn:   conn,
		parsed: parsed,
	}
}

func (w *streamWriter) begin(id string) {
	h := &w.c.Response.Header
	h.SetContentType("text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set(requestHeader, id)
	w.c.Response.SetStatusCode(http.StatusOK)
	w.body = resp.NewChunkedBodyWriter(&w.c.Response, w.c.GetWriter())
	w.c.Response.HijackWriter(w.body)
}

func (w *streamWriter) writeToken(id string, offset uint64, data []byte) {
	w.appendEvent(id, offset, eventMark(""), data)
}

// appendEvent adds an event to the buffer. Its ID has the offset and, for events after the last
// token, a mark, so that event IDs are unique in the stream.
func (w *streamWriter) appendEvent(id string, offset uint64, mark eventMark, data []byte) {
	w.appendEventID(id, offset, mark)
	b := append(w.buffer, "data: "...)
	b = append(b, data...)
	w.buffer = append(b, "\n\n"...)
}

func (w *streamWriter) appendEventID(id string, offset uint64, mark eventMark) {
	b := append(w.buffer, "id: "...)
	b = append(b, eventTag(id)...)
	b = append(b, '.')
	b = strconv.AppendUint(b, offset, 10)
	if mark != "" {
		b = append(b, '.')
		b = append(b, mark...)
	}
	w.buffer = append(b, '\n')
}

// flush writes the buffered events. A caller that reads nothing blocks the write, and thereby
// its endpoint's connection, until it is found to be slow.
func (w *streamWriter) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	if _, err := w.body.Write(w.buffer); err != nil {
		return err
	}
	w.buffer = w.buffer[:0]
	if err := w.body.Flush(); err != nil {
		return err
	}
	if w.conn.isSlow.Load() {
		return errSlowCaller
	}
	return nil
}

// completionResponse is the body of a non-streamed response. It is also the usage chunk of a
// stream, in which the choices are empty.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usageBody          `json:"usage"`
	Outcome core.Outcome       `json:"Dillsaddle-Outcome"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsageBody(u engine.Usage) usageBody {
	return usageBody{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.PromptTokens + u.CompletionTokens,
	}
}

func (w *streamWriter) finish(id string, offset uint64, last engine.Finished) error {
	if !w.parsed.includeUsage {
		w.writeToken(id, offset, appendOutcome(last.Data, core.Ran))
		return w.writeDone(id, offset, core.Ran)
	}
	w.writeToken(id, offset, last.Data)
	chunk, err := json.Marshal(completionResponse{
		ID:      last.Origin.Generation,
		Object:  objectName(w.parsed.isChat, true),
		Created: time.Now().Unix(),
		Model:   w.parsed.model,
		Choices: []completionChoice{},
		Usage:   newUsageBody(last.Usage),
		Outcome: core.Ran,
	})
	if err != nil {
		return err
	}
	w.appendEvent(id, offset, markUsage, chunk)
	return w.writeDone(id, offset, core.Ran)
}

// appendOutcome adds the outcome as the last field of a JSON chunk.
func appendOutcome(data []byte, outcome core.Outcome) []byte {
	trimmed := bytes.TrimRight(data, " \n")
	if len(trimmed) < 2 || trimmed[len(trimmed)-1] != '}' {
		return data
	}
	out := append([]byte(nil), trimmed[:len(trimmed)-1]...)
	out = append(out, `,"`+outcomeHeader+`":"`...)
	out = append(out, outcome...)
	return append(out, `"}`...)
}

// writeDone writes the event that ends a stream. The outcome is an additional event field,
// which clients that don't know it ignore.
func (w *streamWriter) writeDone(id string, offset uint64, outcome core.Outcome) error {
	w.appendEventID(id, offset, markDone)
	w.buffer = append(w.buffer, outcomeHeader+": "...)
	w.buffer = append(w.buffer, outcome...)
	w.buffer = append(w.buffer, "\ndata: [DONE]\n\n"...)
	return w.flush()
}

func (w *streamWriter) fail(id string, offset uint64, p *Problem) bool {
	if w.body == nil {
		return false
	}
	text, err := json.Marshal(p.body())
	if err != nil {
		return true
	}
	last := offset
	if last > 0 {
		last--
	}
	w.appendEvent(id, last, markError, text)
	_ = w.writeDone(id, last, p.Outcome)
	if w.conn.isSlow.Load() {
		w.c.Response.SetConnectionClose()
	}
	return true
}

func objectName(chat, chunk bool) string {
	switch {
	case chat && chunk:
		return "chat.completion.chunk"
	case chat:
		return "chat.completion"
	}
	return "text_completion"
}

// bufferedWriter collects a stream into a single response.
type bufferedWriter struct {
	c      *app.RequestContext
	parsed *parsedRequest
	text   strings.Builder
	id     string
}

func newBufferedWriter(c *app.RequestContext, parsed *parsedRequest) *bufferedWriter {
	return &bufferedWriter{
		c:      c,
		parsed: parsed,
	}
}

type tokenChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Reason string `json:"finish_reason"`
	} `json:"choices"`
}

func (w *bufferedWriter) begin(id string) { w.id = id }

func (w *bufferedWriter) writeToken(_ string, _ uint64, data []byte) {
	var t tokenChunk
	if json.Unmarshal(data, &t) != nil || len(t.Choices) == 0 {
		return
	}
	w.text.WriteString(t.Choices[0].Text)
	w.text.WriteString(t.Choices[0].Delta.Content)
}

func (w *bufferedWriter) flush() error { return nil }

type completionChoice struct {
	Index   int                `json:"index"`
	Text    *string            `json:"text,omitempty"`
	Message *completionMessage `json:"message,omitempty"`
	Reason  string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (w *bufferedWriter) finish(id string, _ uint64, last engine.Finished) error {
	var t tokenChunk
	_ = json.Unmarshal(last.Data, &t)
	choice := completionChoice{Reason: "stop"}
	if len(t.Choices) > 0 {
		choice.Reason = t.Choices[0].Reason
	}
	text := w.text.String()
	if w.parsed.isChat {
		choice.Message = &completionMessage{
			Role:    "assistant",
			Content: text,
		}
	} else {
		choice.Text = &text
	}
	w.c.Response.Header.Set(requestHeader, id)
	w.c.Response.Header.Set(outcomeHeader, string(core.Ran))
	w.c.JSON(http.StatusOK, completionResponse{
		ID:      last.Origin.Generation,
		Object:  objectName(w.parsed.isChat, false),
		Created: time.Now().Unix(),
		Model:   w.parsed.model,
		Choices: []completionChoice{choice},
		Usage:   newUsageBody(last.Usage),
		Outcome: core.Ran,
	})
	return nil
}

func (w *bufferedWriter) fail(string, uint64, *Problem) bool { return false }
