package soak_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/soak"
)

var _ = Describe("the soak", func() {
	// The first two seeds cover planned work, and kills, pauses and link faults. The others cover
	// one fault each; most are regressions.
	DescribeTable("violates no guarantee with seed",
		func(seed int) {
			r, err := soak.Run(program, GinkgoT().TempDir(), uint64(seed))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Violations).To(BeEmpty(), "%s", r)
			Expect(r.Served).To(BeNumerically(">", 0))
		},
		Entry("planned work", 3),
		Entry("box kills, link faults and store faults", 7),
		Entry("server faults that reveal a request sent twice", 16),
		Entry("a SIGHUP ends a starting box that has no signal handlers yet", 33),
		Entry("a newly started box interrupts a stream to move it, with no send left to resume it", 2037),
		Entry("the store is restored from an older copy", 3001),
		Entry("all boxes are killed at the same moment, which lose word of crashes", 4049),
		Entry("planned work during bursts of urgent and patient streams for full and slow engines", 5001),
		Entry("boxes killed and paused, and engines that leave, during such bursts", 5003),
		Entry("a box is cut off from all servers, and one request without an endpoint keeps others from its peers", 6002),
		Entry("the first part of most prompts is at more crashes than the part that causes them", 7015),
		Entry("a request crashes every engine, behind proxies that make crashes look like resets", 1001),
		Entry("entries lapse while the store is down or their servers don't reach it, and boxes never use the servers again", 8000),
		Entry("boxes stopped and reloaded in series drop requests that they have read", 9005),
		Entry("runs are moved off a leaving engine with fewer sends left than they need to go on", 9004),
		Entry("connections to servers hang until deadlines have passed, and streams that are continued then look whole", 8001),
	)
})
