package soak

import (
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
	// firstCrashSeed is the first seed whose run includes a request that crashes every engine
	// that runs it. Lower seeds keep their original faults.
	firstCrashSeed = 1000
	// crashBody is the body of the crashing request.
	crashBody = "no engine survives this"
	// meanCrashPause is the mean time between two sends of the crashing request.
	meanCrashPause = 400 * time.Millisecond
	// crashThreshold is the number of engine crashes after which boxes quarantine the request,
	// that is, refuse to run it. Once quarantineDelay has passed since the last of them, at most
	// maxLateCrashes more engines may receive the request.
	crashThreshold  = 3
	maxLateCrashes  = 3
	quarantineDelay = 3 * time.Second
)

// crashingCaller is a client that keeps sending crashing requests to random boxes: one request, or
// others that are alike in one part of their prompts only.
type crashingCaller struct {
	threshold int // number of crashes from which quarantineDelay counts
	mu        sync.Mutex
	outcomes  []emulator.Outcome
	worker    sync.WaitGroup
	done      chan struct{}
}

// startCrashingCaller starts the client, unless the seed has no crashing request.
func startCrashingCaller(f *fleet, seed uint64, planned bool) *crashingCaller {
	c := &crashingCaller{
		threshold: crashThreshold,
		done:      make(chan struct{}),
	}
	if f.hasBadPart {
		c.threshold = partCrashThreshold
	}
	if seed < firstCrashSeed || hasCuts(seed) || hasLapses(seed) || planned {
		return c
	}
	r := rand.New(rand.NewPCG(seed, 7))
	c.worker.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-c.done:
				return
			case <-time.After(time.Duration(r.Int64N(int64(2 * meanCrashPause)))):
			}
			call := emulator.Call{
				ID:       fmt.Sprintf("s%d-deadly-%d", seed, n),
				Method:   http.MethodPost,
				Path:     emulator.StreamPath,
				Body:     crashBody,
				Deadline: callDeadline,
			}
			if f.hasBadPart {
				call.Body = call.ID
				call.Parts = badPrompt(r, n)
			}
			c.send(f.boxes[r.IntN(len(f.boxes))], call)
		}
	})
	return c
}

func (c *crashingCaller) send(b *boxProcess, call emulator.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	o := emulator.NewCaller(b.settings.Front, emulator.Key).Do(ctx, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *crashingCaller) stop() []emulator.Outcome {
	close(c.done)
	c.worker.Wait()
	return c.outcomes
}

// replaceCrashed lists a new server in place of each that crashed during a request, as the
// platform does.
func (i *injector) replaceCrashed() {
	for _, s := range slices.Clone(i.fleet.servers) {
		if s.leavingSince.IsZero() && s.Stopped() {
			i.recordFault("%s crashed during a request", s.ID)
			s.disturbed = true
			i.replaceServer(s)
		}
	}
}

// checkCrashingRequest checks that crashing requests are quarantined after the given number of
// crashes, and that a request reported as not run reached no engine. Crashes before a time at which
// the last boxes that ran were killed are known to no box any more and don't count. It returns the
// sorted times of all crashes.
func (r *Report) checkCrashingRequest(f *fleet, outcomes []emulator.Outcome, threshold int, memoryLostTimes []time.Time) (crashTimes []time.Time) {
	runs := f.deployment.Runs()
	for _, o := range outcomes {
		if o.PromisesNotRun() && len(runs[o.ID]) > 0 {
			r.addViolation("REFUSED: %s got status %d (not run) but ran", o.ID, o.Status)
		}
		for _, run := range runs[o.ID] {
			crashTimes = append(crashTimes, run.StartedAt)
		}
	}
	slices.SortFunc(crashTimes, time.Time.Compare)
	r.CrashRuns = len(crashTimes)
	remembered := crashTimes
	for _, lostAt := range memoryLostTimes {
		known := slices.IndexFunc(remembered, func(at time.Time) bool { return at.After(lostAt) })
		if known < 0 {
			break
		}
		r.checkLateCrashes(remembered[:known], threshold)
		remembered = remembered[known:]
	}
	r.checkLateCrashes(remembered, threshold)
	return crashTimes
}

// checkLateCrashes checks the sorted times of crashes of which the boxes kept word.
func (r *Report) checkLateCrashes(crashTimes []time.Time, threshold int) {
	if len(crashTimes) <= threshold {
		return
	}
	quarantinedAt := crashTimes[threshold-1].Add(workTime + quarantineDelay)
	late := 0
	for _, at := range crashTimes {
		if at.After(quarantinedAt) {
			late++
		}
	}
	if late > maxLateCrashes {
		r.addViolation("BUDGET: requests that had crashed %d engines reached %d more after the quarantine delay, %d in all", threshold, late, len(crashTimes))
	}
}
