package fleet_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/routing"
)

// fleetOf starts boxes' peers that know only the first one's address.
func fleetOf(n int) (all []*fleet.Peers, beliefs []*fleet.State) {
	texts, err := emulator.FreeAddresses(n)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	seed := netip.MustParseAddrPort(texts[0])
	for i, text := range texts {
		b := fleet.NewState()
		p, err := fleet.NewPeers(core.Peer{
			Box:        string(rune('a' + i)),
			Address:    netip.MustParseAddrPort(text),
			InstanceID: uint64(i),
		}, []netip.AddrPort{seed}, b)
		Expect(err).NotTo(HaveOccurred())
		go p.Run(ctx)
		all = append(all, p)
		beliefs = append(beliefs, b)
	}
	return all, beliefs
}

// purse is a box's part of a budget, counted in sends.
type purse struct {
	mu    sync.Mutex
	sends int
}

func (p *purse) TransferOut(_ time.Time, _ string, sends int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	given := min(sends, p.sends)
	p.sends -= given
	return given
}

func (p *purse) ReceiveTransfer(_ time.Time, _ string, sends int) { p.set(p.has() + sends) }

func (p *purse) has() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sends
}

func (p *purse) set(sends int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends = sends
}

var _ = Describe("peers", func() {
	const patience = 20 * time.Second

	It("find each other from one seed, and share what one of them learned", func() {
		all, beliefs := fleetOf(5)
		for _, p := range all {
			Eventually(p.Sharers).WithTimeout(patience).Should(Equal(5))
		}
		beliefs[3].ApplySnapshot(time.Now(), snapshot(10, endpoint("x", 1, false)))
		for _, b := range beliefs {
			Eventually(func() []string { return serving(b) }).WithTimeout(patience).Should(Equal([]string{"x"}))
		}
		news, any := beliefs[1].ApplyChanges(time.Now(), &fleet.Changes{
			Revision: 20,
			Document: document(6),
			Updated:  []routing.Endpoint{endpoint("x", 20, true)},
		})
		Expect(any).To(BeTrue())
		all[1].BroadcastUpdate(news)
		for _, b := range beliefs {
			Eventually(func() []string { return serving(b) }).WithTimeout(patience).Should(BeEmpty())
			Eventually(func() uint64 { return b.View().ConfigVersion() }).WithTimeout(patience).Should(BeEquivalentTo(6))
		}
	})

	It("count as few as can be before any other box was met", func() {
		texts, err := emulator.FreeAddresses(2)
		Expect(err).NotTo(HaveOccurred())
		own := netip.MustParseAddrPort(texts[0])
		p, err := fleet.NewPeers(core.Peer{
			Box:     "a",
			Address: own,
		}, []netip.AddrPort{own, netip.MustParseAddrPort(texts[1])}, fleet.NewState())
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Sharers()).To(BeNumerically(">", 1_000_000))
	})

	It("lend a part of a budget to one that needs it now", func() {
		all, _ := fleetOf(3)
		purses := make([]*purse, len(all))
		for i, p := range all {
			purses[i] = &purse{}
			p.SetRetryBudgets(purses[i])
		}
		for _, p := range all {
			Eventually(func() []string { return p.Group().Members }).WithTimeout(patience).Should(HaveLen(2))
		}
		purses[2].set(3)
		Eventually(func() int {
			all[0].BorrowRetries(context.Background(), "model")
			return purses[0].has()
		}).WithTimeout(patience).Should(Equal(1))
		Expect(purses[2].has()).To(Equal(2))
	})

	It("tell each other at once of an engine that leaves by its own word", func() {
		all, beliefs := fleetOf(3)
		for i, p := range all {
			Eventually(func() []string { return p.Group().Members }).WithTimeout(patience).Should(HaveLen(2))
			beliefs[i].ApplySnapshot(time.Now(), snapshot(10, endpoint("x", 1, false)))
		}
		beliefs[0].MarkLeaving(time.Now(), "engine", "x")
		all[0].BroadcastEvacuating(fleet.Evacuating{Endpoint: "x"})
		for _, b := range beliefs {
			Eventually(func() []string { return serving(b) }).WithTimeout(patience).Should(BeEmpty())
		}
	})

	It("agree on a few readers among many, and replace one that leaves", func() {
		all, _ := fleetOf(9)
		for _, p := range all {
			Eventually(p.Sharers).WithTimeout(patience).Should(Equal(9))
		}
		readers := func() int {
			n := 0
			for _, p := range all {
				if p.Reader() {
					n++
				}
			}
			return n
		}
		Eventually(readers).WithTimeout(patience).Should(Equal(5))
	})
})

var _ = Describe("news after a gap", func() {
	// Boxes that missed a change took each copy of later news as new and handed
	// it on again: a storm on the grown deployment's scale-2.
	It("are handed on once, however often they come", func() {
		all, beliefs := fleetOf(4)
		// Partners follow the roster at the next greeting; news that go out before
		// reach fewer, and nothing repairs these: their gap has no list behind it.
		for _, p := range all {
			Eventually(func() []string { return p.Group().Members }).WithTimeout(20 * time.Second).Should(HaveLen(3))
		}
		for _, b := range beliefs {
			b.ApplySnapshot(time.Now(), snapshot(10, endpoint("x", 1, false)))
		}
		before := all[0].Traffic()
		all[0].BroadcastUpdate(fleet.Update{
			BaseRevision: 15, // nobody has this
			ListRevision: 16,
			Updated:      []routing.Endpoint{endpoint("y", 16, false)},
		})
		Eventually(func() []string { return serving(beliefs[3]) }).WithTimeout(20 * time.Second).Should(ContainElement("y"))
		Consistently(func() uint64 { return all[0].Traffic() - before }).Should(BeNumerically("<", 200))
	})
})

var _ = Describe("many changes at once", func() {
	// Announcements without the changes counted as the changes themselves, so
	// that lists went stale: sweep-30 refused a quarter of its requests.
	It("are announced, and asked for by each box", func() {
		all, beliefs := fleetOf(4)
		for _, p := range all {
			Eventually(p.Sharers).WithTimeout(20 * time.Second).Should(Equal(4))
		}
		for _, b := range beliefs {
			b.ApplySnapshot(time.Now(), snapshot(10, endpoint("x", 1, false)))
		}
		var many []routing.Endpoint
		for i := range 40 {
			many = append(many, endpoint(fmt.Sprintf("y%02d", i), routing.Revision(20+i), false))
		}
		news, _ := beliefs[0].ApplyChanges(time.Now(), &fleet.Changes{
			Revision: 60,
			Updated:  many,
		})
		all[0].BroadcastUpdate(news)
		for _, b := range beliefs {
			Eventually(func() int { return len(serving(b)) }).WithTimeout(20 * time.Second).Should(Equal(41))
		}
	})
})
