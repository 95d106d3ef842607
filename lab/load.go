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
	fs.StringVar(&options.url, "url", "http://127.0.0.1:7101", "callers' `address` of an entry")
	fs.StringVar(&options.key, "key", "demo-editor-key", "customer's `key`")
	fs.StringVar(&options.model, "model", "complete-small", "`model` to ask for")
	fs.Float64Var(&options.rate, "rate", 2, "streams begun a `second`")
	fs.DurationVar(&options.duration, "lasting", 10*time.Second, "`time` during which streams are begun")
	fs.IntVar(&options.maxTokens, "max-tokens", 400, "longest output in `tokens`")
	fs.Uint64Var(&options.seed, "seed", 1, "`seed` of the arrivals")
	commands = append(commands, &ffcli.Command{
		Name:       "load",
		ShortUsage: "dillsaddle-lab load [flags]",
		ShortHelp:  "bring a load to a running fleet and tell what its callers had",
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

// load starts streams at exponentially distributed intervals and prints what was observed.
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
func (s *loadResults) stream(ctx context.Context, c *client.Client, options *loadOptions) {
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod(http.MethodPost)
	req.SetRequestURI(options.url + "/v1/completions")
	req.Header.Set("Authorization", "Bearer "+options.key)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"a load's prompt","stream":true,"max_tokens":%d}`, options.model, options.maxTokens))
	startedAt := time.Now()
	err := c.Do(ctx, req, resp)
	defer func() { _ = resp.CloseBodyStream() }()
	if err != nil || resp.StatusCode() != http.StatusOK {
		s.recordEnd(err == nil, false)
		return
	}
	last, completed := startedAt, false
	err = events.Each(ctx, resp, func(e *sse.Event) error {
		now := time.Now()
		if string(e.Data) == "[DONE]" {
			completed = true
			return nil
		}
		s.recordToken(now.Sub(last), last.Equal(startedAt))
		last = now
		return nil
	})
	s.recordEnd(false, completed && err == nil)
}

func (s *loadResults) recordToken(gap time.Duration, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.firstTokenTimes = append(s.firstTokenTimes, gap.Seconds())
		return
	}
	s.tokenGaps = append(s.tokenGaps, gap.Seconds())
}

func (s *loadResults) recordEnd(refused, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case refused:
		s.refused++
	case completed:
		s.completed++
	default:
		s.failed++
	}
}

func (s *loadResults) print(out io.Writer) error {
	slices.Sort(s.firstTokenTimes)
	slices.Sort(s.tokenGaps)
	_, err := fmt.Fprintf(out, "streams: %d whole, %d refused, %d failed\nfirst token: p50 %.0f ms, p95 %.0f ms\nbetween tokens: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n",
		s.completed, s.refused, s.failed, quantileMS(s.firstTokenTimes, 0.5), quantileMS(s.firstTokenTimes, 0.95), quantileMS(s.tokenGaps, 0.5), quantileMS(s.tokenGaps, 0.95), quantileMS(s.tokenGaps, 0.99))
	return err
}

// quantileMS returns a quantile of sorted seconds, in milliseconds.
func quantileMS(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return 1000 * stat.Quantile(q, stat.Empirical, sorted, nil)
}
