package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// firstLoadSeed is the first seed whose run has bursts of urgent and patient streams for
	// engines with little memory, which work slower in spells. Lower seeds keep their original
	// faults.
	firstLoadSeed = 5000
	// engineMemory is enough for three patient streams at their end, in tokens.
	engineMemory = 600
	promptPause  = 10 * time.Millisecond
	usualPercent = 100
	// slowPercent is low enough for a stream that waited for another one to end within the grace
	// period of a stopping box.
	slowPercent = 200
	// burstUrgent and burstPatient are the requests of a burst, over all boxes. With the usual
	// streams of the callers, a burst needs more memory than the engines have.
	burstUrgent  = 12
	burstPatient = 6
	// maxBurstTime bounds the time from a burst to the fault during it, well below the time for
	// which requests may wait.
	maxBurstTime   = 400 * time.Millisecond
	urgentDeadline = 3 * time.Second
	tokensPerEvent = 4
)

// urgentTokens make a stream of two events.
var urgentTokens = emulator.Tokens{
	Prompt:    80,
	MaxOutput: 2 * tokensPerEvent,
}

// streamTokens returns the tokens of the other streams of a seed's run. Where engines are slow,
// streams have half of the usual number of events.
func streamTokens(seed uint64) emulator.Tokens {
	t := emulator.Tokens{
		Prompt:    100,
		MaxOutput: streamEvents * tokensPerEvent,
	}
	if hasLoad(seed) {
		t.MaxOutput /= 2
	}
	return t
}

// hasLoad reports whether a seed's run has routes that compete for full and slow engines.
func hasLoad(seed uint64) bool { return seed >= firstLoadSeed && !hasOwnFaults(seed) }

// documentOptions returns the options of the configurations of a seed's run.
func documentOptions(seed uint64) []emulator.DocumentOption {
	if !hasLoad(seed) {
		return nil
	}
	return []emulator.DocumentOption{emulator.WithCompetingRoutes(engineMemory)}
}

// limitEngine gives a new engine its memory and makes it report its slowdown.
func (f *fleet) limitEngine(s *emulator.Server, service string) {
	if !f.hasLoad || service != emulator.ModelService {
		return
	}
	s.MemoryTokens = engineMemory
	s.PromptPause = promptPause
	s.SetSlowdown(usualPercent)
}

// loadFaults sends bursts and injects faults while their requests wait for room. It draws from
// its own random source, so that the other faults of a seed stay the same.
type loadFaults struct {
	injector *injector
	callers  *callerPool
	r        *rand.Rand
	seed     uint64
	bursts   int
}

func newLoadFaults(i *injector, callers *callerPool, seed uint64) *loadFaults {
	return &loadFaults{
		injector: i,
		callers:  callers,
		r:        rand.New(rand.NewPCG(seed, 44)),
		seed:     seed,
	}
}

// step changes the pace of an engine and, in about half of its calls, sends a burst with a fault.
func (l *loadFaults) step() {
	if !l.injector.fleet.hasLoad {
		return
	}
	l.changePace()
	if l.r.IntN(2) == 0 {
		return
	}
	l.sendBurst()
	time.Sleep(time.Duration(l.r.Int64N(int64(maxBurstTime))))
	faults := []func(){l.drainEngine, l.revokeKey}
	if !l.injector.plannedOnly {
		faults = append(faults, l.injector.killBox, l.injector.pauseBox, l.crashEngine)
	}
	faults[l.r.IntN(len(faults))]()
}

// changePace begins a slow period of a random engine, or ends one.
func (l *loadFaults) changePace() {
	s := l.randomEngine()
	percent := usualPercent
	if l.r.IntN(2) == 0 {
		percent = slowPercent
	}
	l.injector.recordFault("%s works at %d%%", s.ID, percent)
	s.SetSlowdown(percent)
}

func (l *loadFaults) randomEngine() *listedServer {
	for {
		if s := l.injector.randomServerFrom(l.r); s.service == emulator.ModelService {
			return s
		}
	}
}

func (l *loadFaults) drainEngine()  { l.injector.drain(l.randomEngine()) }
func (l *loadFaults) crashEngine()  { l.injector.crash(l.randomEngine()) }
func (l *loadFaults) revokeKey()    { l.injector.publish(true) }
func (l *loadFaults) burst() string { return fmt.Sprintf("burst%d", l.bursts) }

// sendBurst sends requests of both kinds and customers to random boxes at once.
func (l *loadFaults) sendBurst() {
	l.bursts++
	l.injector.recordFault("%s", l.burst())
	for n := range burstUrgent + burstPatient {
		box := l.r.IntN(len(l.injector.fleet.boxes))
		kind, call := "urgent", emulator.Call{
			ID:       fmt.Sprintf("s%d-b%d-%s-%d", l.seed, box, l.burst(), n),
			Method:   http.MethodPost,
			Path:     emulator.ResumePath,
			Body:     "prompt",
			Deadline: urgentDeadline,
			Tokens:   urgentTokens,
		}
		if n >= burstUrgent {
			kind, call.Path, call.Deadline, call.Tokens = "stream", emulator.StreamPath, streamDeadline, l.injector.fleet.streamTokens
		}
		key := emulator.Key
		if n%2 == 1 {
			key = emulator.OtherKey
		}
		caller := emulator.NewCaller(l.injector.fleet.boxes[box].settings.Front, key)
		l.callers.workers.Go(func() { l.callers.send(caller, box, kind, call) })
	}
}

// send sends one request and records its result.
func (c *callerPool) send(caller *emulator.Caller, box int, kind string, call emulator.Call) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), call.Deadline+answerSlack)
	defer cancel()
	o := caller.Do(ctx, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, callResult{
		Outcome:   o,
		box:       box,
		kind:      kind,
		key:       caller.Key,
		startedAt: startedAt,
		endedAt:   time.Now(),
		deadline:  call.Deadline,
		events:    call.Tokens.MaxOutput / tokensPerEvent,
	})
}

// checkOverdue checks that callers of boxes to which nothing happened get an answer within their
// deadline and answerSlack, also those whose request waited for room.
func (r *Report) checkOverdue(f *fleet, results []callResult) {
	for _, s := range results {
		if s.Status == 0 && s.endedAt.Sub(s.startedAt) >= s.deadline+answerSlack && f.isUndisturbed(s.box) {
			r.addViolation("OVERDUE: %s got no answer within its deadline of %s and %s more", s.ID, s.deadline, answerSlack)
		}
	}
}
