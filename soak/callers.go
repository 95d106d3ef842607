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
	callersEach  = 4
	callDeadline = 1500 * time.Millisecond
	// streamPatience is far above a stream's two seconds.
	streamPatience = 12 * time.Second
	callPause      = 40 * time.Millisecond
)

// seen is one request and what its caller got.
type seen struct {
	emulator.Outcome
	box    int
	kind   string
	key    string
	began  time.Time
	ended  time.Time
	stream bool
}

// callers bring requests to all boxes until they are told to end.
type callers struct {
	mu   sync.Mutex
	all  []seen
	wait sync.WaitGroup
	end  chan struct{}
}

func startCallers(f *fleet, seed uint64) *callers {
	c := &callers{end: make(chan struct{})}
	for i, b := range f.boxes {
		for n := range callersEach {
			key := emulator.Key
			if n%2 == 1 {
				key = emulator.OtherKey
			}
			c.wait.Go(func() {
				c.run(i, b.settings.Front, key, rand.New(rand.NewPCG(seed, uint64(i*callersEach+n))), fmt.Sprintf("s%d-b%d-c%d", seed, i, n))
			})
		}
	}
	return c
}

func (c *callers) run(box int, front, key string, r *rand.Rand, name string) {
	caller := emulator.NewCaller(front, key)
	for n := 0; ; n++ {
		select {
		case <-c.end:
			return
		case <-time.After(time.Duration(r.Int64N(int64(2 * callPause)))):
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
			kind, call.Path, call.Deadline = "stream", emulator.StreamPath, streamPatience
			call.Tokens = emulator.Tokens{
				Prompt:    100,
				MaxOutput: 160,
			}
		case 1, 2:
			kind, call.Path, call.Method, call.Body = "repeat", emulator.RepeatPath, http.MethodGet, ""
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), call.Deadline+time.Second)
		o := caller.Do(ctx, call)
		cancel()
		c.mu.Lock()
		c.all = append(c.all, seen{
			Outcome: o,
			box:     box,
			kind:    kind,
			key:     key,
			began:   began,
			ended:   time.Now(),
			stream:  kind == "stream",
		})
		c.mu.Unlock()
	}
}

// stop ends the callers and gives all that they saw.
func (c *callers) stop() []seen {
	close(c.end)
	c.wait.Wait()
	return c.all
}
