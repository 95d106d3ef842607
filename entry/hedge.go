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
	hedgePart    = 0.95
	hedgeMedians = 4 // or this often the median, if that is sooner: one in twenty may be late
	hedgeLeast   = 5 * time.Millisecond
	hedgeSamples = 64   // answers before there is a hedge
	hedgeForget  = 4096 // answers after which times are learnt anew
)

// answerTimes are how long a service's answers take.
type answerTimes struct {
	mu    sync.Mutex
	times *histogram.Fast
	seen  int
	after time.Duration
}

func newAnswerTimes() *answerTimes { return &answerTimes{times: histogram.NewFast()} }

// observe learns one answer's time.
func (a *answerTimes) observe(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times.Update(took.Seconds())
	a.seen++
	if a.seen%hedgeSamples != 0 {
		return
	}
	late := min(a.times.Quantile(hedgePart), hedgeMedians*a.times.Quantile(0.5))
	a.after = max(hedgeLeast, time.Duration(late*float64(time.Second)))
	if a.seen >= hedgeForget {
		a.times.Reset()
		a.seen = 0
	}
}

// hedgeAfter gives the time after which a call is sent to a second server, or 0
// while too few answers were seen.
func (a *answerTimes) hedgeAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.after
}

// tried is what one server gave.
type tried struct {
	resp *protocol.Response
	err  error
}

// hedged sends a repeatable call to its server and, when no answer came in the
// time in which nearly all come, to a second one within the customer's budget of
// retries. The first answer goes; the other try is cancelled and let go.
func (k *serviceCall) hedged(c core.SendAttempt) tried {
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	results := make(chan tried, 2)
	pending := 1
	k.goTry(ctx, c, k.last, results)
	second := time.NewTimer(k.times().hedgeAfter())
	defer second.Stop()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				go letGo(results, pending)
				return r
			}
			protocol.ReleaseResponse(r.resp)
		case <-second.C:
			if time.Until(k.deadline) > 0 && k.entry.customerOf(k.who).mayRetry() {
				hedges.Inc()
				pending++
				k.goTry(ctx, c, k.entry.services.choose(time.Now(), k.service.Addresses, k.last), results)
			}
		}
	}
}

// goTry sends the call to one server at the side.
func (k *serviceCall) goTry(ctx context.Context, c core.SendAttempt, server netip.AddrPort, results chan<- tried) {
	req := protocol.AcquireRequest()
	k.fill(req, c, server)
	timeout := k.tryTime()
	go func() {
		defer protocol.ReleaseRequest(req)
		results <- k.try(ctx, req, server, timeout)
	}()
}

// letGo gives back the answers that nobody waits for.
func letGo(results <-chan tried, pending int) {
	for range pending {
		r := <-results
		protocol.ReleaseResponse(r.resp)
	}
}
