package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// deadlyFrom is the first seed with a request that ends the engines that run it; the
	// seeds below it keep the faults that they have always had.
	deadlyFrom = 1000
	// deadlyBody is its body.
	deadlyBody = "no engine survives this"
	// deadlyPause is the mean time between its repeats.
	deadlyPause = 400 * time.Millisecond
	// deadlyEnds is how many engines prove it; deadlyRetries, how many more it may reach
	// later than deadlyKnown after that. Both are the platform's bounds.
	deadlyEnds    = 3
	deadlyRetries = 3
	deadlyKnown   = 3 * time.Second
)

// repeater is a client that sends one deadly request again and again, to any box.
type repeater struct {
	mu   sync.Mutex
	all  []emulator.Outcome
	wait sync.WaitGroup
	end  chan struct{}
}

// startRepeater begins within the first seconds of a run, if the seed has one.
func startRepeater(f *fleet, seed uint64, planned bool) *repeater {
	p := &repeater{end: make(chan struct{})}
	if seed < deadlyFrom || planned {
		return p
	}
	r := rand.New(rand.NewPCG(seed, 7))
	p.wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-p.end:
				return
			case <-time.After(time.Duration(r.Int64N(int64(2 * deadlyPause)))):
			}
			p.repeat(f.boxes[r.IntN(len(f.boxes))], fmt.Sprintf("s%d-deadly-%d", seed, n))
		}
	})
	return p
}

func (p *repeater) repeat(b *member, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	o := emulator.NewCaller(b.settings.Front, emulator.Key).Do(ctx, emulator.Call{
		ID:       id,
		Method:   http.MethodPost,
		Path:     emulator.StreamPath,
		Body:     deadlyBody,
		Deadline: callDeadline,
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, o)
}

func (p *repeater) stop() []emulator.Outcome {
	close(p.end)
	p.wait.Wait()
	return p.all
}

// replaceEnded lists another server for each that ended under a request, as the platform
// does.
func (i *injector) replaceEnded() {
	for _, s := range slices.Clone(i.fleet.servers) {
		if s.left.IsZero() && s.Stopped() {
			i.say("%s ended", s.ID)
			s.hurt = true
			i.unlist(s)
		}
	}
}

// judgeDeadly checks that a deadly request was kept from engines once three had ended
// under it, and that what its caller was told is true.
func (r *Report) judgeDeadly(f *fleet, repeats []emulator.Outcome) {
	runs := f.deployment.Runs()
	var reached []emulator.Run
	for _, o := range repeats {
		if o.PromisesNotRun() && len(runs[o.ID]) > 0 {
			r.breaks("REFUSED: %s was told %d and ran", o.ID, o.Status)
		}
		reached = append(reached, runs[o.ID]...)
	}
	slices.SortFunc(reached, func(a, b emulator.Run) int { return cmp.Compare(a.StartedAt.UnixNano(), b.StartedAt.UnixNano()) })
	r.Deadly = len(reached)
	if len(reached) <= deadlyEnds {
		return
	}
	known := reached[deadlyEnds-1].StartedAt.Add(workTime + deadlyKnown)
	late := 0
	for _, run := range reached {
		if run.StartedAt.After(known) {
			late++
		}
	}
	if late > deadlyRetries {
		r.breaks("BUDGET: a request under which three engines had ended reached %d more, %d in all", late, len(reached))
	}
}
