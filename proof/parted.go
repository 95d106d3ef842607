package proof

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/model"
	"dillsaddle.example/dillsaddle/standin"
)

func partedScenarios() []Scenario {
	shape := DefaultShape()
	shape.Boxes = 4
	shape.Ways = true
	return []Scenario{{
		Name: "the fleet is parted in two, one part without the platform, and meets again",
		Promises: []model.Promise{
			model.TokensOnce,
			model.WholeAnswer,
			model.NotRunMeansNotRun,
			model.AtMostOnce,
			model.NeverOlder,
		},
		Shape: shape,
		Run:   fleetParted,
	}}
}

// partedFor is longer than every time-out between boxes, and than the time after
// which owners cut off lease less.
const partedFor = 8 * time.Second

// fleetParted cuts boxes 3 and 4 off during streams and record writes. Their
// platform is down meanwhile, and a configuration is published to the others'.
func fleetParted(f *Fleet) (string, error) {
	seen := f.observe()
	var before, during, after []write
	keys := make([]string, 12)
	for n := range keys {
		keys[n] = newKey()
	}
	before = f.writesThroughAll(keys[:6])
	streams := f.Many(manyStreams, func() {
		f.Part(true, 2, 3)
		for _, name := range []string{"platform-3", "platform-4"} {
			_ = f.Fault(name, standin.Faults{Down: true})
		}
		_ = f.publishTo(2, 0, 1)
		time.Sleep(partedFor)
		during = f.writesThroughAll(keys)
	})
	inside, err := f.wholeThroughAll()
	if err != nil {
		return "", errors.Wrap(err, "while parted")
	}
	if versions := f.versions(); !slices.Equal(versions, []uint64{2, 2, 1, 1}) {
		return "", errors.Errorf("the boxes have versions %d; the parts are not apart and the proof showed nothing", versions)
	}
	f.Part(false, 2, 3)
	took, err := f.everywhere(2, configLimit)
	if err != nil {
		return "", errors.Wrap(err, "after the parts met")
	}
	for _, name := range []string{"platform-3", "platform-4"} {
		_ = f.Fault(name, standin.Faults{})
	}
	after = f.writesThroughAll(keys)
	if ran := ranKeys(after); len(ran) != len(keys) {
		return "", errors.Errorf("%d of %d writes ran after the parts met", len(ran), len(keys))
	}
	refused := 0
	for _, w := range during {
		if w.outcome == "not-run" {
			refused++
		}
	}
	if refused == 0 {
		return "", errors.New("no write was refused for a home beyond the cut; the proof showed nothing")
	}
	said, err := f.judgeWrites(append(append(before, during...), after...))
	if err != nil {
		return "", err
	}
	whole, err := f.judge(append(streams, inside...), f.Records())
	if err == nil && whole != len(streams)+len(inside) {
		err = errors.Errorf("%d of %d streams came whole", whole, len(streams)+len(inside))
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d streams whole, %d of them begun while parted; %s, %d told not run while parted; version 2 everywhere %s after they met",
		whole, len(inside), said, refused, took.Round(10*time.Millisecond)), seen()
}

// wholeThroughAll brings two streams to each box, all of which must come whole.
func (f *Fleet) wholeThroughAll() ([]*Stream, error) {
	streams := f.Many(2*len(f.boxes), func() {})
	for i, s := range streams {
		if !s.Whole() {
			return nil, errors.Errorf("stream %d through %s ended as %q %q", i, f.boxes[i%len(f.boxes)].Name, s.Code, s.Body)
		}
	}
	return streams, nil
}
