package proof

import (
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/model"
)

func stopScenarios() []Scenario {
	var all []Scenario
	for _, role := range []string{"entry", "scheduler", "watch"} {
		all = append(all, Scenario{
			Name:     "a box's " + role + " makes a planned stop during 24 streams, and gets a second signal",
			Promises: []model.Promise{model.PlannedStopCutsNothing},
			Run:      func(f *Fleet) (string, error) { return plannedStop(f, "box-1-"+role) },
		})
	}
	return append(all, Scenario{
		Name:     "a claim owner makes a planned stop, and the writes are repeated",
		Promises: []model.Promise{model.PlannedStopCutsNothing, model.AtMostOnce},
		Run:      ownerStopped,
	})
}

// stopLimit bounds how long a process may take to exit after its last stream.
const stopLimit = 30 * time.Second

func plannedStop(f *Fleet, name string) (string, error) {
	streams := f.RunStreams(streamCount, func() {
		f.Signal(name, syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		f.Signal(name, syscall.SIGTERM)
	})
	complete, err := f.verify(streams, f.Records())
	if err == nil && complete != streamCount {
		err = errors.Errorf("%d of %d streams completed", complete, streamCount)
	}
	if err == nil && !f.WaitExit(name, stopLimit) {
		err = errors.Errorf("%s had not exited %s after the last stream", name, stopLimit)
	}
	return fmt.Sprintf("%d streams completed, then %s exited", complete, name), err
}

func ownerStopped(f *Fleet) (string, error) {
	all := f.writeRecords(20)
	f.Signal("box-1-scheduler", syscall.SIGTERM)
	if !f.WaitExit("box-1-scheduler", stopLimit) {
		return "", errors.New("the scheduler did not exit")
	}
	if err := f.PublishList(func(l *core.List) { l.Boxes = l.Boxes[1:] }); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	replayed := 0
	for _, w := range all[:20] {
		again := f.writeRecord(1, w.key, w.body)
		if again.outcome == "ran" {
			replayed++
		}
		all = append(all, again)
	}
	summary, err := f.verifyWrites(all)
	if err == nil && replayed != 20 {
		err = errors.Errorf("%d of 20 repeats were answered with the recorded outcome", replayed)
	}
	return fmt.Sprintf("%s, %d repeats answered from the handed-over records", summary, replayed), err
}
