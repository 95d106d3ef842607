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
		Name: "half the fleet is cut off from the platform and the other half, and the partition heals",
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

// partitionDuration exceeds every timeout between boxes, and the time after which owners
// that are cut off reduce the share of memory that they lease.
const partitionDuration = 8 * time.Second

// partitionTest holds the callers' results before, during and after a partition.
type partitionTest struct {
	fleet              *Fleet
	keys               []string
	writes             []writeResult
	partitionedWrites  []writeResult
	streams            []*Stream
	partitionedStreams []*Stream // streams begun during the partition
}

// fleetPartitioned cuts boxes 3 and 4 off from the others during streams and record
// writes. Their platforms are down meanwhile, and a configuration is published to the
// other boxes only.
func fleetPartitioned(f *Fleet) (string, error) {
	stopMonitor := f.monitorVersions()
	p := &partitionTest{fleet: f}
	for range 12 {
		p.keys = append(p.keys, newKey())
	}
	p.writes = f.writeThroughAll(p.keys[:6])
	p.streams = f.RunStreams(streamCount, p.cutOffBoxes)
	if err := p.checkPartitioned(); err != nil {
		return "", errors.Wrap(err, "during the partition")
	}
	took, err := p.heal()
	if err != nil {
		return "", errors.Wrap(err, "after the partition healed")
	}
	summary, err := p.verify()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s; version 2 active on every box %s after the partition healed", summary, took.Round(10*time.Millisecond)), stopMonitor()
}

// cutOffPlatforms are the platforms of the boxes that are cut off.
var cutOffPlatforms = []string{"platform-3", "platform-4"}

// cutOffBoxes partitions the fleet and sends every write through every box.
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

// checkPartitioned runs streams through every box and checks that a configuration
// reached only one side of the partition.
func (p *partitionTest) checkPartitioned() error {
	var err error
	if p.partitionedStreams, err = p.fleet.streamThroughAll(); err != nil {
		return err
	}
	if activeVersions := p.fleet.activeVersions(); !slices.Equal(activeVersions, []uint64{2, 2, 1, 1}) {
		return errors.Errorf("the boxes have versions %d, so the fleet is not partitioned and the scenario is inconclusive", activeVersions)
	}
	return nil
}

// heal ends the partition, waits for the version and sends every write again.
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

// verify checks all writes and streams, and that the partition had an effect.
func (p *partitionTest) verify() (string, error) {
	refused := 0
	for _, w := range p.partitionedWrites {
		if w.outcome == "not-run" {
			refused++
		}
	}
	if refused == 0 {
		return "", errors.New("no write was refused because its owner was unreachable, so the scenario is inconclusive")
	}
	summary, err := p.fleet.verifyWrites(p.writes)
	if err != nil {
		return "", err
	}
	all := append(p.streams, p.partitionedStreams...)
	complete, err := p.fleet.verify(all, p.fleet.Records())
	if err == nil && complete != len(all) {
		err = errors.Errorf("%d of %d streams completed", complete, len(all))
	}
	return fmt.Sprintf("%d streams completed, %d of them begun during the partition; %s, %d not run during the partition", complete, len(p.partitionedStreams), summary, refused), err
}

// streamThroughAll runs two streams through each box, all of which must complete.
func (f *Fleet) streamThroughAll() ([]*Stream, error) {
	streams := f.RunStreams(2*len(f.boxes), func() {})
	for i, s := range streams {
		if !s.IsComplete() {
			return nil, errors.Errorf("stream %d through %s ended as %q %q", i, f.boxes[i%len(f.boxes)].Name, s.Code, s.Body)
		}
	}
	return streams, nil
}
