package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// simulatedBox is a box of a simulated fleet that gossips as real boxes do.
type simulatedBox struct {
	self        core.Peer
	roster      *core.Roster
	alive       []string // boxes that were alive in its view at its last turn
	lostPeers   int      // how often another box ceased to be alive in its view
	down        bool
	turn        int
	outsidePeer int // index of its current gossip partner outside its group
}

// simulatedFleet runs gossip in virtual time.
type simulatedFleet struct {
	random *rand.Rand
	now    time.Time
	boxes  []*simulatedBox
	index  map[string]int // index in boxes by name
	rounds int
}

func newSimulatedFleet(size int) *simulatedFleet {
	f := &simulatedFleet{
		random: rand.New(rand.NewPCG(1, uint64(size))),
		now:    noon,
		index:  make(map[string]int),
	}
	for i := range size {
		self := core.Peer{
			Box:        fmt.Sprintf("box-%03d", i),
			Zone:       fmt.Sprintf("zone-%d", i%3),
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 1),
			InstanceID: 1,
		}
		f.index[self.Box] = i
		f.boxes = append(f.boxes, &simulatedBox{
			self:   self,
			roster: core.NewRoster(self, core.DefaultRosterRules()),
		})
	}
	return f
}

// run lets every box gossip with one other box each quarter of a second.
func (f *simulatedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(250 * time.Millisecond) {
		for _, i := range f.random.Perm(len(f.boxes)) {
			if !f.boxes[i].down {
				f.gossip(i)
			}
		}
		f.rounds++
	}
}

func (f *simulatedFleet) gossip(i int) {
	b := f.boxes[i]
	b.roster.DropSilent(f.now)
	alive := b.roster.Alive(f.now)
	b.observe(alive)
	if f.rounds%16 == 0 || f.boxes[b.outsidePeer].down {
		b.outsidePeer = f.random.IntN(3)
		if len(alive) > 0 && f.random.IntN(8) > 0 {
			b.outsidePeer = f.index[alive[f.random.IntN(len(alive))].Box]
		}
	}
	partners := []int{b.outsidePeer}
	for _, name := range core.GroupOf(b.self, alive, 10*len(f.boxes)).Members {
		partners = append(partners, f.index[name])
	}
	b.turn++
	other := f.boxes[partners[b.turn%len(partners)]]
	switch {
	case other == b:
	case other.down:
		b.roster.RecordNoAnswer(f.now, other.self.Address)
	default:
		sent, reply := b.roster.Sample(f.now), other.roster.Sample(f.now)
		other.roster.Merge(f.now, sent)
		other.roster.RecordContact(f.now, b.self)
		b.roster.Merge(f.now, reply)
		b.roster.RecordContact(f.now, other.self)
	}
}

func (b *simulatedBox) observe(alive []core.Peer) {
	var names []string
	for _, m := range alive {
		names = append(names, m.Box)
	}
	for _, name := range b.alive {
		if !slices.Contains(names, name) {
			b.lostPeers++
		}
	}
	b.alive = names
}

func (f *simulatedFleet) countLost() int {
	n := 0
	for _, b := range f.boxes {
		n += b.lostPeers
	}
	return n
}

// countAlive returns the smallest and largest number of peers that running boxes see alive.
func (f *simulatedFleet) countAlive() (fewest, most int) {
	fewest = len(f.boxes)
	for _, b := range f.boxes {
		if !b.down {
			fewest = min(fewest, len(b.alive))
			most = max(most, len(b.alive))
		}
	}
	return fewest, most
}

var _ = Describe("rosters of a large fleet", func() {
	// Silence must not count against distant boxes, whose records arrive rarely: they would
	// be lost and found all the time, and groups and readers would keep changing.
	It("see every box alive while all answer, and only unresponsive ones as lost", func() {
		f := newSimulatedFleet(120)
		f.run(15 * time.Second)
		fewest, _ := f.countAlive()
		Expect(fewest).To(Equal(119))
		Expect(f.countLost()).To(BeZero())

		f.run(60 * time.Second)
		Expect(f.countLost()).To(BeZero())

		for _, b := range f.boxes[100:] {
			b.down = true
		}
		f.run(12 * time.Second)
		fewest, most := f.countAlive()
		Expect(fewest).To(Equal(99))
		Expect(most).To(Equal(99))
		// A few are suspected at once, cleared by records from just before they fell
		// silent, and suspected again.
		Expect(f.countLost()).To(BeNumerically("~", 100*20, 20))

		for _, b := range f.boxes[100:] {
			b.down = false
			b.self.InstanceID = 2
			b.roster = core.NewRoster(b.self, core.DefaultRosterRules())
			b.alive = nil
		}
		f.run(10 * time.Second)
		fewest, _ = f.countAlive()
		Expect(fewest).To(Equal(119))
	})

	It("contradict a suspicion with newer records", func() {
		f := newSimulatedFleet(30)
		f.run(10 * time.Second)
		// One box gets no answer from three others that all other boxes reach.
		for _, other := range f.boxes[4:7] {
			f.boxes[3].roster.RecordNoAnswer(f.now.Add(3*time.Second), other.self.Address)
		}
		f.run(6 * time.Second)
		fewest, _ := f.countAlive()
		Expect(fewest).To(Equal(29))
		Expect(f.countLost()).To(BeNumerically("<=", 3*30))
	})
})
