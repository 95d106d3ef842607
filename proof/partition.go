package proof

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/model"
	"dillsaddle.example/dillsaddle/standin"
)

func partitionScenarios() []Scenario {
	shape := DefaultShape()
	shape.Boxes = 4
	shape.CuttableLinks = true
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
		Run:   fleetPartitioned,
	}}
}

// partitionDuration is longer than every time-out between boxes, and than the time after
// which owners cut off lease less.
const partitionDuration = 8 * time.Second

// partitionTest is what callers had before, while and after a fleet was parted.
type partitionTest struct {
	fleet              *Fleet
	keys               []string
	writes             []writeResult
	partitionedWrites  []writeResult
	streams            []*Stream
	partitionedStreams []*Stream // begun while parted
}

// fleetPartitioned cuts boxes 3 and 4 off during streams and record writes. Their
// platform is down meanwhile, and a configuration is published to the others'.
func fleetPartitioned(f *Fleet) (string, error) {
	stopMonitor := f.monitorVersions()
	p := &partitionTest{fleet: f}
	for range 12 {
		p.keys = append(p.keys, newKey())
	}
	p.writes = f.writeThroughAll(p.keys[:6])
	p.streams = f.RunStreams(streamCount, p.cutOffBoxes)
	if err := p.checkPartitioned(); err != nil {
		return "", errors.Wrap(err, "while parted")
	}
	took, err := p.heal()
	if err != nil {
		return "", errors.Wrap(err, "after the parts met")
	}
	summary, err := p.verify()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s; version 2 everywhere %s after they met", summary, took.Round(10*time.Millisecond)), stopMonitor()
}

// cutOffPlatforms are the platforms of the boxes that are cut off.
var cutOffPlatforms = []string{"platform-3", "platform-4"}

// cutOffBoxes parts the fleet and sends every write through every box.
func (p *partitionTest) cutOffBoxes() {
	p.fleet.Partition(true, 2, 3)
	for _, name := range cutOffPlatforms {
		_ = p.fleet.SetFaults(name, standin.Faults{Down: true})
	}
	_ = p.fleet.publishTo(2, 0, 1)
	time.Sleep(partitionDuration)
	p.partitionedWrites = p.fleet.writeThroughAll(p.keys)
	p.writes = append(p.writes, p.partitionedWrites...)
}

// checkPartitioned brings streams to every box, and checks that the parts are apart.
func (p *partitionTest) checkPartitioned() error {
	var err error
	if p.partitionedStreams, err = p.fleet.streamThroughAll(); err != nil {
		return err
	}
	if activeVersions := p.fleet.activeVersions(); !slices.Equal(activeVersions, []uint64{2, 2, 1, 1}) {
		return errors.Errorf("the boxes have versions %d; the parts are not apart and the proof showed nothing", activeVersions)
	}
	return nil
}

// heal opens the ways, waits for the version and sends every write once more.
func (p *partitionTest) heal() (time.Duration, error) {
	p.fleet.Partition(false, 2, 3)
	took, err := p.fleet.waitForVersion(2, configLimit)
	if err != nil {
		return took, err
	}
	for _, name := range cutOffPlatforms {
		_ = p.fleet.SetFaults(name, standin.Faults{})
	}
	after := p.fleet.writeThroughAll(p.keys)
	p.writes = append(p.writes, after...)
	if ran := keysRan(after); len(ran) != len(p.keys) {
		return took, errors.Errorf("%d of %d writes ran", len(ran), len(p.keys))
	}
	return took, nil
}

func (p *partitionTest) verify() (string, error) {
	refused := 0
	for _, w := range p.partitionedWrites {
		if w.outcome == "not-run" {
			refused++
		}
	}
	if refused == 0 {
		return "", errors.New("no write was refused for a home beyond the cut; the proof showed nothing")
	}
	summary, err := p.fleet.verifyWrites(p.writes)
	if err != nil {
		return "", err
	}
	all := append(p.streams, p.partitionedStreams...)
	complete, err := p.fleet.verify(all, p.fleet.Records())
	if err == nil && complete != len(all) {
		err = errors.Errorf("%d of %d streams came whole", complete, len(all))
	}
	return fmt.Sprintf("%d streams whole, %d of them begun while parted; %s, %d told not run while parted", complete, len(p.partitionedStreams), summary, refused), err
}

// streamThroughAll brings two streams to each box, all of which must come whole.
func (f *Fleet) streamThroughAll() ([]*Stream, error) {
	streams := f.RunStreams(2*len(f.boxes), func() {})
	for i, s := range streams {
		if !s.IsComplete() {
			return nil, errors.Errorf("stream %d through %s ended as %q %q", i, f.boxes[i%len(f.boxes)].Name, s.Code, s.Body)
		}
	}
	return streams, nil
}
