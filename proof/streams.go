package proof

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/model"
	"dillsaddle.example/dillsaddle/standin"
)

var streamPromises = []model.Promise{model.TokensOnce, model.CompleteAnswer}

func streamScenarios() []Scenario {
	return []Scenario{
		{
			Name:     "an engine is killed during 24 streams",
			Promises: streamPromises,
			Run:      engineKilled,
		},
		{
			Name:     "engines duplicate and reorder frames and break links during 24 streams",
			Promises: streamPromises,
			Run:      framesCorrupted,
		},
		{
			Name:     "engines stall without closing during 24 streams",
			Promises: streamPromises,
			Run:      enginesStall,
		},
		{
			Name:     "an entry box is killed and its callers reconnect through others",
			Promises: streamPromises,
			Run:      entryKilled,
		},
		{
			Name:     "scheduler and watch are paused past every timeout during 24 streams",
			Promises: streamPromises,
			Run:      controlProcessesPaused,
		},
		{
			Name:     "an engine refuses everything",
			Promises: []model.Promise{model.NotRunMeansNotRun},
			Run:      engineRefuses,
		},
		{
			Name:     "an endpoint leaves while its owners' watch processes are paused and resumed",
			Promises: []model.Promise{model.NoWorkWhenLeaving},
			Run:      endpointLeaves,
		},
	}
}

// streamCount is the number of streams in most scenarios.
const streamCount = 24

// verify checks every stream against the engines' records and counts the complete ones.
func (f *Fleet) verify(streams []*Stream, records []standin.Record) (complete int, err error) {
	for i, s := range streams {
		if err := s.Check(records); err != nil {
			return complete, errors.Wrapf(err, "stream %d", i)
		}
		if s.IsComplete() {
			complete++
		}
	}
	return complete, nil
}

// expectAllComplete returns an error that names the codes of the streams that did not complete.
func expectAllComplete(streams []*Stream) error {
	var codes []string
	for i, s := range streams {
		if !s.IsComplete() {
			codes = append(codes, fmt.Sprintf("stream %d ended with status %d and code %q after %d tokens", i, s.Status, s.Code, len(s.Tokens)))
		}
	}
	if len(codes) > 0 {
		return errors.Errorf("%d of %d streams completed: %s", len(streams)-len(codes), len(streams), strings.Join(codes, ", "))
	}
	return nil
}

func engineKilled(f *Fleet) (string, error) {
	before, err := f.EngineRecord(0)
	if err != nil {
		return "", err
	}
	streams := f.RunStreams(streamCount, func() {
		before, _ = f.EngineRecord(0)
		f.Signal("engine-1", syscall.SIGKILL)
	})
	complete, err := f.verify(streams, f.Records())
	lost := 0
	for i, s := range streams {
		_, existed := before.Tokens[s.Generation]
		if s.IsComplete() {
			continue
		}
		lost++
		if !existed {
			return "", errors.Errorf("stream %d ended as %q, although its engine was running", i, s.Code)
		}
		if s.Code != "generation_lost" {
			return "", errors.Errorf("stream %d of the killed engine ended as %q", i, s.Code)
		}
	}
	return fmt.Sprintf("%d streams completed, %d ended with generation_lost", complete, lost), err
}

func framesCorrupted(f *Fleet) (string, error) {
	for i := range f.engines {
		if err := f.SetFaults(fmt.Sprintf("engine-%d", i+1), standin.Faults{DuplicateEvery: 3, ReorderEvery: 7, CutEvery: 40}); err != nil {
			return "", err
		}
	}
	streams := f.RunStreams(streamCount, func() {})
	complete, err := f.verify(streams, f.Records())
	if err == nil {
		err = expectAllComplete(streams)
	}
	return fmt.Sprintf("%d streams completed", complete), err
}

func enginesStall(f *Fleet) (string, error) {
	streams := f.RunStreams(streamCount, func() {
		for i := range f.engines {
			_ = f.SetFaults(fmt.Sprintf("engine-%d", i+1), standin.Faults{Stall: true})
		}
		time.Sleep(5 * time.Second)
		for i := range f.engines {
			_ = f.SetFaults(fmt.Sprintf("engine-%d", i+1), standin.Faults{})
		}
	})
	complete, err := f.verify(streams, f.Records())
	if err == nil {
		err = expectAllComplete(streams)
	}
	return fmt.Sprintf("%d streams completed", complete), err
}

// maxWaves bounds the attempts to have enough streams running on one box at once. On a
// busy machine, short streams may end before the others begin.
const maxWaves = 10

