package core_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("store readers", func() {
	newPeer := func(name string, mbps uint32) core.Peer {
		return core.Peer{
			Box:      name,
			LinkMbps: mbps,
		}
	}
	readers := func(all []core.Peer, count int) []string {
		var out []string
		for i, p := range all {
			others := append(append([]core.Peer(nil), all[:i]...), all[i+1:]...)
			if core.ReaderRank(p, others) < count {
				out = append(out, p.Box)
			}
		}
		return out
	}

	It("are the boxes with the fastest links", func() {
		all := []core.Peer{newPeer("a", 10), newPeer("b", 200), newPeer("c", 10), newPeer("d", 190), newPeer("e", 10), newPeer("f", 10)}
		Expect(readers(all, 2)).To(Equal([]string{"b", "d"}))
		Expect(readers(all, 3)).To(And(HaveLen(3), ContainElements("b", "d")))
	})

	It("are chosen in the same number when link speeds are unknown", func() {
		all := []core.Peer{newPeer("a", 0), newPeer("b", 0), newPeer("c", 0), newPeer("d", 0)}
		Expect(readers(all, 2)).To(HaveLen(2))
	})
})
