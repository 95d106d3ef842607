package completions

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/events"
)

// incarnationHeader holds the incarnation of the endpoint that answers.
const incarnationHeader = "Engine-Incarnation"

// slabSize is the allocation size for token data.
const slabSize = 16 << 10

var (
	doneMark     = []byte("[DONE]")
	finishedMark = []byte(`"finish_reason":`)
	nullMark     = []byte("null")
)

// streamReader turns an endpoint's events into messages.
type streamReader struct {
	ctx      context.Context
	endpoint string
	sink     chan<- engine.Message
	slab     []byte
	origin   core.Origin
	originID string
	final    *engine.Finished
	done     bool
}

// errStop ends the reading of a stream.
var errStop = errors.New("stream reading stopped")

// readStream sends the messages of a response to the sink.
func readStream(ctx context.Context, endpoint string, resp *protocol.Response, sink chan<- engine.Message) {
	incarnation, _ := strconv.ParseUint(string(resp.Header.Peek(incarnationHeader)), 10, 64)
	r := &streamReader{
		ctx:      ctx,
		endpoint: endpoint,
		sink:     sink,
	}
	if !r.send(engine.Opened{Incarnation: core.Incarnation(incarnation)}) {
		return
	}
	r.finish(events.Each(ctx, resp, r.handleEvent))
}

// send sends a message, and returns false if the context is done.
func (r *streamReader) send(m engine.Message) bool {
	select {
	case r.sink <- m:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// handleEvent handles one server-sent event.
func (r *streamReader) handleEvent(e *sse.Event) error {
	if bytes.Equal(e.Data, doneMark) {
		r.done = true
		return errStop
	}
	if e.ID == "" || !e.IsSetID() {
		r.handleUsage(e.Data)
		return nil
	}
	offset, ok := r.parseID(e.ID)
	if !ok {
		return errors.Errorf("endpoint sent an invalid event ID: %.40q", e.ID)
	}
	data := r.copyData(e.Data)
	if isFinal(data) {
		r.final = &engine.Finished{
			Origin: r.origin,
			Offset: offset,
			Data:   data,
		}
		return nil
	}
	if !r.send(engine.Token{
		Origin: r.origin,
		Offset: offset,
		Data:   data,
	}) {
		return errStop
	}
	return nil
}

// isFinal reports whether an event has a finish reason. The mark can't occur within a JSON
// string, in which its quotes would be escaped.
func isFinal(data []byte) bool {
	_, after, found := bytes.Cut(data, finishedMark)
	return found && !bytes.HasPrefix(bytes.TrimLeft(after, " "), nullMark)
}

// copyData copies an event's data, which the SSE library reuses, into a slab.
func (r *streamReader) copyData(data []byte) []byte {
	if len(data) > cap(r.slab)-len(r.slab) {
		r.slab = make([]byte, 0, max(slabSize, len(data)))
	}
	start := len(r.slab)
	r.slab = append(r.slab, data...)
	return r.slab[start:len(r.slab):len(r.slab)]
}

// parseID parses an event ID, "incarnation/generation/offset", and returns the offset.
func (r *streamReader) parseID(id string) (uint64, bool) {
	at := strings.LastIndexByte(id, '/')
	if at < 0 {
		return 0, false
	}
	offset, err := strconv.ParseUint(id[at+1:], 10, 64)
	if err != nil {
		return 0, false
	}
	if id[:at] == r.originID {
		return offset, true
	}
	incarnation, generation, found := strings.Cut(id[:at], "/")
	number, err := strconv.ParseUint(incarnation, 10, 64)
	if !found || err != nil {
		return 0, false
	}
	r.originID = strings.Clone(id[:at])
	r.origin = core.Origin{
		Endpoint:    r.endpoint,
		Incarnation: core.Incarnation(number),
		Generation:  strings.Clone(generation),
	}
	return offset, true
}

// usageEvent is the event with the token counts of a generation.
type usageEvent struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Preempted int `json:"preempted"`
}

// handleUsage adds the token counts to the final message.
func (r *streamReader) handleUsage(data []byte) {
	var u usageEvent
	if r.final == nil || json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return
	}
	r.final.Usage = engine.Usage{
		PromptTokens:     u.Usage.PromptTokens,
		CompletionTokens: u.Usage.CompletionTokens,
		Preempted:        u.Preempted,
	}
}

// finish sends the final message, or Lost if the stream ended early.
func (r *streamReader) finish(err error) {
	if r.final != nil && r.done {
		r.send(*r.final)
		return
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	r.send(engine.Lost{Cause: err})
}
