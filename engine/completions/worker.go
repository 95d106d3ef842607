package completions

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
)

// maxConnections bounds the concurrent streams to one endpoint.
const maxConnections = 65536

// maxStreamTime bounds one read of a stream, so that a stalled endpoint doesn't block a
// worker for good.
const maxStreamTime = time.Hour

const (
	// maxResponseBytes is the size of the largest response to a call.
	maxResponseBytes = 256 << 10
	// maxBufferedBytes is how much of a stream is buffered, which is all of one without a length or chunks.
	maxBufferedBytes = 1 << 20
	// maxRestBytes is how much may follow what was read of a stream for its connection to be kept.
	maxRestBytes = 4 << 10
	// maxErrorBytes is how much of the text of a refusal is read.
	maxErrorBytes = 64 << 10
)

// Worker is a client of the completions API.
type Worker struct {
	streams *client.Client
	calls   *client.Client
}

var _ engine.Worker = (*Worker)(nil)

// New returns a Worker.
func New() (*Worker, error) {
	streams, err := client.NewClient(
		engine.WithMaxBuffer(maxBufferedBytes),
		client.WithDialTimeout(time.Second),
		client.WithResponseBodyStream(true),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithClientReadTimeout(maxStreamTime),
	)
	if err != nil {
		return nil, errors.Wrap(err, "build the stream client")
	}
	calls, err := client.NewClient(
		engine.WithMaxResponse(maxResponseBytes),
		client.WithDialTimeout(time.Second),
		client.WithClientReadTimeout(2*time.Second),
		client.WithWriteTimeout(2*time.Second),
	)
	if err != nil {
		return nil, errors.Wrap(err, "build the call client")
	}
	return &Worker{
		streams: streams,
		calls:   calls,
	}, nil
}

func baseURL(address netip.AddrPort) string { return "http://" + address.String() }

// Start sends a request and reports the response to the sink.
func (w *Worker) Start(ctx context.Context, c engine.Call, sink chan<- engine.Message) {
	body, err := requestBody(c)
	if err != nil {
		sink <- engine.Unsent{Cause: err}
		return
	}
	path := "/v1/completions"
	if c.Chat {
		path = "/v1/chat/completions"
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer release(req, resp)
	req.SetMethod(http.MethodPost)
	req.SetRequestURI(baseURL(c.Address) + path)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	if !c.LeaseEnd.IsZero() && time.Now().After(c.LeaseEnd) {
		sink <- engine.Unsent{Cause: errors.New("lease expired before the request was sent")}
		return
	}
	if err := w.streams.Do(ctx, req, resp); err != nil {
		sink <- sendFailure(err)
		return
	}
	if resp.StatusCode() != http.StatusOK {
		sink <- statusMessage(resp)
		return
	}
	readStream(ctx, c.Endpoint, resp, sink)
}

// requestBody adds the protocol's fields to the caller's JSON and leaves its other fields
// unchanged.
func requestBody(c engine.Call) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, errors.Wrap(err, "decode the caller's body")
	}
	fields["generation_id"] = json.RawMessage(strconv.Quote(c.Generation))
	fields["priority"] = json.RawMessage(strconv.Itoa(c.Priority))
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(c.MaxTokens))
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// sendFailure returns Unsent for a failed dial, after which no byte was sent, and else Lost.
func sendFailure(err error) engine.Message {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engine.Unsent{Cause: err}
	}
	return engine.Lost{Cause: err}
}

// statusMessage converts a response without status 200. An engine validates a request before
// it starts it, and refuses it with 4xx or 503. With any other status, the request may have
// been started, so the attempt counts as lost.
func statusMessage(resp *protocol.Response) engine.Message {
	status := resp.StatusCode()
	text := errorText(resp)
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout || status == http.StatusServiceUnavailable {
		return engine.Refused{
			Status: status,
			Text:   text,
		}
	}
	return engine.Lost{Cause: errors.Errorf("endpoint answered %d", status)}
}

// errorText returns the beginning of a response's body.
func errorText(resp *protocol.Response) string {
	if !resp.IsBodyStream() {
		return string(resp.Body())
	}
	text, _ := io.ReadAll(io.LimitReader(resp.BodyStream(), maxErrorBytes))
	return string(text)
}

// forceCloser is a stream that can be closed without reading the rest of it.
type forceCloser interface{ ForceClose() error }

// release closes the response and returns both objects to their pools.
func release(req *protocol.Request, resp *protocol.Response) {
	if s, ok := resp.BodyStream().(forceCloser); ok {
		if _, err := io.CopyN(io.Discard, resp.BodyStream(), maxRestBytes); !errors.Is(err, io.EOF) {
			_ = s.ForceClose()
		}
	}
	_ = resp.CloseBodyStream()
	protocol.ReleaseRequest(req)
	protocol.ReleaseResponse(resp)
}

