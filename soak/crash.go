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
	// firstCrashSeed is the first seed with a request that ends the engines that run it; the
	// seeds below it keep the faults that they have always had.
	firstCrashSeed = 1000
	// crashBody is its body.
	crashBody = "no engine survives this"
	// meanCrashPause is the mean time between its repeats.
	meanCrashPause = 400 * time.Millisecond
	// crashThreshold is how many engines prove it; deadlyRetries, how many more it may reach
	// later than deadlyKnown after that. Both are the platform's bounds.
	crashThreshold  = 3
	maxLateCrashes  = 3
	quarantineDelay = 3 * time.Second
)

// crashingCaller is a client that sends one deadly request again and again, to any box.
type crashingCaller struct {
	mu       sync.Mutex
	outcomes []emulator.Outcome
	worker   sync.WaitGroup
	done     chan struct{}
}

// startCrashingCaller begins within the first seconds of a run, if the seed has one.
func startCrashingCaller(f *fleet, seed uint64, planned bool) *crashingCaller {
	p := &crashingCaller{done: make(chan struct{})}
	if seed < firstCrashSeed || planned {
		return p
	}
	r := rand.New(rand.NewPCG(seed, 7))
	p.worker.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-p.done:
				return
			case <-time.After(time.Duration(r.Int64N(int64(2 * meanCrashPause)))):
			}
			p.send(f.boxes[r.IntN(len(f.boxes))], fmt.Sprintf("s%d-deadly-%d", seed, n))
		}
	})
	return p
}

func (p *crashingCaller) send(b *boxProcess, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	o := emulator.NewCaller(b.settings.Front, emulator.Key).Do(ctx, emulator.Call{
		ID:       id,
		Method:   http.MethodPost,
		Path:     emulator.StreamPath,
		Body:     crashBody,
		Deadline: callDeadline,
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *crashingCaller) stop() []emulator.Outcome {
	close(p.done)
	p.worker.Wait()
	return p.outcomes
}

// replaceCrashed lists another server for each that ended under a request, as the platform
// does.
func (i *injector) replaceCrashed() {
	for _, s := range slices.Clone(i.fleet.servers) {
		if s.leavingSince.IsZero() && s.Ended() {
			i.recordFault("%s ended", s.ID)
			s.disturbed = true
			i.replaceServer(s)
		}
	}
}

// checkCrashingRequest checks that a deadly request was kept from engines once three had ended
// under it, and that what its caller was told is true.
func (r *Report) checkCrashingRequest(f *fleet, outcomes []emulator.Outcome) {
	runs := f.deployment.Runs()
	var crashRuns []emulator.Run
	for _, o := range outcomes {
		if o.NotRun() && len(runs[o.ID]) > 0 {
			r.addViolation("REFUSED: %s was told %d and ran", o.ID, o.Status)
		}
		crashRuns = append(crashRuns, runs[o.ID]...)
	}
	slices.SortFunc(crashRuns, func(a, b emulator.Run) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	r.CrashRuns = len(crashRuns)
	if len(crashRuns) <= crashThreshold {
		return
	}
	quarantinedAt := crashRuns[crashThreshold-1].At.Add(workTime + quarantineDelay)
	late := 0
	for _, run := range crashRuns {
		if run.At.After(quarantinedAt) {
			late++
		}
	}
	if late > maxLateCrashes {
		r.addViolation("BUDGET: a request under which three engines had ended reached %d more, %d in all", late, len(crashRuns))
	}
}
