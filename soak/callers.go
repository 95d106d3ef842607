package soak

import (
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
	// answerSlack is how long after their deadline callers wait for an answer.
	answerSlack = time.Second
)

// callResult is one request, as its caller saw it.
type callResult struct {
	emulator.Outcome
	box       int
	kind      string
	key       string
	startedAt time.Time
	endedAt   time.Time
	deadline  time.Duration
	events    int // number of events of the complete stream; 0 if the answer is none
}

// mayRepeat reports whether the request may run on a second server.
func (s *callResult) mayRepeat() bool { return s.kind == "repeat" || s.kind == "urgent" }

// callerPool is a set of concurrent callers that send requests to all boxes until stopped.
type callerPool struct {
	mu      sync.Mutex
	results []callResult
	workers sync.WaitGroup
	done    chan struct{}
}

func startCallers(f *fleet, seed uint64) *callerPool {
	c := &callerPool{done: make(chan struct{})}
	for i := range f.boxes {
		for n := range callersPerBox {
			key := emulator.Key
			if n%2 == 1 {
				key = emulator.OtherKey
			}
			c.workers.Go(func() {
				c.runCaller(f, i, key, rand.New(rand.NewPCG(seed, uint64(i*callersPerBox+n))), fmt.Sprintf("s%d-b%d-c%d", seed, i, n))
			})
		}
	}
	return c
}

func (c *callerPool) runCaller(f *fleet, box int, key string, r *rand.Rand, name string) {
	caller := emulator.NewCaller(f.boxes[box].settings.Front, key)
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
			kind, call.Path, call.Deadline = "stream", emulator.StreamPath, f.streamDeadline
			call.Tokens = f.streamTokens
			if f.hasBadPart {
				call.Parts = soundPrompt(r, n)
				call.Body = call.ID // crashes count against a content that many requests have
			}
		case 1, 2:
			kind, call.Path, call.Method, call.Body = "repeat", emulator.RepeatPath, http.MethodGet, ""
		}
		if crowded, ok := f.crowd.target(time.Now(), r); ok {
			c.send(emulator.NewCaller(f.boxes[crowded].settings.Front, key), crowded, kind, call)
			continue
		}
		c.send(caller, box, kind, call)
	}
}

// stop ends all callers and returns their results.
func (c *callerPool) stop() []callResult {
	close(c.done)
	c.workers.Wait()
	return c.results
}
