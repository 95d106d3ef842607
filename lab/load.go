package lab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"

	"dillsaddle.example/dillsaddle/events"
)

// loadOptions are the flags of the load command.
type loadOptions struct {
	url       string
	key       string
	model     string
	rate      float64
	duration  time.Duration
	maxTokens int
	seed      uint64
}

func init() {
	var options loadOptions
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.StringVar(&options.url, "url", "http://127.0.0.1:7101", "base `URL` of an entry's address for callers")
	fs.StringVar(&options.key, "key", "demo-editor-key", "customer's API `key`")
	fs.StringVar(&options.model, "model", "complete-small", "`model` to request")
	fs.Float64Var(&options.rate, "rate", 2, "streams started per `second`")
	fs.DurationVar(&options.duration, "lasting", 10*time.Second, "`time` during which streams are started")
	fs.IntVar(&options.maxTokens, "max-tokens", 400, "maximum output length in `tokens`")
	fs.Uint64Var(&options.seed, "seed", 1, "`seed` of the arrivals")
	commands = append(commands, &ffcli.Command{
		Name:       "load",
		ShortUsage: "dillsaddle-lab load [flags]",
		ShortHelp:  "send load to a running fleet and print what its callers observed",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return load(ctx, os.Stdout, &options) },
	})
}

// loadResults collects what the callers of a load observed; times are in seconds.
type loadResults struct {
	mu              sync.Mutex
	completed       int
	refused         int
	failed          int
	firstTokenTimes []float64
	tokenGaps       []float64
}

// load starts streams at exponentially distributed intervals and prints their results.
func load(ctx context.Context, out io.Writer, options *loadOptions) error {
	if options.rate <= 0 {
		return errors.New("flag -rate must be above 0")
	}
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithResponseBodyStream(true),
		client.WithMaxConnsPerHost(1<<16),
	)
	if err != nil {
		return err
	}
	results := &loadResults{}
	random := rand.New(rand.NewPCG(options.seed, 1))
	var wait sync.WaitGroup
	for end := time.Now().Add(options.duration); time.Now().Before(end); {
		wait.Go(func() { results.stream(ctx, c, options) })
		time.Sleep(time.Duration(random.ExpFloat64() / options.rate * float64(time.Second)))
	}
	wait.Wait()
	return results.print(out)
}

// stream sends one request and records its result.
func (r *loadResults) stream(ctx context.Context, c *client.Client, options *loadOptions) {
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod(http.MethodPost)
	req.SetRequestURI(options.url + "/v1/completions")
	req.Header.Set("Authorization", "Bearer "+options.key)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"a load's prompt","stream":true,"max_tokens":%d}`, options.model, options.maxTokens))
	startedAt := time.Now()
	err := c.Do(ctx, req, resp)
	defer func() { _ = resp.CloseBodyStream() }()
	if err != nil || resp.StatusCode() != http.StatusOK {
		r.recordEnd(err == nil, false)
		return
	}
	last, completed := startedAt, false
	err = events.Each(ctx, resp, func(e *sse.Event) error {
		now := time.Now()
		if string(e.Data) == "[DONE]" {
			completed = true
			return nil
		}
		r.recordToken(now.Sub(last), last.Equal(startedAt))
		last = now
		return nil
	})
	r.recordEnd(false, completed && err == nil)
}

func (r *loadResults) recordToken(gap time.Duration, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		r.firstTokenTimes = append(r.firstTokenTimes, gap.Seconds())
		return
	}
	r.tokenGaps = append(r.tokenGaps, gap.Seconds())
}

func (r *loadResults) recordEnd(refused, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case refused:
		r.refused++
	case completed:
		r.completed++
	default:
		r.failed++
	}
}

func (r *loadResults) print(out io.Writer) error {
	slices.Sort(r.firstTokenTimes)
	slices.Sort(r.tokenGaps)
	_, err := fmt.Fprintf(out, "streams: %d completed, %d refused, %d failed\nfirst token: p50 %.0f ms, p95 %.0f ms\nbetween tokens: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n",
		r.completed, r.refused, r.failed, quantileMS(r.firstTokenTimes, 0.5), quantileMS(r.firstTokenTimes, 0.95), quantileMS(r.tokenGaps, 0.5), quantileMS(r.tokenGaps, 0.95), quantileMS(r.tokenGaps, 0.99))
	return err
}

// quantileMS returns a quantile of sorted seconds, in milliseconds.
func quantileMS(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return 1000 * stat.Quantile(q, stat.Empirical, sorted, nil)
}
