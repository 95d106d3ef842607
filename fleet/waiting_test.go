package fleet_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("messages about waiting requests", func() {
	// Guards against requests that are held up by those of a killed box until their limits.
	It("reach the other boxes whole, and a killed box is reported to their handlers", func() {
		texts, err := emulator.FreeAddresses(2)
		Expect(err).NotTo(HaveOccurred())
		placements, gone := make(chan fleet.Placement, 16), make(chan string, 16)
		start := func(ctx context.Context, at int, box string, options ...fleet.PeersOption) *fleet.Peers {
			p, err := fleet.NewPeers(core.Peer{
				Box:        box,
				Address:    netip.MustParseAddrPort(texts[at]),
				InstanceID: uint64(at),
			}, []netip.AddrPort{netip.MustParseAddrPort(texts[0])}, fleet.NewState(), options...)
			Expect(err).NotTo(HaveOccurred())
			go p.Run(ctx)
			return p
		}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		killed, kill := context.WithCancel(ctx)
		first := start(ctx, 0, "a",
			fleet.WithPlacementHandler(func(_ time.Time, p fleet.Placement) { placements <- p }),
			fleet.WithBoxGoneHandler(func(box string) { gone <- box }),
		)
		second := start(killed, 1, "b")
		for _, p := range []*fleet.Peers{first, second} {
			Eventually(func() []string { return p.Group().Members }, "20s").Should(HaveLen(1))
		}
		sent := fleet.Placement{Waiting: &fleet.Waiting{
			Request:  "r",
			Service:  "engines",
			Customer: "one",
			Priority: routing.Priority{
				Customer: 1,
				Route:    3,
			},
			DueIn:  -time.Second,
			Limit:  time.Second,
			Tokens: 3000,
			Prompt: 2500,
			Box:    "b",
		}}
		second.BroadcastPlacement(sent)
		Eventually(placements, "5s").Should(Receive(Equal(sent)))
		Expect(gone).To(BeEmpty())
		kill()
		Eventually(gone, "20s").Should(Receive(Equal("b")))
	})
})
