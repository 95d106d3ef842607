package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("peer discovery of a starting box", func() {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var discovery *core.PeerDiscovery
	var expectsPeers bool // whether there are other boxes
	BeforeEach(func() { expectsPeers = true })
	BeforeEach(func() { discovery = core.NewPeerDiscovery(start, core.DefaultPeerDiscoveryRules()) })
	// completesAfter returns the time until discovery is complete, or 0 if it isn't within
	// ten seconds. The number of peers is observed four times per second.
	completesAfter := func(known func(time.Duration) int) time.Duration {
		for age := time.Duration(0); age < 10*time.Second; age += 250 * time.Millisecond {
			if discovery.Observe(start.Add(age), known(age), expectsPeers) {
				return age
			}
		}
		return 0
	}

	It("completes after a second if there are no other boxes", func() {
		expectsPeers = false
		Expect(completesAfter(func(time.Duration) int { return 0 })).To(Equal(time.Second))
	})

	It("waits for the first peer, up to the maximum time", func() {
		Expect(completesAfter(func(time.Duration) int { return 0 })).To(Equal(5 * time.Second))
	})

	It("completes once few peers are new", func() {
		// The box knows twice as many of 300 peers every half second.
		known := func(age time.Duration) int {
			return min(300, 8<<min(8, age/(500*time.Millisecond)))
		}
		Expect(completesAfter(known)).To(Equal(3500 * time.Millisecond))
	})

	It("completes after the maximum time even if the number of peers keeps growing", func() {
		known := func(age time.Duration) int { return 1 << (age / (500 * time.Millisecond)) }
		Expect(completesAfter(known)).To(Equal(5 * time.Second))
	})

	It("stays complete when boxes join later", func() {
		completesAfter(func(time.Duration) int { return 3 })
		Expect(discovery.Observe(start.Add(20*time.Second), 400, true)).To(BeTrue())
	})
})
