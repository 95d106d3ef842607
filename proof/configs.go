package proof

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/model"
	"dillsaddle.example/dillsaddle/standin"
)

func configScenarios() []Scenario {
	promises := []model.Promise{model.NeverOlderConfig}
	wide := DefaultShape()
	wide.Boxes = 8
	return []Scenario{
		{
			Name:     "operators race, with a faulty document between two good ones, on 8 boxes",
			Promises: promises,
			Shape:    wide,
			Run:      operatorsRace,
		},
		{
			Name:     "the platform is stale, then down, while a box is replaced",
			Promises: promises,
			Run:      platformStale,
		},
	}
}

// versionAt gives the configuration version that a box's entry has in force.
func (f *Fleet) versionAt(i int) uint64 {
	var s struct {
		Version uint64 `json:"config_version"`
	}
	_, body, err := f.get(f.boxes[i].Admin, "/status")
	if err != nil || json.Unmarshal(body, &s) != nil {
		return 0
	}
	return s.Version
}

// versions gives the versions in force by box.
func (f *Fleet) versions() []uint64 {
	all := make([]uint64, 0, len(f.boxes))
	for i := range f.boxes {
		all = append(all, f.versionAt(i))
	}
	return all
}

// everywhere waits until every box has a version in force, and gives the time.
func (f *Fleet) everywhere(version uint64, within time.Duration) (time.Duration, error) {
	began := time.Now()
	reached := until(within, func() bool {
		for i := range f.boxes {
			if f.versionAt(i) != version {
				return false
			}
		}
		return true
	})
	if !reached {
		return 0, errors.Errorf("version %d was not in force everywhere within %s", version, within)
	}
	return time.Since(began), nil
}

// configLimit is the time within which a version must be in force everywhere.
const configLimit = 15 * time.Second

// operatorsRace publishes three versions at once and in any order, a faulty one
// after them, and a last one. Which of the three wins is the race's matter: the
// platform shows what came last, and a version that nobody read is gone. All boxes
// must agree on one, go back at no moment, and never take the faulty one.
func operatorsRace(f *Fleet) (string, error) {
	seen := f.observe()
	var wait sync.WaitGroup
	for _, version := range []uint64{2, 4, 3} {
		wait.Go(func() { _ = f.PublishConfig(version, nil) })
	}
	wait.Wait()
	won, err := f.agreed(configLimit)
	if err != nil {
		return "", err
	}
	if err := f.PublishConfig(5, func(c map[string]any) { c["tiers"] = []any{} }); err != nil {
		return "", err
	}
	time.Sleep(settle)
	if _, err := f.everywhere(won, configLimit); err != nil {
		return "", errors.Wrap(err, "after the faulty document")
	}
	calls, err := f.PlatformCalls()
	if err != nil {
		return "", err
	}
	if err := f.PublishConfig(6, nil); err != nil {
		return "", err
	}
	took, err := f.everywhere(6, configLimit)
	if err != nil {
		return "", err
	}
	after, err := f.PlatformCalls()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d won the race everywhere, the faulty 5 nowhere; version 6 was in force on %d boxes after %s with %d platform calls",
		won, len(f.boxes), took.Round(time.Millisecond), after-calls), seen()
}

// agreed waits until all boxes have the same version above the first in force.
func (f *Fleet) agreed(within time.Duration) (uint64, error) {
	var version uint64
	reached := until(within, func() bool {
		version = f.versionAt(0)
		for i := range f.boxes {
			if f.versionAt(i) != version {
				return false
			}
		}
		return version > 1
	})
	if !reached {
		return 0, errors.Errorf("the boxes did not agree on a version within %s", within)
	}
	return version, nil
}

// observe looks at every box's version until the returned function is called,
// which tells whether one went back.
func (f *Fleet) observe() func() error {
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() {
		highest := make([]uint64, len(f.boxes))
		for {
			for i := range f.boxes {
				v := f.versionAt(i)
				if v > 0 && v < highest[i] {
					done <- errors.Errorf("%s went back from version %d to %d", f.boxes[i].Name, highest[i], v)
					return
				}
				highest[i] = max(highest[i], v)
			}
			select {
			case <-stop:
				done <- nil
				return
			default:
			}
		}
	}()
	return func() error {
		close(stop)
		return <-done
	}
}

func platformStale(f *Fleet) (string, error) {
	if err := f.PublishConfig(2, nil); err != nil {
		return "", err
	}
	if _, err := f.everywhere(2, configLimit); err != nil {
		return "", err
	}
	if err := f.SetFaults("platform", standin.Faults{Stale: true, StaleBy: 1}); err != nil {
		return "", err
	}
	f.replace(0)
	if err := f.Ready(30 * time.Second); err != nil {
		return "", err
	}
	if v := f.versionAt(0); v != 2 {
		return "", errors.Errorf("the replaced box serves version %d while its peers have 2", v)
	}
	if err := f.SetFaults("platform", standin.Faults{Down: true}); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	streams := f.Many(6, func() {})
	whole, err := f.judge(streams, f.Records())
	if err == nil && whole != len(streams) {
		err = errors.Errorf("%d of %d streams came whole while the platform was down", whole, len(streams))
	}
	return fmt.Sprintf("the replaced box took version 2 from its peers; %d streams whole while the platform was down", whole), err
}

// replace kills all processes of a box and starts them with empty memory.
func (f *Fleet) replace(i int) {
	for _, part := range []string{"entry", "scheduler", "watch"} {
		f.Signal(f.boxes[i].Name+"-"+part, syscall.SIGKILL)
	}
	for _, part := range []string{"watch", "scheduler", "entry"} {
		f.Restart(f.boxes[i].Name + "-" + part)
	}
}
