package model

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// startTime is the time at which every specification begins.
var startTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// timeStep is the duration of one step of a specification.
const timeStep = time.Second

// at returns the time of a step.
func at(step int) time.Time { return startTime.Add(time.Duration(step) * timeStep) }

// boxNames are the names of the boxes in every specification.
var boxNames = [3]string{"box-a", "box-b", "box-c"}

// newList returns a version of the list with the given live boxes.
func newList(version uint64, age time.Duration, live ...string) *core.List {
	l := &core.List{
		Version: version,
		Age:     age,
	}
	for _, name := range live {
		l.Boxes = append(l.Boxes, core.Member{Name: name})
	}
	return l
}
