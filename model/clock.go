package model

import (
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// startTime is the moment at which every specification begins.
var startTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// timeStep is one step of a specification's time.
const timeStep = time.Second

func at(step int) time.Time { return startTime.Add(time.Duration(step) * timeStep) }

// boxNames are the boxes of every specification.
var boxNames = [3]string{"box-a", "box-b", "box-c"}

// newList builds a list version from the boxes that are live in it.
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
