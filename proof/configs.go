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
	promises := []model.Promise{model.NeverOlder}
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

func operatorsRace(f *Fleet) (string, error) {
	var wait sync.WaitGroup
	for _, version := range []uint64{2, 4, 3} {
		wait.Go(func() { _ = f.PublishConfig(version, nil) })
	}
	wait.Go(func() {
		_ = f.PublishConfig(5, func(c map[string]any) { c["tiers"] = []any{} })
	})
	wait.Wait()
	if _, err := f.everywhere(4, configLimit); err != nil {
		return "", err
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
	return fmt.Sprintf("version 4 won over 2, 3 and the faulty 5; version 6 was in force on %d boxes after %s with %d platform calls",
		len(f.boxes), took.Round(time.Millisecond), after-calls), err
}

func platformStale(f *Fleet) (string, error) {
	if err := f.PublishConfig(2, nil); err != nil {
		return "", err
	}
	if _, err := f.everywhere(2, configLimit); err != nil {
		return "", err
	}
	if err := f.Fault("platform", standin.Faults{Stale: true, StaleBy: 1}); err != nil {
		return "", err
	}
	f.replace(0)
	if err := f.Ready(30 * time.Second); err != nil {
		return "", err
	}
	if v := f.versionAt(0); v != 2 {
		return "", errors.Errorf("the replaced box serves version %d while its peers have 2", v)
	}
	if err := f.Fault("platform", standin.Faults{Down: true}); err != nil {
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