// minRunning is how many streams must be running when their box is killed.
const minRunning = 4

func entryKilled(f *Fleet) (string, error) {
	var streams []*Stream
	for range maxWaves {
		wave, wait := f.startStreams(8, func(int) int { return 0 })
		streams = append(streams, wave...)
		waitUntil(streamTimeout, func() bool {
			return countWithProgress(wave, streamRunning) >= minRunning || countWithProgress(wave, streamWaiting) == 0
		})
		enoughRunning := countWithProgress(wave, streamRunning) >= minRunning
		if enoughRunning {
			f.Signal("box-1-entry", syscall.SIGKILL)
		}
		wait()
		if enoughRunning {
			return f.reconnect(streams)
		}
	}
	return "", errors.Errorf("in %d waves of streams, fewer than %d ran at once, so the scenario is inconclusive", maxWaves, minRunning)
}

// reconnect continues the streams that were interrupted at the first box through the others.
func (f *Fleet) reconnect(streams []*Stream) (string, error) {
	reconnected := 0
	for i, s := range streams {
		if s.ID == "" || s.IsComplete() {
			continue
		}
		s.Code = "" // the error of the broken link
		if err := f.Continue(context.Background(), s, 1+i%2); err != nil {
			return "", errors.Wrapf(err, "continue stream %d", i)
		}
		if !s.IsComplete() {
			return "", errors.Errorf("stream %d ended as %q %q after the reconnect", i, s.Code, s.Body)
		}
		reconnected++
	}
	if reconnected == 0 {
		return "", errors.New("no stream was interrupted by the kill, so the scenario is inconclusive")
	}
	_, err := f.verify(streams, f.Records())
	return fmt.Sprintf("%d of %d streams reconnected and completed", reconnected, len(streams)), err
}

func controlProcessesPaused(f *Fleet) (string, error) {
	processes := []string{"box-1-scheduler", "box-2-watch", "box-3-scheduler"}
	streams := f.RunStreams(streamCount, func() {
		for _, name := range processes {
			f.Signal(name, syscall.SIGSTOP)
		}
		time.Sleep(8 * time.Second)
		for _, name := range processes {
			f.Signal(name, syscall.SIGCONT)
		}
	})
	complete, err := f.verify(streams, f.Records())
	if err == nil {
		err = expectAllComplete(streams)
	}
	return fmt.Sprintf("%d streams completed", complete), err
}

func engineRefuses(f *Fleet) (string, error) {
	for i := range f.engines {
		if err := f.SetFaults(fmt.Sprintf("engine-%d", i+1), standin.Faults{Refuse: true}); err != nil {
			return "", err
		}
	}
	notRun := 0
	for i := range 6 {
		s, err := f.ReadStream(context.Background(), i%len(f.boxes), nil)
		if err != nil {
			return "", err
		}
		if s.Outcome != "not-run" {
			return "", errors.Errorf("request %d got the outcome %q instead of not-run", i, s.Outcome)
		}
		notRun++
	}
	for i, r := range f.Records() {
		if len(r.Starts) > 0 {
			return "", errors.Errorf("engine %d started %d generations of requests reported as not run", i+1, len(r.Starts))
		}
	}
	return fmt.Sprintf("%d requests not run, no generation started", notRun), nil
}

// leavingLimit is the time after which a leaving endpoint must get no new work. It covers
// a lease, the validity of a list snapshot and a poll of the platform.
const leavingLimit = 10 * time.Second

func endpointLeaves(f *Fleet) (string, error) {
	if err := f.PublishList(func(l *core.List) { l.Endpoints[0].Leaving = true }); err != nil {
		return "", err
	}
	for i := range f.boxes {
		f.Signal(f.boxes[i].Name+"-watch", syscall.SIGSTOP)
	}
	time.Sleep(leavingLimit)
	for i := range f.boxes {
		f.Signal(f.boxes[i].Name+"-watch", syscall.SIGCONT)
	}
	time.Sleep(leavingLimit)
	before, err := f.EngineRecord(0)
	if err != nil {
		return "", err
	}
	for i := range 12 {
		if _, err := f.ReadStream(context.Background(), i%len(f.boxes), nil); err != nil {
			return "", err
		}
	}
	after, err := f.EngineRecord(0)
	if err != nil {
		return "", err
	}
	if len(after.Starts) != len(before.Starts) {
		return "", errors.Errorf("the leaving engine started %d generations", len(after.Starts)-len(before.Starts))
	}
	return fmt.Sprintf("12 streams, none on the leaving engine after %s", 2*leavingLimit), nil
}
