package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	callersPerBox = 4
	callDeadline  = 1500 * time.Millisecond
	// streamDeadline is well above the two seconds that a stream lasts.
	streamDeadline = 12 * time.Second
	meanCallPause  = 40 * time.Millisecond
)

// callResult is one request, as its caller saw it.
type callResult struct {
	emulator.Outcome
	box       int
	kind      string
	key       string
	startedAt time.Time
	endedAt   time.Time
	isStream  bool
}

// callerPool is a set of concurrent callers that send requests to all boxes until stopped.
type callerPool struct {
	mu      sync.Mutex
	results []callResult
	workers sync.WaitGroup
	done    chan struct{}
}

func startCallers(f *fleet, seed uint64) *callerPool {
	c := &callerPool{done: make(chan struct{})}
	for i, b := range f.boxes {
		for n := range callersPerBox {
			key := emulator.Key
			if n%2 == 1 {
				key = emulator.OtherKey
			}
			c.workers.Go(func() {
				c.runCaller(i, b.settings.Front, key, rand.New(rand.NewPCG(seed, uint64(i*callersPerBox+n))), fmt.Sprintf("s%d-b%d-c%d", seed, i, n))
			})
		}
	}
	return c
}

func (c *callerPool) runCaller(box int, front, key string, r *rand.Rand, name string) {
	caller := emulator.NewCaller(front, key)
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return
		case <-time.After(time.Duration(r.Int64N(int64(2 * meanCallPause)))):
		}
		call := emulator.Call{
			ID:       fmt.Sprintf("%s-%d", name, n),
			Method:   http.MethodPost,
			Path:     emulator.CallPath,
			Body:     "record",
			Deadline: callDeadline,
		}
		kind := "call"
		switch r.IntN(6) {
		case 0:
			kind, call.Path, call.Deadline = "stream", emulator.StreamPath, streamDeadline
			call.Tokens = emulator.Tokens{
				Prompt:    100,
				MaxOutput: 160,
			}
		case 1, 2:
			kind, call.Path, call.Method, call.Body = "repeat", emulator.RepeatPath, http.MethodGet, ""
		}
		startedAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), call.Deadline+time.Second)
		o := caller.Do(ctx, call)
		cancel()
		c.mu.Lock()
		c.results = append(c.results, callResult{
			Outcome:   o,
			box:       box,
			kind:      kind,
			key:       key,
			startedAt: startedAt,
			endedAt:   time.Now(),
			isStream:  kind == "stream",
		})
		c.mu.Unlock()
	}
}

// stop ends all callers and returns their results.
func (c *callerPool) stop() []callResult {
	close(c.done)
	c.workers.Wait()
	return c.results
}
