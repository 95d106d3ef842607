package proof

import (
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/model"
)

// Scenario causes one failure on real processes and checks some promises.
type Scenario struct {
	Name     string
	Promises []model.Promise
	Shape    Shape
	Run      func(*Fleet) (string, error) // returns a summary, or the promise that was broken
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	all := append(streamScenarios(), slowScenario())
	all = append(all, claimScenarios()...)
	all = append(all, configScenarios()...)
	all = append(all, partitionScenarios()...)
	all = append(all, lookupScenarios()...)
	return append(all, stopScenarios()...)
}

// Execute runs the scenario on its own fleet.
func (s *Scenario) Execute(programs string) (string, error) {
	shape := s.Shape
	if shape.Boxes == 0 {
		shape = DefaultShape()
	}
	f, err := Start(programs, shape)
	if err != nil {
		return "", errors.Wrap(err, "start the fleet")
	}
	defer f.Close()
	return s.Run(f)
}

// waitUntil polls a condition and reports whether it became true within the time.
func waitUntil(within time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return condition()
}
