package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// firstStopSeed is the first seed in whose run boxes are stopped and reloaded in series, the
	// configuration grows and its times get shorter, and callers keep idle connections. In odd
	// seeds an engine never answers.
	firstStopSeed         = 9000
	stopRounds            = 10
	idleCallersPerBox     = 12
	requestsPerConnection = 5
	maxIdle               = 1200 * time.Millisecond
	maxPartPause          = 300 * time.Millisecond
	maxReloads            = 6
	grownRoutes           = 300
	shortTimeoutMS        = 900
	longBody              = 4096
)

func hasStops(seed uint64) bool { return seed >= firstStopSeed }

// idleResult is a request on a kept connection, as its caller saw it.
type idleResult struct {
	emulator.Outcome
	err       error
	sentWhole bool
}

// idleCallers send requests in parts on connections that are idle between them, to all boxes.
type idleCallers struct {
	mu      sync.Mutex
	results []idleResult
	workers sync.WaitGroup
	done    chan struct{}
}

func startIdleCallers(f *fleet, seed uint64) *idleCallers {
	c := &idleCallers{done: make(chan struct{})}
	if !hasStops(seed) {
		return c
	}
	for box := range f.boxes {
		for n := range idleCallersPerBox {
			r := rand.New(rand.NewPCG(seed, uint64(1000+box*idleCallersPerBox+n)))
			c.workers.Go(func() {
				for k := 0; !c.pause(r, maxIdle/4); k++ {
					c.useConnection(f.boxes[box].settings.Front, r, fmt.Sprintf("s%d-b%d-r%d-%d", seed, box, n, k))
				}
			})
		}
	}
	return c
}

// pause sleeps for a random time, and reports whether the callers are to stop.
func (c *idleCallers) pause(r *rand.Rand, longest time.Duration) bool {
	select {
	case <-c.done:
		return true
	case <-time.After(time.Duration(r.Int64N(int64(longest)))):
		return false
	}
}

// useConnection opens a connection and sends requests on it until it is closed.
func (c *idleCallers) useConnection(front string, r *rand.Rand, name string) {
	conn, err := emulator.DialRaw(front)
	if err != nil {
		return
	}
	defer conn.Close()
	for n := range requestsPerConnection {
		if c.pause(r, maxIdle) {
			return
		}
		s := sendInParts(conn, r, fmt.Sprintf("%s-%d", name, n))
		c.mu.Lock()
		c.results = append(c.results, s)
		c.mu.Unlock()
		if s.err != nil || s.Closes {
			return
		}
	}
}

// sendInParts sends a request, in two parts at times, and reads its answer.
func sendInParts(conn *emulator.RawCaller, r *rand.Rand, id string) idleResult {
	text := emulator.RequestText(id, "record")
	switch r.IntN(6) {
	case 0:
		text = strings.Replace(text, emulator.CallPath, emulator.StreamPath, 1)
	case 1:
		text = emulator.RequestText(id, strings.Repeat("x", longBody))
	}
	s := idleResult{Outcome: emulator.Outcome{ID: id}}
	if r.IntN(2) == 0 {
		cut := 1 + r.IntN(len(text)-1)
		if s.err = conn.Send(text[:cut]); s.err != nil {
			return s
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPartPause))))
		text = text[cut:]
	}
	if s.err = conn.Send(text); s.err != nil {
		return s
	}
	s.sentWhole = true
	s.Outcome, s.err = conn.ReadAnswer()
	s.ID = id
	return s
}

// stop ends the callers and returns their results.
func (c *idleCallers) stop() []idleResult {
	close(c.done)
	c.workers.Wait()
	return c.results
}

// stops injects the planned work of a seed.
type stops struct {
	injector *injector
	r        *rand.Rand
}

