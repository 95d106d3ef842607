package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	faultCount     = 8
	meanFaultPause = 700 * time.Millisecond
	undoDelay      = 2 * time.Second
	// recoveryTimeout bounds how long boxes may take to serve again after the last fault.
	recoveryTimeout = 12 * time.Second
	// applyTimeout bounds the time until a published change is applied, with slack for a busy
	// machine.
	applyTimeout = 4 * time.Second
	// storeSettleTime is the time before and after applyTimeout in which a store fault exempts a
	// change from the check of applyTimeout.
	storeSettleTime = 5 * time.Second
)

// Report is the result of one seed.
type Report struct {
	Seed       uint64
	Planned    bool // the seed has planned work only
	Faults     []string
	Requests   int
	Served     int
	CrashRuns  int      // how often the crashing request reached an engine
	Waits      int      // how many requests waited for room at an engine
	Shares     []string // of the requests served after each fault, or after all of them
	Violations []string // the violated guarantees, each with the request
	LogLines   []string // the boxes' log lines about the requests that violations name, the first 60
	LogFolder  string   // folder of the boxes' logs
}

// String formats the report: a summary line, then a line for each violation.
func (r *Report) String() string {
	kind := "mixed"
	if r.Planned {
		kind = "planned"
	}
	line := fmt.Sprintf("seed %d (%s): %d of %d served, %d broken; %s", r.Seed, kind, r.Served, r.Requests, len(r.Violations), strings.Join(r.Faults, ", "))
	if r.CrashRuns > 0 {
		line += fmt.Sprintf("; the crashing request reached %d engines", r.CrashRuns)
	}
	if r.Waits > 0 {
		line += fmt.Sprintf("; %d requests waited for room", r.Waits)
	}
	if len(r.Shares) > 0 {
		line += "; share served after the faults: " + strings.Join(r.Shares, ", ")
	}
	for _, b := range r.Violations {
		line += "\n  " + b
	}
	for _, l := range r.LogLines {
		line += "\n    " + l
	}
	return line
}

// Option changes how a seed is run.
type Option func(*options)

type options struct {
	boxes int
}

// WithBoxes sets the number of boxes; the default is three.
func WithBoxes(boxes int) Option {
	return func(o *options) { o.boxes = boxes }
}

// Run runs one seed with the given box program and writes the boxes' logs to the folder.
// Every third seed below those with lapsing entries has planned work only.
func Run(program, folder string, seed uint64, opts ...Option) (*Report, error) {
	o := options{boxes: defaultBoxes}
	for _, option := range opts {
		option(&o)
	}
	if hasHangs(seed) {
		o.boxes = 1
	}
	f, err := startFleet(program, folder, o.boxes, seed)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	planned := seed%3 == 0 && !hasLapses(seed) || hasStops(seed)
	callers := startCallers(f, seed)
	idle := startIdleCallers(f, seed)
	crashing := startCrashingCaller(f, seed, planned)
	i := newInjector(f, seed, planned)
	announcements := newAnnouncer(f, seed)
	announcements.announceLimits()
	restorer := newStoreRestorer(i, seed)
	massFaults := newMassFaults(i, seed)
	load := newLoadFaults(i, callers, seed)
	cuts := newPathCuts(i, seed)
	time.Sleep(meanFaultPause)
	cuts.begin()
	f.crowd.schedule()
	lapses := newLapses(i, seed)
	firstFaultAt := time.Now()
	switch {
	case hasLapses(seed):
		lapses.run()
	case hasStops(seed):
		newStops(i, seed).run()
	default:
		for range faultCount {
			i.restartExited()
			i.replaceCrashed()
			i.injectRandom()
			restorer.step()
			massFaults.step()
			load.step()
			time.Sleep(time.Duration(i.r.Int64N(int64(2 * meanFaultPause))))
			if i.r.IntN(2) == 0 {
				i.undoOldest()
			}
		}
	}
	time.Sleep(undoDelay)
	for len(i.undo) > 0 {
		i.undoOldest()
	}
	cuts.end()
	r := &Report{
		Seed:      seed,
		Planned:   planned,
		LogFolder: folder,
	}
	announcements.clearLimits()
	i.restartExited()
	i.replaceCrashed()
	r.checkRecovery(f)
	if !hasLapses(seed) {
		lapses.recordSeries(firstFaultAt)
	}
	r.Violations = append(r.Violations, i.unexpectedExits...)
	idleResults := idle.stop()
	results := callers.stop()
	r.Faults = append(i.descriptions, announcements.String())
	r.checkCalls(f, i, results)
	r.checkNotices(f, announcements, results)
	r.checkCuts(cuts, results)
	r.checkShares(f, lapses, results)
	r.checkFalls(f)
	crashTimes := r.checkCrashingRequest(f, crashing.stop(), crashing.threshold, i.memoryLostTimes)
	r.checkSoundPrompts(f, crashTimes, results)
	r.checkCrowd(f, results)
	if err := r.checkStops(f, idleResults); err != nil {
		return r, err
	}
	if err := r.checkLogs(f, i, results); err != nil || len(r.Violations) == 0 {
		return r, err
	}
	return r, r.quoteLogs(f)
}

func (i *injector) undoOldest() {
	if len(i.undo) == 0 {
		return
	}
	undo := i.undo[0]
	i.undo = i.undo[1:]
	undo()
}

