package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("a starting box's knowledge of the others", func() {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var s *core.PeerDiscovery
	var expected bool // whether there are others
	BeforeEach(func() { expected = true })
	BeforeEach(func() { s = core.NewPeerDiscovery(start, core.DefaultPeerDiscoveryRules()) })
	// after gives when it settles, looked at four times a second, or 0.
	after := func(known func(time.Duration) int) time.Duration {
		for age := time.Duration(0); age < 10*time.Second; age += 250 * time.Millisecond {
			if s.Observe(start.Add(age), known(age), expected) {
				return age
			}
		}
		return 0
	}

	It("settles after a second where there are no others", func() {
		expected = false
		Expect(after(func(time.Duration) int { return 0 })).To(Equal(time.Second))
	})

	It("waits for the first of the others, and in the end for none", func() {
		Expect(after(func(time.Duration) int { return 0 })).To(Equal(5 * time.Second))
	})

	It("settles once few are new", func() {
		// 300 boxes of which each knows twice as many every half second.
		known := func(age time.Duration) int {
			return min(300, 8<<min(8, age/(500*time.Millisecond)))
		}
		Expect(after(known)).To(Equal(3500 * time.Millisecond))
	})

	It("settles in the end though more and more come", func() {
		known := func(age time.Duration) int { return 1 << (age / (500 * time.Millisecond)) }
		Expect(after(known)).To(Equal(5 * time.Second))
	})

	It("stays settled when boxes join later", func() {
		after(func(time.Duration) int { return 3 })
		Expect(s.Observe(start.Add(20*time.Second), 400, true)).To(BeTrue())
	})
})
