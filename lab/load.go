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

// loadRules say what load to bring to a running fleet.
type loadRules struct {
	url     string
	key     string
	model   string
	rate    float64
	lasting time.Duration
	most    int
	seed    uint64
}

func init() {
	var rules loadRules
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.StringVar(&rules.url, "url", "http://127.0.0.1:7101", "callers' `address` of an entry")
	fs.StringVar(&rules.key, "key", "demo-editor-key", "customer's `key`")
	fs.StringVar(&rules.model, "model", "complete-small", "`model` to ask for")
	fs.Float64Var(&rules.rate, "rate", 2, "streams begun a `second`")
	fs.DurationVar(&rules.lasting, "lasting", 10*time.Second, "`time` during which streams are begun")
	fs.IntVar(&rules.most, "max-tokens", 400, "longest output in `tokens`")
	fs.Uint64Var(&rules.seed, "seed", 1, "`seed` of the arrivals")
	commands = append(commands, &ffcli.Command{
		Name:       "load",
		ShortUsage: "dillsaddle-lab load [flags]",
		ShortHelp:  "bring a load to a running fleet and tell what its callers had",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return load(ctx, os.Stdout, &rules) },
	})
}

// loadSeen is what the callers of a load had.
type loadSeen struct {
	mu      sync.Mutex
	whole   int
	refused int
	failed  int
	firsts  []float64
	gaps    []float64
}

func load(ctx context.Context, out io.Writer, rules *loadRules) error {
	if rules.rate <= 0 {
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
	seen := &loadSeen{}
	random := rand.New(rand.NewPCG(rules.seed, 1))
	var wait sync.WaitGroup
	for end := time.Now().Add(rules.lasting); time.Now().Before(end); {
		wait.Go(func() { seen.stream(ctx, c, rules) })
		time.Sleep(time.Duration(random.ExpFloat64() / rules.rate * float64(time.Second)))
	}
	wait.Wait()
	return seen.print(out)
}

func (s *loadSeen) stream(ctx context.Context, c *client.Client, rules *loadRules) {
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod(http.MethodPost)
	req.SetRequestURI(rules.url + "/v1/completions")
	req.Header.Set("Authorization", "Bearer "+rules.key)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"a load's prompt","stream":true,"max_tokens":%d}`, rules.model, rules.most))
	began := time.Now()
	err := c.Do(ctx, req, resp)
	defer func() { _ = resp.CloseBodyStream() }()
	if err != nil || resp.StatusCode() != http.StatusOK {
		s.ended(err == nil, false)
		return
	}
	last, whole := began, false
	err = events.Each(ctx, resp, func(e *sse.Event) error {
		now := time.Now()
		if string(e.Data) == "[DONE]" {
			whole = true
			return nil
		}
		s.token(now.Sub(last), last.Equal(began))
		last = now
		return nil
	})
	s.ended(false, whole && err == nil)
}

func (s *loadSeen) token(gap time.Duration, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.firsts = append(s.firsts, gap.Seconds())
		return
	}
	s.gaps = append(s.gaps, gap.Seconds())
}

func (s *loadSeen) ended(refused, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case refused:
		s.refused++
	case whole:
		s.whole++
	default:
		s.failed++
	}
}

func (s *loadSeen) print(out io.Writer) error {
	slices.Sort(s.firsts)
	slices.Sort(s.gaps)
	_, err := fmt.Fprintf(out, "streams: %d whole, %d refused, %d failed\nfirst token: p50 %.0f ms, p95 %.0f ms\nbetween tokens: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n",
		s.whole, s.refused, s.failed, part(s.firsts, 0.5), part(s.firsts, 0.95), part(s.gaps, 0.5), part(s.gaps, 0.95), part(s.gaps, 0.99))
	return err
}

// part gives a quantile in milliseconds.
func part(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return 1000 * stat.Quantile(q, stat.Empirical, sorted, nil)
}
