package commands_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/commands"
)

func run(arguments ...string) (int, string) {
	var out bytes.Buffer
	code := commands.Run(arguments, &out)
	return code, out.String()
}

var _ = Describe("the operators' command line", func() {
	It("checks documents", func() {
		code, out := run("check", "../examples/buscodigo/config.json", "../examples/jordan/config.json")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("version 1 can be published"))
		code, _ = run("check", "../examples/buscodigo/list.json")
		Expect(code).To(Equal(1))
	})

	It("explains a policy's answer", func() {
		code, out := run("explain", "-customer", "summaries", "-fits=false", "-ahead", "300", "../examples/buscodigo/config.json")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("verdict: refuse"))
		Expect(out).To(ContainSubstring("policy spare"))
	})

	It("replays traces", func() {
		code, out := run("replay", "../traces/buscodigo/march-stalled-completion.jsonl")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("13 of 13 stated outcomes hold"))
	})

	It("offers completion for every command", func() {
		_, out := run("completion", "bash")
		for _, name := range []string{"check", "explain", "status", "replay", "version", "ready", "key"} {
			Expect(out).To(ContainSubstring("    " + name + ")"))
		}
	})

	It("tells usage faults from others by the exit code", func() {
		code, _ := run("status", "localhost:1")
		Expect(code).To(Equal(2))
		code, _ = run("check", "missing.json")
		Expect(code).To(Equal(1))
		code, _ = run()
		Expect(code).To(Equal(2))
	})
})
