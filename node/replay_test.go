package node_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/node"
)

func recorded() []string {
	files, err := filepath.Glob("../traces/*/*.jsonl")
	Expect(err).NotTo(HaveOccurred())
	return files
}

func replay(file string, options ...core.Option) *node.Report {
	f, err := os.Open(file)
	Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	report, err := node.Replay(f, node.WithCore(options...))
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = Describe("a recorded trace", func() {
	It("gives its stated outcomes", func() {
		Expect(len(recorded())).To(BeNumerically(">=", 9))
		for _, file := range recorded() {
			report := replay(file)
			Expect(report.Mismatches).To(BeEmpty(), file)
			Expect(report.Expectations).To(BeNumerically(">", 0), file)
		}
	})

	DescribeTable("doesn't without the guard that keeps its promise",
		func(file string, guard core.Guard) {
			report := replay("../traces/"+file, core.WithoutGuard(guard))
			Expect(report.Mismatches).NotTo(BeEmpty())
		},
		Entry("stalled completion, offsets", "buscodigo/march-stalled-completion.jsonl", core.GuardOffset),
		Entry("stalled completion, crossed", "buscodigo/march-stalled-completion.jsonl", core.GuardOrigin),
		Entry("stalled explanation", "jordan/stalled-explanation.jsonl", core.GuardOffset),
		Entry("vanished summary", "buscodigo/march-vanished-summary.jsonl", core.GuardCompleteAnswer),
		Entry("lost bulk summary", "jordan/lost-bulk-summary.jsonl", core.GuardOrigin),
		Entry("double-billed summary", "buscodigo/march-double-billed-summary.jsonl", core.GuardClaimRecord),
		Entry("doubled write", "jordan/doubled-write.jsonl", core.GuardClaimFresh),
		Entry("doubled fetch", "buscodigo/april-doubled-fetch.jsonl", core.GuardClaimRestart),
		Entry("refusal into a stream", "platform/refusal-into-a-stream.jsonl", core.GuardCallPartial),
		Entry("answer lost on the platform", "platform/answer-lost.jsonl", core.GuardCallOnce),
		Entry("answer lost, told not run", "platform/answer-lost.jsonl", core.GuardCallOutcome),
		Entry("lost answer of a write", "jordan/lost-answer-of-write.jsonl", core.GuardBytesSent),
	)

	It("is refused with its line when it can't be read", func() {
		_, err := node.Replay(strings.NewReader("{\"at\":\"0s\",\"on\":\"home\",\"event\":\"Nonsense\"}\n"))
		Expect(err).To(MatchError(ContainSubstring("line 1")))
		Expect(err).To(MatchError(ContainSubstring("Nonsense")))
	})

	It("is refused when it names an aggregate that was not begun", func() {
		_, err := node.Replay(strings.NewReader("{\"at\":\"0s\",\"on\":\"home\",\"event\":\"HandoverDue\"}\n"))
		Expect(err).To(MatchError(ContainSubstring("Begun")))
	})
})
