package proof_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/proof"
)

var _ = Describe("real processes", func() {
	for _, s := range proof.Scenarios() {
		It("keep the promises when "+s.Name, func() {
			seen, err := s.Execute(programs)
			AddReportEntry(seen)
			Expect(err).NotTo(HaveOccurred())
		})
	}
})
