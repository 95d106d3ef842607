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

// The bounds of a hedge: the second call goes out when the first has taken longer
// than nearly all did.
const (
	hedgeQuantile       = 0.95
	hedgeMedianFactor   = 4 // or this often the median, if that is sooner: one in twenty may be late
	minHedgeDelay       = 5 * time.Millisecond
	hedgeUpdateInterval = 64   // answers before there is a hedge
	hedgeResetSamples   = 4096 // answers after which times are learnt anew
)

// latencyTracker are how long a service's answers take.
type latencyTracker struct {
	mu          sync.Mutex
	samples     *histogram.Fast
	sampleCount int
	delay       time.Duration
}

func newLatencyTracker() *latencyTracker { return &latencyTracker{samples: histogram.NewFast()} }

// observe learns one answer's time.
func (a *latencyTracker) observe(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.samples.Update(took.Seconds())
	a.sampleCount++
	if a.sampleCount%hedgeUpdateInterval != 0 {
		return
	}
	threshold := min(a.samples.Quantile(hedgeQuantile), hedgeMedianFactor*a.samples.Quantile(0.5))
	a.delay = max(minHedgeDelay, time.Duration(threshold*float64(time.Second)))
	if a.sampleCount >= hedgeResetSamples {
		a.samples.Reset()
		a.sampleCount = 0
	}
}

// hedgeDelay gives the time after which a call is sent to a second server, or 0
// while too few answers were seen.
func (a *latencyTracker) hedgeDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.delay
}

// tryResult is what one server gave.
type tryResult struct {
	resp *protocol.Response
	err  error
}

// exchangeHedged sends a repeatable call to its server and, when no answer came in the
// time in which nearly all come, to a second one within the customer's budget of
// retries. The first answer goes; the other try is cancelled and let go.
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

// startTry sends the call to one server at the side.
func (k *serviceCall) startTry(ctx context.Context, c core.SendAttempt, server netip.AddrPort, results chan<- tryResult) {
	req := protocol.AcquireRequest()
	k.fillRequest(req, c, server)
	timeout := k.tryTimeout()
	go func() {
		defer protocol.ReleaseRequest(req)
		results <- k.try(ctx, req, server, timeout)
	}()
}

// releaseResponses gives back the answers that nobody waits for.
func releaseResponses(results <-chan tryResult, pending int) {
	for range pending {
		r := <-results
		protocol.ReleaseResponse(r.resp)
	}
}
