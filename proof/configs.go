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
			Name:     "operators race, with an invalid document between two valid ones, on 8 boxes",
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

// activeVersion returns the configuration version that is active in a box's entry, or
// 0 if the entry doesn't answer.
func (f *Fleet) activeVersion(i int) uint64 {
	var s struct {
		Version uint64 `json:"config_version"`
	}
	_, body, err := f.get(f.boxes[i].Admin, "/status")
	if err != nil || json.Unmarshal(body, &s) != nil {
		return 0
	}
	return s.Version
}

// activeVersions returns the active version of each box.
func (f *Fleet) activeVersions() []uint64 {
	all := make([]uint64, 0, len(f.boxes))
	for i := range f.boxes {
		all = append(all, f.activeVersion(i))
	}
	return all
}

// waitForVersion waits until a version is active on every box, and returns the time
// that this took.
func (f *Fleet) waitForVersion(version uint64, within time.Duration) (time.Duration, error) {
	began := time.Now()
	reached := waitUntil(within, func() bool {
		for i := range f.boxes {
			if f.activeVersion(i) != version {
				return false
			}
		}
		return true
	})
	if !reached {
		return 0, errors.Errorf("version %d was not active on every box within %s", version, within)
	}
	return time.Since(began), nil
}

// configLimit is the time within which a version must be active on every box.
const configLimit = 15 * time.Second

// operatorsRace publishes three versions concurrently, then an invalid one, then a
// last one. Any of the three may win, as the platform keeps only the newest document.
// All boxes must agree on one, never go back to an older version, and never activate
// the invalid one.
func operatorsRace(f *Fleet) (string, error) {
	stopMonitor := f.monitorVersions()
	var wait sync.WaitGroup
	for _, version := range []uint64{2, 4, 3} {
		wait.Go(func() { _ = f.PublishConfig(version, nil) })
	}
	wait.Wait()
	won, err := f.waitForAgreement(configLimit)
	if err != nil {
		return "", err
	}
	if err := f.PublishConfig(5, func(c map[string]any) { c["tiers"] = []any{} }); err != nil {
		return "", err
	}
	time.Sleep(configSettleTime)
	if _, err := f.waitForVersion(won, configLimit); err != nil {
		return "", errors.Wrap(err, "after the invalid document")
	}
	calls, err := f.PlatformCalls()
	if err != nil {
		return "", err
	}
	if err := f.PublishConfig(6, nil); err != nil {
		return "", err
	}
	took, err := f.waitForVersion(6, configLimit)
	if err != nil {
		return "", err
	}
	after, err := f.PlatformCalls()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d won the race on every box, the invalid version 5 was never active; version 6 was active on %d boxes after %s with %d platform calls",
		won, len(f.boxes), took.Round(time.Millisecond), after-calls), stopMonitor()
}

// waitForAgreement waits until the same version after the first is active on all boxes.
func (f *Fleet) waitForAgreement(within time.Duration) (uint64, error) {
	var version uint64
	reached := waitUntil(within, func() bool {
		version = f.activeVersion(0)
		for i := range f.boxes {
			if f.activeVersion(i) != version {
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

// monitorVersions polls every box's version until the returned function is called,
// which returns an error if a box went back to an older version.
func (f *Fleet) monitorVersions() func() error {
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() {
		highest := make([]uint64, len(f.boxes))
		for {
			for i := range f.boxes {
				v := f.activeVersion(i)
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
	if _, err := f.waitForVersion(2, configLimit); err != nil {
		return "", err
	}
	if err := f.SetFaults("platform", standin.Faults{Stale: true, StaleBy: 1}); err != nil {
		return "", err
	}
	f.replaceBox(0)
	if err := f.WaitReady(30 * time.Second); err != nil {
		return "", err
	}
	if v := f.activeVersion(0); v != 2 {
		return "", errors.Errorf("the replaced box serves version %d while its peers have 2", v)
	}
	if err := f.SetFaults("platform", standin.Faults{Down: true}); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	streams := f.RunStreams(6, func() {})
	complete, err := f.verify(streams, f.Records())
	if err == nil && complete != len(streams) {
		err = errors.Errorf("%d of %d streams completed while the platform was down", complete, len(streams))
	}
	return fmt.Sprintf("the replaced box got version 2 from its peers; %d streams completed while the platform was down", complete), err
}

// replaceBox kills all processes of a box and restarts them with empty memory.
func (f *Fleet) replaceBox(i int) {
	for _, role := range []string{"entry", "scheduler", "watch"} {
		f.Signal(f.boxes[i].Name+"-"+role, syscall.SIGKILL)
	}
	for _, role := range []string{"watch", "scheduler", "entry"} {
		f.Restart(f.boxes[i].Name + "-" + role)
	}
}
