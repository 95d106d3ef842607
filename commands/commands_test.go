package commands_test

import (
	"bytes"
	"os"
	"path/filepath"

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

	It("explains a policy's verdict", func() {
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

	It("completes every command", func() {
		_, out := run("completion", "bash")
		for _, name := range []string{"check", "explain", "status", "replay", "version", "ready", "key"} {
			Expect(out).To(ContainSubstring("    " + name + ")"))
		}
	})

	It("exits with 2 on usage errors and with 1 on other errors", func() {
		code, _ := run("status", "localhost:1")
		Expect(code).To(Equal(2))
		code, _ = run("check", "missing.json")
		Expect(code).To(Equal(1))
		code, _ = run()
		Expect(code).To(Equal(2))
	})
})

var _ = Describe("losses", func() {
	write := func(text string) string {
		name := filepath.Join(GinkgoT().TempDir(), "box.log")
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}

	It("reports lost requests as tables and as JSON", func() {
		name := write(`{"event":"placed","request":"r-1","route":"long","endpoint":"e-1"}` + "\n")
		code, out := run("losses", name)
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("box ended during the request"))
		code, out = run("losses", "-json", name)
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring(`"count": 1`))
	})

	It("rejects a file that isn't a box's log, and a command line without files", func() {
		for _, test := range []struct {
			arguments []string
			code      int
		}{
			{[]string{"losses", write("hello\n")}, 1},
			{[]string{"losses", "no-such-file.log"}, 1},
			{[]string{"losses"}, 2},
		} {
			code, out := run(test.arguments...)
			Expect(code).To(Equal(test.code))
			Expect(out).To(BeEmpty())
		}
	})
})