// Resume continues reading a generation at an offset.
func (w *Worker) Resume(ctx context.Context, c engine.ResumeCall, sink chan<- engine.Message) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer release(req, resp)
	req.SetMethod(http.MethodGet)
	req.SetRequestURI(baseURL(c.Address) + "/v1/generations/" + c.Origin.Generation +
		"?from=" + strconv.FormatUint(c.From, 10) + "&chat=" + strconv.FormatBool(c.Chat))
	if err := w.streams.Do(ctx, req, resp); err != nil {
		sink <- engine.Lost{Cause: err}
		return
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		readStream(ctx, c.Origin.Endpoint, resp, sink)
	case http.StatusNotFound:
		sink <- engine.Gone{}
	default:
		sink <- engine.Lost{Cause: errors.Errorf("endpoint answered %d to a resume", resp.StatusCode())}
	}
}

// call sends a request and returns the status and the body of the response.
func (w *Worker) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer release(req, resp)
	req.SetMethod(method)
	req.SetRequestURI(url)
	if body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	if deadline, set := ctx.Deadline(); set {
		req.SetOptions(config.WithRequestTimeout(time.Until(deadline)))
	}
	if err := w.calls.Do(ctx, req, resp); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// Cancel cancels a generation at its endpoint.
func (w *Worker) Cancel(ctx context.Context, address netip.AddrPort, generation string, onlyIdle bool) error {
	url := baseURL(address) + "/v1/generations/" + generation + "?idle=" + strconv.FormatBool(onlyIdle)
	status, _, err := w.call(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return errors.Wrap(err, "cancel a generation")
	}
	if status != http.StatusOK && status != http.StatusNotFound {
		return errors.Errorf("endpoint answered %d to a cancel", status)
	}
	return nil
}

// loadReport is the response with an endpoint's load.
type loadReport struct {
	Incarnation  uint64        `json:"incarnation"`
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	UsedTokens   int           `json:"used_tokens"`
	MemoryTokens int           `json:"memory_tokens"`
	Step         time.Duration `json:"step_ns"`
	Preempted    int           `json:"preempted"`
}

// Load reads an endpoint's load report.
func (w *Worker) Load(ctx context.Context, address netip.AddrPort) (engine.Load, error) {
	status, body, err := w.call(ctx, http.MethodGet, baseURL(address)+"/v1/load", nil)
	if err != nil {
		return engine.Load{}, errors.Wrap(err, "read a load report")
	}
	var r loadReport
	if err := json.Unmarshal(body, &r); err != nil || status != http.StatusOK {
		return engine.Load{}, errors.Errorf("endpoint answered %d without a valid load report", status)
	}
	return engine.Load{
		Incarnation:  core.Incarnation(r.Incarnation),
		Running:      r.Running,
		Waiting:      r.Waiting,
		UsedTokens:   r.UsedTokens,
		MemoryTokens: r.MemoryTokens,
		Step:         r.Step,
		Preempted:    r.Preempted,
	}, nil
}

// cacheEvent is an element of the response with cache events.
type cacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped"`
}

// CacheEvents reads the cache events after a sequence number. Events may be missing.
func (w *Worker) CacheEvents(ctx context.Context, address netip.AddrPort, after int) ([]engine.CacheEvent, error) {
	status, body, err := w.call(ctx, http.MethodGet, baseURL(address)+"/v1/cache-events?after="+strconv.Itoa(after), nil)
	if err != nil {
		return nil, errors.Wrap(err, "read cache events")
	}
	var all []cacheEvent
	if err := json.Unmarshal(body, &all); err != nil || status != http.StatusOK {
		return nil, errors.Errorf("endpoint answered %d without valid cache events", status)
	}
	events := make([]engine.CacheEvent, 0, len(all))
	for _, e := range all {
		events = append(events, engine.CacheEvent(e))
	}
	return events, nil
}

// orderBody is the body of an order.
type orderBody struct {
	Fence   core.Fence `json:"fence"`
	Action  string     `json:"do"`
	Subject string     `json:"what"`
}

// Order sends a fenced order.
func (w *Worker) Order(ctx context.Context, address netip.AddrPort, o engine.Order) error {
	body, err := json.Marshal(orderBody(o))
	if err != nil {
		return errors.Wrap(err, "encode an order")
	}
	status, text, err := w.call(ctx, http.MethodPost, baseURL(address)+"/v1/orders", body)
	if err != nil {
		return errors.Wrap(err, "send an order")
	}
	if status != http.StatusOK {
		return errors.Errorf("endpoint answered %d to an order: %s", status, text)
	}
	return nil
}