func newStops(i *injector, seed uint64) *stops {
	s := &stops{
		injector: i,
		r:        rand.New(rand.NewPCG(seed, 77)),
	}
	if hasStops(seed) && seed%2 == 1 {
		silent := i.fleet.servers[len(i.fleet.servers)-1]
		i.recordFault("%s never answers", silent.ID)
		silent.disturbed = true
		silent.SetFault(emulator.SilentStream, -1)
	}
	return s
}

// run injects series of signals and configurations, which overlap. A box that was stopped is
// started again when it has ended, and may get signals while it starts.
func (s *stops) run() {
	for range stopRounds {
		work := []func(){s.stopBoxes, s.injector.stopBox, s.reloadInSeries, s.growConfiguration, s.injector.drainServer}
		work[s.r.IntN(len(work))]()
		time.Sleep(time.Duration(s.r.Int64N(int64(2 * meanFaultPause))))
		if s.r.IntN(3) == 0 {
			s.injector.undoOldest()
			s.reloadInSeries()
		}
	}
}

// stopBoxes stops some boxes one shortly after the other.
func (s *stops) stopBoxes() {
	for range 1 + s.r.IntN(len(s.injector.fleet.boxes)) {
		s.injector.stopBox()
		time.Sleep(time.Duration(s.r.Int64N(int64(meanFaultPause / 2))))
	}
}

// reloadInSeries sends a box several SIGHUPs, at times with a SIGTERM behind them.
func (s *stops) reloadInSeries() {
	b := s.injector.fleet.boxes[s.r.IntN(len(s.injector.fleet.boxes))]
	count := 1 + s.r.IntN(maxReloads)
	s.injector.recordFault("%d SIGHUPs to %s", count, b.settings.Name)
	for range count {
		b.signal(syscall.SIGHUP)
	}
	if s.r.IntN(3) == 0 {
		s.injector.recordFault("SIGTERM to %s", b.settings.Name)
		b.signal(syscall.SIGTERM)
		s.injector.restartAfterExit(b, (graceSeconds+1)*time.Second)
	}
}

// growConfiguration publishes a configuration with hundreds of routes more, or one with shorter
// times.
func (s *stops) growConfiguration() {
	i := s.injector
	i.version++
	option := emulator.WithMoreRoutes(s.r.IntN(grownRoutes))
	if s.r.IntN(2) == 0 {
		option = emulator.WithTimeout(shortTimeoutMS)
	}
	i.recordFault("configuration %d", i.version)
	i.lastPublished = emulator.NewDocument(i.version, append(i.fleet.documentOptions, option)...)
	i.fleet.deployment.Publish(i.lastPublished)
}

// unansweredLine is in a box's log if it closed a connection on which a request was read.
var unansweredLine = []byte("closed with a request unanswered")

// checkStops checks that each request that a box read has an answer, and that what was told not to
// have run has not. A box that outlasts its grace period loses what it has read.
func (r *Report) checkStops(f *fleet, results []idleResult) error {
	if !hasStops(r.Seed) {
		return nil
	}
	runs := f.deployment.Runs()
	for _, s := range results {
		r.Requests++
		if s.Status == http.StatusOK && s.IsComplete {
			r.Served++
		}
		if s.err != nil && s.sentWhole && len(runs[s.ID]) > 0 {
			r.addViolation("LOST: %s was sent to a server and its connection closed without an answer: %v", s.ID, s.err)
		}
		if s.Status == http.StatusOK && !s.IsComplete {
			r.addViolation("LOST: planned work interrupted the answer to %s", s.ID)
		}
		if s.PromisesNotRun() && len(runs[s.ID]) > 0 {
			r.addViolation("REFUSED: %s got status %d (not run) but ran", s.ID, s.Status)
		}
	}
	for _, b := range f.boxes {
		if b.wasKilled() {
			r.addViolation("LOST: %s was killed at the end of its grace period", b.settings.Name)
		}
		err := b.readLines(func(text []byte) {
			if bytes.Contains(text, unansweredLine) {
				r.addViolation("LOST: %s: %s", b.settings.Name, text)
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}
