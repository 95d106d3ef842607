package completions

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
)

// maxConnections bounds the streams to one endpoint.
const maxConnections = 65536

// longestStream bounds one read of a stream, so that a worker whose endpoint
// stalls for ever is given back.
const longestStream = time.Hour

// Worker speaks the completions API.
type Worker struct {
	streams *client.Client
	calls   *client.Client
}

var _ engine.Worker = (*Worker)(nil)

// New builds a worker.
func New() (*Worker, error) {
	streams, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(time.Second),
		client.WithResponseBodyStream(true),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithClientReadTimeout(longestStream),
	)
	if err != nil {
		return nil, errors.Wrap(err, "build the stream client")
	}
	calls, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
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

func base(address netip.AddrPort) string { return "http://" + address.String() }

// Start sends a request and tells what comes back.
func (w *Worker) Start(ctx context.Context, c engine.Call, sink chan<- engine.Message) {
	body, err := extend(c)
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
	req.SetRequestURI(base(c.Address) + path)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	if !c.LeaseEnd.IsZero() && time.Now().After(c.LeaseEnd) {
		sink <- engine.Unsent{Cause: errors.New("the lease ended before the send")}
		return
	}
	if err := w.streams.Do(ctx, req, resp); err != nil {
		sink <- failure(err)
		return
	}
	if resp.StatusCode() != http.StatusOK {
		sink <- refusal(resp)
		return
	}
	read(ctx, c.Endpoint, resp, sink)
}

// extend adds what the protocol needs to the caller's JSON, whose other fields
// pass unchanged.
func extend(c engine.Call) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, errors.Wrap(err, "read the caller's body")
	}
	fields["generation_id"] = json.RawMessage(strconv.Quote(c.Generation))
	fields["priority"] = json.RawMessage(strconv.Itoa(c.Priority))
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(c.MaxTokens))
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// failure tells a dial that failed, with no byte sent, from everything else.
func failure(err error) engine.Message {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engine.Unsent{Cause: err}
	}
	return engine.Lost{Cause: err}
}

// refusal tells an answer that means "not started" from one that may come
// later: an engine checks a request before it starts it and answers 4xx or
// 503; any other status may come from a started one.
func refusal(resp *protocol.Response) engine.Message {
	status := resp.StatusCode()
	text := string(resp.Body())
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout || status == http.StatusServiceUnavailable {
		return engine.Refused{
			Status: status,
			Text:   text,
		}
	}
	return engine.Lost{Cause: errors.Errorf("endpoint answered %d", status)}
}

func release(req *protocol.Request, resp *protocol.Response) {
	_ = resp.CloseBodyStream()
	protocol.ReleaseRequest(req)
	protocol.ReleaseResponse(resp)
}

// Resume reads a generation again from an offset.
func (w *Worker) Resume(ctx context.Context, c engine.ResumeCall, sink chan<- engine.Message) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer release(req, resp)
	req.SetMethod(http.MethodGet)
	req.SetRequestURI(base(c.Address) + "/v1/generations/" + c.Origin.Generation +
		"?from=" + strconv.FormatUint(c.From, 10) + "&chat=" + strconv.FormatBool(c.Chat))
	if err := w.streams.Do(ctx, req, resp); err != nil {
		sink <- engine.Lost{Cause: err}
		return
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		read(ctx, c.Origin.Endpoint, resp, sink)
	case http.StatusNotFound:
		sink <- engine.Gone{}
	default:
		sink <- engine.Lost{Cause: errors.Errorf("endpoint answered %d to a resume", resp.StatusCode())}
	}
}

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

// Cancel ends a generation at its endpoint.
func (w *Worker) Cancel(ctx context.Context, address netip.AddrPort, generation string, onlyIdle bool) error {
	url := base(address) + "/v1/generations/" + generation + "?idle=" + strconv.FormatBool(onlyIdle)
	status, _, err := w.call(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return errors.Wrap(err, "cancel a generation")
	}
	if status != http.StatusOK && status != http.StatusNotFound {
		return errors.Errorf("endpoint answered %d to a cancel", status)
	}
	return nil
}

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
	status, body, err := w.call(ctx, http.MethodGet, base(address)+"/v1/load", nil)
	if err != nil {
		return engine.Load{}, errors.Wrap(err, "read a load report")
	}
	var r loadReport
	if err := json.Unmarshal(body, &r); err != nil || status != http.StatusOK {
		return engine.Load{}, errors.Errorf("endpoint answered %d and no load report", status)
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

type cacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped"`
}

// CacheEvents reads the cache events after a number; some may be missing.
func (w *Worker) CacheEvents(ctx context.Context, address netip.AddrPort, after int) ([]engine.CacheEvent, error) {
	status, body, err := w.call(ctx, http.MethodGet, base(address)+"/v1/cache-events?after="+strconv.Itoa(after), nil)
	if err != nil {
		return nil, errors.Wrap(err, "read cache events")
	}
	var all []cacheEvent
	if err := json.Unmarshal(body, &all); err != nil || status != http.StatusOK {
		return nil, errors.Errorf("endpoint answered %d and no cache events", status)
	}
	events := make([]engine.CacheEvent, 0, len(all))
	for _, e := range all {
		events = append(events, engine.CacheEvent(e))
	}
	return events, nil
}

type orderBody struct {
	Fence   core.Fence `json:"fence"`
	Action  string     `json:"do"`
	Subject string     `json:"what"`
}

// Order sends a fenced order.
func (w *Worker) Order(ctx context.Context, address netip.AddrPort, o engine.Order) error {
	body, err := json.Marshal(orderBody(o))
	if err != nil {
		return errors.Wrap(err, "write an order")
	}
	status, text, err := w.call(ctx, http.MethodPost, base(address)+"/v1/orders", body)
	if err != nil {
		return errors.Wrap(err, "send an order")
	}
	if status != http.StatusOK {
		return errors.Errorf("endpoint answered %d to an order: %s", status, text)
	}
	return nil
}
