package soak_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/soak"
)

var _ = Describe("the soak", func() {
	// A seed with planned work only, and one with kills, pauses and cuts. Seeds
	// that broke a promise once are added here, each with a line on the cause.
	DescribeTable("keeps the promises with seed",
		func(seed int) {
			r, err := soak.Run(program, GinkgoT().TempDir(), uint64(seed))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Violations).To(BeEmpty(), r.String())
			Expect(r.Served).To(BeNumerically(">", 0))
		},
		Entry("planned work", 3),
		Entry("kills, links and stores", 7),
		Entry("servers' faults that would show a request sent twice", 16),
		Entry("a reload met a starting box, which had no signal handlers yet and ended", 33),
		Entry("a box that had just started moved a stream without a send to go on with", 2037),
		Entry("a store that comes back from an older copy", 3001),
		Entry("a request that no engine survives, whose ends were not told from resets behind a proxy", 1001),
	)
})
