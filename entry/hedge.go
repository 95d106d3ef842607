package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/valyala/histogram"

	"dillsaddle.example/dillsaddle/core"
)

// A hedged call is sent to a second server when the first has not answered within a delay,
// which is the lower of a high quantile and a multiple of the median of recent latencies.
const (
	hedgeQuantile       = 0.95
	hedgeMedianFactor   = 4
	minHedgeDelay       = 5 * time.Millisecond
	hedgeUpdateInterval = 64   // number of samples between updates of the delay
	hedgeResetSamples   = 4096 // number of samples after which they are discarded
)

// latencyTracker collects the latencies of a service's answers and derives the hedge delay.
type latencyTracker struct {
	mu          sync.Mutex
	samples     *histogram.Fast
	sampleCount int
	delay       time.Duration
}

func newLatencyTracker() *latencyTracker { return &latencyTracker{samples: histogram.NewFast()} }

// observe adds the latency of one answer.
func (t *latencyTracker) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples.Update(took.Seconds())
	t.sampleCount++
	if t.sampleCount%hedgeUpdateInterval != 0 {
		return
	}
	threshold := min(t.samples.Quantile(hedgeQuantile), hedgeMedianFactor*t.samples.Quantile(0.5))
	t.delay = max(minHedgeDelay, time.Duration(threshold*float64(time.Second)))
	if t.sampleCount >= hedgeResetSamples {
		t.samples.Reset()
		t.sampleCount = 0
	}
}

// hedgeDelay returns the delay after which a call is sent to a second server, or 0 while
// there are too few samples.
func (t *latencyTracker) hedgeDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delay
}

// tryResult is the result of sending a call to one server.
type tryResult struct {
	resp *protocol.Response
	err  error
}

// exchangeHedged sends a repeatable call to its server and, after the hedge delay, to a second
// one if the customer's retry budget allows it. It returns the first answer and cancels the
// other try.
func (k *serviceCall) exchangeHedged(c core.SendAttempt) tryResult {
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	results := make(chan tryResult, 2)
	pending := 1
	k.startTry(ctx, c, k.lastServer, results)
	second := time.NewTimer(k.latency().hedgeDelay())
	defer second.Stop()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				go releaseResponses(results, pending)
				return r
			}
			protocol.ReleaseResponse(r.resp)
		case <-second.C:
			if time.Until(k.deadline) > 0 && k.entry.customerOf(k.customerConfig).takeRetry() {
				hedges.Inc()
				pending++
				k.startTry(ctx, c, k.entry.services.pick(time.Now(), k.service.Addresses, k.lastServer), results)
			}
		}
	}
}

// startTry sends the call to one server in the background.
func (k *serviceCall) startTry(ctx context.Context, c core.SendAttempt, server netip.AddrPort, results chan<- tryResult) {
	req := protocol.AcquireRequest()
	k.fillRequest(req, c, server)
	timeout := k.tryTimeout()
	go func() {
		defer protocol.ReleaseRequest(req)
		results <- k.try(ctx, req, server, timeout)
	}()
}

// releaseResponses waits for the pending results and releases their responses.
func releaseResponses(results <-chan tryResult, pending int) {
	for range pending {
		r := <-results
		protocol.ReleaseResponse(r.resp)
	}
}
