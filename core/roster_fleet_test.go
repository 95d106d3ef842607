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

// rosterBox is a box of a simulated fleet that greets as the boxes do.
type rosterBox struct {
	self    core.Peer
	roster  *core.Roster
	alive   []string
	gone    int // boxes that it ceased to hold for there
	down    bool
	turn    int
	visitor int // a box of another group that it greets for a while
}

// rosterFleet plays greetings in virtual time.
type rosterFleet struct {
	random *rand.Rand
	now    time.Time
	boxes  []*rosterBox
	index  map[string]int
	rounds int
}

func newRosterFleet(size int) *rosterFleet {
	f := &rosterFleet{
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
		f.boxes = append(f.boxes, &rosterBox{
			self:   self,
			roster: core.NewRoster(self, core.DefaultRosterRules()),
		})
	}
	return f
}

// play lets every box greet one other each quarter of a second.
func (f *rosterFleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(250 * time.Millisecond) {
		for _, i := range f.random.Perm(len(f.boxes)) {
			if !f.boxes[i].down {
				f.greet(i)
			}
		}
		f.rounds++
	}
}

func (f *rosterFleet) greet(i int) {
	b := f.boxes[i]
	b.roster.DropSilent(f.now)
	alive := b.roster.Alive(f.now)
	b.look(alive)
	if f.rounds%16 == 0 || f.boxes[b.visitor].down {
		b.visitor = f.random.IntN(3)
		if len(alive) > 0 && f.random.IntN(8) > 0 {
			b.visitor = f.index[alive[f.random.IntN(len(alive))].Box]
		}
	}
	partners := []int{b.visitor}
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
		told, answer := b.roster.Sample(f.now), other.roster.Sample(f.now)
		other.roster.Merge(f.now, told)
		other.roster.RecordContact(f.now, b.self)
		b.roster.Merge(f.now, answer)
		b.roster.RecordContact(f.now, other.self)
	}
}

func (b *rosterBox) look(alive []core.Peer) {
	var names []string
	for _, m := range alive {
		names = append(names, m.Box)
	}
	for _, name := range b.alive {
		if !slices.Contains(names, name) {
			b.gone++
		}
	}
	b.alive = names
}

func (f *rosterFleet) losses() int {
	n := 0
	for _, b := range f.boxes {
		n += b.gone
	}
	return n
}

// holds counts how many of the others the boxes that are up hold for there.
func (f *rosterFleet) holds() (least, most int) {
	least = len(f.boxes)
	for _, b := range f.boxes {
		if !b.down {
			least = min(least, len(b.alive))
			most = max(most, len(b.alive))
		}
	}
	return least, most
}

var _ = Describe("rosters of a large fleet", func() {
	// Silence judged far boxes: word of each came round too seldom, so that 300
	// boxes held each other for gone some thousand times a second, their groups
	// changed all the time, and each chose readers of its own.
	It("hold every box for there while all answer, and only those for gone that don't", func() {
		f := newRosterFleet(120)
		f.play(15 * time.Second)
		least, _ := f.holds()
		Expect(least).To(Equal(119))
		Expect(f.losses()).To(BeZero())

		f.play(60 * time.Second)
		Expect(f.losses()).To(BeZero())

		for _, b := range f.boxes[100:] {
			b.down = true
		}
		f.play(12 * time.Second)
		least, most := f.holds()
		Expect(least).To(Equal(99))
		Expect(most).To(Equal(99))
		// A few are suspected at once, cleared by word from just before they fell
		// silent, and suspected again.
		Expect(f.losses()).To(BeNumerically("~", 100*20, 20))

		for _, b := range f.boxes[100:] {
			b.down = false
			b.self.InstanceID = 2
			b.roster = core.NewRoster(b.self, core.DefaultRosterRules())
			b.alive = nil
		}
		f.play(10 * time.Second)
		least, _ = f.holds()
		Expect(least).To(Equal(119))
	})

	It("contradict a suspicion by fresher word", func() {
		f := newRosterFleet(30)
		f.play(10 * time.Second)
		// One box finds three others silent that all others reach.
		for _, other := range f.boxes[4:7] {
			f.boxes[3].roster.RecordNoAnswer(f.now.Add(3*time.Second), other.self.Address)
		}
		f.play(6 * time.Second)
		least, _ := f.holds()
		Expect(least).To(Equal(29))
		Expect(f.losses()).To(BeNumerically("<=", 3*30))
	})
})
