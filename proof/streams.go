package proof

import (
	"context"
	"fmt"
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
			Name:     "engines double, swap and cut frames during 24 streams",
			Promises: streamPromises,
			Run:      framesSpoilt,
		},
		{
			Name:     "engines stall without closing during 24 streams",
			Promises: streamPromises,
			Run:      enginesStall,
		},
		{
			Name:     "an entry box is killed and its callers come back through others",
			Promises: streamPromises,
			Run:      entryKilled,
		},
		{
			Name:     "scheduler and watch are paused past every time-out during 24 streams",
			Promises: streamPromises,
			Run:      controlPaused,
		},
		{
			Name:     "an engine refuses everything",
			Promises: []model.Promise{model.NotRunMeansNotRun},
			Run:      engineRefuses,
		},
		{
			Name:     "an endpoint leaves, and its owners' watches are paused and wake",
			Promises: []model.Promise{model.NoWorkWhenLeaving},
			Run:      endpointLeaves,
		},
	}
}

const manyStreams = 24

// judge checks every stream against the engines' records and counts the whole.
func (f *Fleet) judge(streams []*Stream, records []standin.Record) (whole int, err error) {
	for i, s := range streams {
		if err := s.Check(records); err != nil {
			return whole, errors.Wrapf(err, "stream %d", i)
		}
		if s.Whole() {
			whole++
		}
	}
	return whole, nil
}

func engineKilled(f *Fleet) (string, error) {
	before, err := f.EngineRecord(0)
	if err != nil {
		return "", err
	}
	streams := f.Many(manyStreams, func() {
		before, _ = f.EngineRecord(0)
		f.Signal("engine-1", syscall.SIGKILL)
	})
	whole, err := f.judge(streams, f.Records())
	lost := 0
	for i, s := range streams {
		_, there := before.Tokens[s.Generation]
		if s.Whole() {
			continue
		}
		lost++
		if !there {
			return "", errors.Errorf("stream %d ended as %q though its engine lived", i, s.Code)
		}
		if s.Code != "generation_lost" {
			return "", errors.Errorf("stream %d of the dead engine ended as %q", i, s.Code)
		}
	}
	return fmt.Sprintf("%d whole, %d ended with the typed error", whole, lost), err
}

func framesSpoilt(f *Fleet) (string, error) {
	for i := range f.engines {
		if err := f.SetFaults(fmt.Sprintf("engine-%d", i+1), standin.Faults{DuplicateEvery: 3, ReorderEvery: 7, CutEvery: 40}); err != nil {
			return "", err
		}
	}
	streams := f.Many(manyStreams, func() {})
	whole, err := f.judge(streams, f.Records())
	if err == nil && whole != manyStreams {
		err = errors.Errorf("%d of %d streams came whole", whole, manyStreams)
	}
	return fmt.Sprintf("%d whole", whole), err
}

func enginesStall(f *Fleet) (string, error) {
	streams := f.Many(manyStreams, func() {
		for i := range f.engines {
			_ = f.SetFaults(fmt.Sprintf("engine-%d", i+1), standin.Faults{Stall: true})
		}
		time.Sleep(5 * time.Second)
		for i := range f.engines {
			_ = f.SetFaults(fmt.Sprintf("engine-%d", i+1), standin.Faults{})
		}
	})
	whole, err := f.judge(streams, f.Records())
	if err == nil && whole != manyStreams {
		err = errors.Errorf("%d of %d streams came whole", whole, manyStreams)
	}
	return fmt.Sprintf("%d whole", whole), err
}

// cutWaves bounds the tries to have streams under way on one box at once: on a
// busy machine short streams may end before the others begin.
const cutWaves = 10

// cutLeast is how many streams are to be under way when their box is killed.
const cutLeast = 4

func entryKilled(f *Fleet) (string, error) {
	var streams []*Stream
	for range cutWaves {
		wave, wait := f.openAll(8, func(int) int { return 0 })
		streams = append(streams, wave...)
		until(longestStream, func() bool {
			return countProgress(wave, streamUnderWay) >= cutLeast || countProgress(wave, streamWaits) == 0
		})
		underWay := countProgress(wave, streamUnderWay) >= cutLeast
		if underWay {
			f.Signal("box-1-entry", syscall.SIGKILL)
		}
		wait()
		if underWay {
			return f.comeBack(streams)
		}
	}
	return "", errors.Errorf("in %d waves of streams, no %d were under way at once; the proof showed nothing", cutWaves, cutLeast)
}

// comeBack continues streams that were cut at box 0 through the other boxes.
func (f *Fleet) comeBack(streams []*Stream) (string, error) {
	back := 0
	for i, s := range streams {
		if s.ID == "" || s.Whole() {
			continue
		}
		s.Code = "" // the broken link's
		if err := f.Continue(context.Background(), s, 1+i%2); err != nil {
			return "", errors.Wrapf(err, "continue stream %d", i)
		}
		if !s.Whole() {
			return "", errors.Errorf("stream %d ended as %q %q after it came back", i, s.Code, s.Body)
		}
		back++
	}
	if back == 0 {
		return "", errors.New("no stream was cut by the kill; the proof showed nothing")
	}
	_, err := f.judge(streams, f.Records())
	return fmt.Sprintf("%d of %d came back and were whole", back, len(streams)), err
}

func controlPaused(f *Fleet) (string, error) {
	parts := []string{"box-1-scheduler", "box-2-watch", "box-3-scheduler"}
	streams := f.Many(manyStreams, func() {
		for _, name := range parts {
			f.Signal(name, syscall.SIGSTOP)
		}
		time.Sleep(8 * time.Second)
		for _, name := range parts {
			f.Signal(name, syscall.SIGCONT)
		}
	})
	whole, err := f.judge(streams, f.Records())
	if err == nil && whole != manyStreams {
		err = errors.Errorf("%d of %d streams came whole", whole, manyStreams)
	}
	return fmt.Sprintf("%d whole", whole), err
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
			return "", errors.Errorf("request %d was told %q", i, s.Outcome)
		}
		notRun++
	}
	for i, r := range f.Records() {
		if len(r.Starts) > 0 {
			return "", errors.Errorf("engine %d started %d generations of requests told not run", i+1, len(r.Starts))
		}
	}
	return fmt.Sprintf("%d told not run, none started", notRun), nil
}

// leavingLimit is the "few seconds" after which an endpoint that leaves gets
// nothing: a lease of four seconds, a reading of five, and the platform's poll.
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
