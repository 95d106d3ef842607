package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// firstMassFaultSeed is the first seed whose run kills many boxes at the same moment,
	// restarts servers under their IDs and writes unusable entries. Lower seeds keep their
	// original faults.
	firstMassFaultSeed = 4000
	massFaultCount     = 4
)

// massFaults injects faults that hit many boxes or that only large deployments see often. It
// draws from its own random source, so that the other faults of a seed stay the same.
type massFaults struct {
	injector  *injector
	r         *rand.Rand
	remaining int
}

func newMassFaults(i *injector, seed uint64) *massFaults {
	m := &massFaults{
		injector: i,
		r:        rand.New(rand.NewPCG(seed, 33)),
	}
	if reportsStarts(seed) {
		m.remaining = massFaultCount
	}
	return m
}

// reportsStarts reports whether the servers of a seed's run tell when they started.
func reportsStarts(seed uint64) bool { return seed >= firstMassFaultSeed && !hasOwnFaults(seed) }

// step injects one of the faults in about half of its calls.
func (m *massFaults) step() {
	if m.remaining == 0 || m.r.IntN(2) == 0 {
		return
	}
	m.remaining--
	faults := []func(){m.writeUnusableEntry}
	if !m.injector.plannedOnly {
		faults = append(faults, m.restartServer, m.killHalf, m.killAll)
	}
	faults[m.r.IntN(len(faults))]()
}

func (m *massFaults) killAll() { m.kill(m.injector.fleet.boxes) }

// killHalf kills half of the boxes, chosen at random.
func (m *massFaults) killHalf() {
	boxes := m.injector.fleet.boxes
	var half []*boxProcess
	for _, n := range m.r.Perm(len(boxes))[:(len(boxes)+1)/2] {
		half = append(half, boxes[n])
	}
	m.kill(half)
}

// kill kills boxes at the same moment, and restarts them when all have exited.
func (m *massFaults) kill(boxes []*boxProcess) {
	i := m.injector
	i.recordFault("SIGKILL to %d boxes at once", len(boxes))
	i.recordMemoryLoss(boxes...)
	for _, b := range boxes {
		b.markRestarting()
		b.signal(syscall.SIGKILL)
	}
	for _, b := range boxes {
		<-b.exitChannel()
	}
	for _, b := range boxes {
		if err := b.start(i.fleet.program); err != nil {
			i.recordFault("%s failed to start: %v", b.settings.Name, err)
		}
	}
}

// recordMemoryLoss records that boxes are about to be killed, if no other one runs: what the boxes
// told each other is lost then, or is known only to a paused one.
func (i *injector) recordMemoryLoss(killed ...*boxProcess) {
	for _, b := range i.fleet.boxes {
		if !slices.Contains(killed, b) && b.isRunning() {
			return
		}
	}
	i.memoryLostTimes = append(i.memoryLostTimes, time.Now())
}

// restartServer crashes a server and starts it again with the same ID and address.
func (m *massFaults) restartServer() {
	i := m.injector
	s := i.randomServerFrom(m.r)
	i.recordFault("%s restarts under its ID", s.ID)
	s.disturbed = true
	next, err := s.Restart(time.Now().UnixMilli())
	if err != nil {
		i.recordFault("%s failed to restart: %v", s.ID, err)
		i.replaceServer(s)
		return
	}
	s.Server = next
	i.fleet.deployment.AddStarted(next)
	i.fleet.deployment.PutEntryAt(next, s.proxy.Address(), s.service, "ready")
}

// writeUnusableEntry writes a server's entry as another program might: with fields missing or of
// other types, in an unknown state, or as bytes that can't be parsed.
func (m *massFaults) writeUnusableEntry() {
	i := m.injector
	i.recordFault("an unusable entry is written")
	d := i.fleet.deployment
	const id = "i-foreign"
	fields := i.randomServerFrom(m.r).Entry("127.0.0.1:1", "model", "ready")
	switch m.r.IntN(4) {
	case 0:
		d.PutEntryBytes(id, []byte{0xff, '{'})
	case 1:
		delete(fields, "address")
		d.PutEntryFields(id, fields)
	case 2:
		fields["slots"] = "many"
		d.PutEntryFields(id, fields)
	case 3:
		fields["state"] = "resting"
		d.PutEntryFields(id, fields)
	}
}
