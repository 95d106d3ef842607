package policy_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/policy"
)

var _ = Describe("a policy program", func() {
	It("decides and ranks", func() {
		p, err := policy.Compile("p", "request.fits ? 'run' : 'wait'", "double(request.tier_rank) - request.wait_seconds / 10.0")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Decide(&policy.Input{Fits: true})).To(Equal(policy.Run))
		Expect(p.Decide(&policy.Input{})).To(Equal(policy.Wait))
		Expect(p.Rank(&policy.Input{TierRank: 2, WaitSeconds: 5})).To(BeNumerically("~", 1.5))
	})

	DescribeTable("doesn't compile with an error, and the error says what to write instead",
		func(decide, rank, cause string) {
			_, err := policy.Compile("p", decide, rank)
			Expect(err).To(MatchError(And(ContainSubstring(cause), ContainSubstring("write a CEL expression"))))
		},
		Entry("decision of the wrong type", "request.fits", "", "not string"),
		Entry("unknown field", "request.colour == 'red' ? 'run' : 'wait'", "", "undefined field"),
		Entry("syntax error", "request.fits ?", "", "Syntax error"),
		Entry("rank of the wrong type", "'run'", "request.fits", "not double"),
	)

	It("fails if the evaluation exceeds the cost limit", func() {
		long := "[" + strings.TrimSuffix(strings.Repeat("1,", 200), ",") + "]"
		p, err := policy.Compile("p", long+".all(a, "+long+".all(b, a == b)) ? 'run' : "+long+".map(a, "+long+".map(b, a + b)).size() > 3 ? 'run' : 'wait'", "")
		Expect(err).NotTo(HaveOccurred())
		_, err = p.Decide(&policy.Input{})
		Expect(err).To(MatchError(ContainSubstring("cost")))
	})

	It("fails for an invalid verdict", func() {
		p, err := policy.Compile("p", "'maybe'", "")
		Expect(err).NotTo(HaveOccurred())
		_, err = p.Decide(&policy.Input{})
		Expect(err).To(MatchError(ContainSubstring("maybe")))
	})
})