func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// checkRecovery checks that each box serves again within recoveryTimeout of the last fault.
func (r *Report) checkRecovery(f *fleet) {
	deadline := time.Now().Add(recoveryTimeout)
	for n, b := range f.boxes {
		caller := emulator.NewCaller(b.settings.Front, emulator.Key)
		for try := 0; ; try++ {
			ctx, cancel := context.WithTimeout(context.Background(), 2*callDeadline)
			o := caller.Do(ctx, emulator.Call{
				ID:       fmt.Sprintf("recovery-%d-%d-%d", r.Seed, n, try),
				Method:   http.MethodPost,
				Path:     emulator.CallPath,
				Deadline: callDeadline,
			})
			cancel()
			if o.Status == http.StatusOK && o.Fault == "" {
				break
			}
			if time.Now().After(deadline) {
				r.addViolation("RECOVER: %s does not serve %s after the last fault: status %d", b.settings.Name, recoveryTimeout, o.Status)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// checkCalls checks that each answer is the complete, correct one to its request, and that no
// request ran more often than allowed.
func (r *Report) checkCalls(f *fleet, i *injector, results []callResult) {
	runs := f.deployment.Runs()
	for _, s := range results {
		r.Requests++
		if s.Status == http.StatusOK && s.IsComplete && s.Fault == "" {
			r.Served++
		}
		if s.Fault != "" {
			r.addViolation("MIXED or ORDER: %s", s.Fault)
		}
		if s.events > 0 && s.Status == http.StatusOK && s.IsComplete && s.Events != s.events {
			r.addViolation("ORDER: stream %s ended as complete after %d events", s.ID, s.Events)
		}
		starts := 0
		for _, run := range runs[s.ID] {
			if run.ResumedFrom == "" {
				starts++
			}
			if run.Key != "" {
				r.addViolation("the key of %s was forwarded to a server", s.ID)
			}
		}
		if !s.mayRepeat() && starts > 1 {
			r.addViolation("TWICE: %s ran %d times", s.ID, starts)
		}
		if s.PromisesNotRun() && len(runs[s.ID]) > 0 {
			r.addViolation("REFUSED: %s got status %d (not run) but ran", s.ID, s.Status)
		}
		if s.mayRepeat() && starts > 2 {
			r.addViolation("BUDGET: %s ran on %d servers", s.ID, starts)
		}
	}
	r.checkPlannedWork(i, results, runs)
	r.checkLeavingServers(f, i, runs)
	r.checkRevokedKey(i, results)
	r.checkOverdue(f, results)
}

// checkPlannedWork checks that planned work interrupts no request that a server runs.
func (r *Report) checkPlannedWork(i *injector, results []callResult, runs map[string][]emulator.Run) {
	if !i.plannedOnly {
		return
	}
	for _, s := range results {
		if s.Status == 0 && len(runs[s.ID]) > 0 && s.endedAt.Sub(s.startedAt) < graceSeconds*time.Second/2 {
			r.addViolation("LOST: %s was sent to a server and its connection closed without an answer", s.ID)
		}
		if s.events > 0 && s.Status == http.StatusOK && !s.IsComplete {
			r.addViolation("LOST: planned work interrupted stream %s after %d events", s.ID, s.Events)
		}
	}
}

// checkLeavingServers checks that a leaving server gets no new requests after applyTimeout,
// unless the store had faults around that time.
func (r *Report) checkLeavingServers(f *fleet, i *injector, runs map[string][]emulator.Run) {
	for _, s := range f.servers {
		if s.leavingSince.IsZero() || i.storeFaultNear(s.leavingSince) {
			continue
		}
		for id, all := range runs {
			for _, run := range all {
				if run.Server == s.ID && run.ResumedFrom == "" && run.StartedAt.After(s.leavingSince.Add(applyTimeout)) && !i.anyBoxDisturbed(f) {
					r.addViolation("DRAIN: %s reached %s %s after the server began to leave", id, s.ID, run.StartedAt.Sub(s.leavingSince))
				}
			}
		}
	}
}

// checkRevokedKey checks that no request with a revoked key is served after applyTimeout.
func (r *Report) checkRevokedKey(i *injector, results []callResult) {
	if i.keyRevokedAt.IsZero() || i.storeFaultNear(i.keyRevokedAt) {
		return
	}
	for _, s := range results {
		if s.key == emulator.OtherKey && s.Status == http.StatusOK && s.startedAt.After(i.keyRevokedAt.Add(applyTimeout)) && !i.anyBoxDisturbed(i.fleet) {
			r.addViolation("CONFIG: %s was served %s after its key was revoked", s.ID, s.startedAt.Sub(i.keyRevokedAt))
		}
	}
}

// storeFaultNear reports whether the store or a link to it had a fault around a time.
func (i *injector) storeFaultNear(at time.Time) bool {
	for _, t := range i.storeFaultTimes {
		if t.After(at.Add(-storeSettleTime)) && t.Before(at.Add(applyTimeout+storeSettleTime)) {
			return true
		}
	}
	return false
}

// anyBoxDisturbed reports whether any box was killed or paused, so that its view may be outdated.
func (i *injector) anyBoxDisturbed(f *fleet) bool {
	for _, b := range f.boxes {
		if len(b.disturbances) > 0 {
			return true
		}
	}
	return false
}
