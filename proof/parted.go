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
			model.CompleteAnswer,
			model.NotRunMeansNotRun,
			model.AtMostOnce,
			model.NeverOlderConfig,
		},
		Shape: shape,
		Run:   fleetParted,
	}}
}

// partedFor is longer than every time-out between boxes, and than the time after
// which owners cut off lease less.
const partedFor = 8 * time.Second

// parted is what callers had before, while and after a fleet was parted.
type parted struct {
	fleet   *Fleet
	keys    []string
	writes  []write
	during  []write
	streams []*Stream
	inside  []*Stream // begun while parted
}

// fleetParted cuts boxes 3 and 4 off during streams and record writes. Their
// platform is down meanwhile, and a configuration is published to the others'.
func fleetParted(f *Fleet) (string, error) {
	seen := f.observe()
	p := &parted{fleet: f}
	for range 12 {
		p.keys = append(p.keys, newKey())
	}
	p.writes = f.writesThroughAll(p.keys[:6])
	p.streams = f.Many(manyStreams, p.cutOff)
	if err := p.serveApart(); err != nil {
		return "", errors.Wrap(err, "while parted")
	}
	took, err := p.meet()
	if err != nil {
		return "", errors.Wrap(err, "after the parts met")
	}
	said, err := p.judge()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s; version 2 everywhere %s after they met", said, took.Round(10*time.Millisecond)), seen()
}

// cutOffPlatforms are the platforms of the boxes that are cut off.
var cutOffPlatforms = []string{"platform-3", "platform-4"}

// cutOff parts the fleet and sends every write through every box.
func (p *parted) cutOff() {
	p.fleet.Part(true, 2, 3)
	for _, name := range cutOffPlatforms {
		_ = p.fleet.SetFaults(name, standin.Faults{Down: true})
	}
	_ = p.fleet.publishTo(2, 0, 1)
	time.Sleep(partedFor)
	p.during = p.fleet.writesThroughAll(p.keys)
	p.writes = append(p.writes, p.during...)
}

// serveApart brings streams to every box, and checks that the parts are apart.
func (p *parted) serveApart() error {
	var err error
	if p.inside, err = p.fleet.wholeThroughAll(); err != nil {
		return err
	}
	if versions := p.fleet.versions(); !slices.Equal(versions, []uint64{2, 2, 1, 1}) {
		return errors.Errorf("the boxes have versions %d; the parts are not apart and the proof showed nothing", versions)
	}
	return nil
}

// meet opens the ways, waits for the version and sends every write once more.
func (p *parted) meet() (time.Duration, error) {
	p.fleet.Part(false, 2, 3)
	took, err := p.fleet.everywhere(2, configLimit)
	if err != nil {
		return took, err
	}
	for _, name := range cutOffPlatforms {
		_ = p.fleet.SetFaults(name, standin.Faults{})
	}
	after := p.fleet.writesThroughAll(p.keys)
	p.writes = append(p.writes, after...)
	if ran := ranKeys(after); len(ran) != len(p.keys) {
		return took, errors.Errorf("%d of %d writes ran", len(ran), len(p.keys))
	}
	return took, nil
}

func (p *parted) judge() (string, error) {
	refused := 0
	for _, w := range p.during {
		if w.outcome == "not-run" {
			refused++
		}
	}
	if refused == 0 {
		return "", errors.New("no write was refused for a home beyond the cut; the proof showed nothing")
	}
	said, err := p.fleet.judgeWrites(p.writes)
	if err != nil {
		return "", err
	}
	all := append(p.streams, p.inside...)
	whole, err := p.fleet.judge(all, p.fleet.Records())
	if err == nil && whole != len(all) {
		err = errors.Errorf("%d of %d streams came whole", whole, len(all))
	}
	return fmt.Sprintf("%d streams whole, %d of them begun while parted; %s, %d told not run while parted", whole, len(p.inside), said, refused), err
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
