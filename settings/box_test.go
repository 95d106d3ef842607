package settings_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/settings"
)

func parseExample(change func(string) string) (*settings.Box, error) {
	text, err := os.ReadFile("../examples/buscodigo/box-1.json")
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "box.json")
	Expect(os.WriteFile(file, []byte(change(string(text))), 0o600)).To(Succeed())
	return settings.Parse("test", []string{"-settings", file})
}

func replaceText(old, changed string) func(string) string {
	return func(text string) string { return strings.Replace(text, old, changed, 1) }
}

var _ = Describe("a box's settings", func() {
	It("are read from the example", func() {
		b, err := parseExample(func(text string) string { return text })
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Name).To(Equal("box-1"))
		Expect(b.Zone).To(Equal("mty-a"))
		Expect(b.Entry.Port()).To(BeEquivalentTo(7101))
	})

	DescribeTable("are rejected with the setting and the remedy",
		func(old, changed, setting, remedy string) {
			_, err := parseExample(replaceText(old, changed))
			Expect(err).To(MatchError(And(ContainSubstring(setting), ContainSubstring(remedy))))
		},
		Entry("no zone", `"zone": "mty-a",`, ``, "zone", "availability zone"),
		Entry("short secret", `example-fleet-secret-change-me`, `short`, "secret", "random text"),
		Entry("host name", `127.0.0.1:7101`, `localhost:7101`, "entry", "IP address"),
		Entry("unknown setting", `"zone"`, `"zonne"`, "zonne", "flag"),
		Entry("lease time", `"zone"`, `"lease-every": "5s", "zone"`, "lease-every", "50ms to 1s"),
	)
})
