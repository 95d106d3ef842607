package gateway_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// callWith sends requests to endpoints that give a raw answer.
func callWith(b *testbed, path, id string, answer emulator.RawAnswer) emulator.Outcome {
	for _, s := range b.deployment.Servers(emulator.PlainService) {
		s.SetRawAnswer(answer.Text, "")
	}
	return b.call(http.MethodPost, path, id, "body")
}

// Guards against passing on as an answer what isn't one in HTTP/1.1, or the end of it as the whole.
var _ = Describe("an answer with an invalid head", func() {
	DescribeTable("is a failed send",
		func(list []emulator.RawAnswer) {
			b := newTestbed()
			s := b.add("i-1", emulator.PlainService)
			var failed []string
			for n, answer := range list {
				if o := callWith(b, emulator.CallPath, fmt.Sprintf("a%02d", n), answer); o.Status != http.StatusBadGateway || o.Signature != "" {
					failed = append(failed, fmt.Sprintf("%s: status %d, signature %q, body %.40q", answer.What, o.Status, o.Signature, o.Body))
				}
			}
			Expect(failed).To(BeEmpty())
			Expect(b.log.FilterMessage("send failed").Len()).To(Equal(len(list)))
			Eventually(s.OpenConnections).Should(BeZero())
		},
		Entry("because of its status", emulator.CallParts().InvalidStatuses()),
		Entry("because of a field", emulator.CallParts().InvalidFields()),
		Entry("because of a field after a blank", emulator.CallParts().FieldsAfterBlanks()),
		Entry("because of its version or framing", emulator.CallParts().InvalidFraming()),
	)

	It("is sent to another endpoint if the request may be repeated", func() {
		for n, answer := range emulator.CallParts().InvalidStatuses() {
			b := newTestbed()
			b.add("i-1", emulator.PlainService)
			b.add("i-2", emulator.PlainService)
			Expect(callWith(b, emulator.RepeatPath, fmt.Sprintf("r%02d", n), answer).Status).To(Equal(http.StatusBadGateway), answer.What)
			for _, s := range b.deployment.Servers(emulator.PlainService) {
				Expect(s.AcceptedConnections()).NotTo(BeZero(), answer.What)
			}
		}
	})
})

// Guards against refusing answers that HTTP/1.1 allows, or lets a gateway accept.
var _ = Describe("an answer with an unusual head", func() {
	DescribeTable("is passed on",
		func(list []emulator.RawAnswer) {
			b := newTestbed()
			b.add("i-1", emulator.PlainService)
			var failed []string
			for n, answer := range list {
				if o := callWith(b, emulator.CallPath, fmt.Sprintf("v%02d", n), answer); o.Status != http.StatusOK || o.Fault != "" || !o.IsComplete {
					failed = append(failed, fmt.Sprintf("%s: status %d, complete %t, %s", answer.What, o.Status, o.IsComplete, o.Fault))
				}
			}
			Expect(failed).To(BeEmpty())
		},
		Entry("with its status line", emulator.CallParts().ValidStatuses()),
		Entry("with its fields", emulator.CallParts().ValidFields()),
		Entry("with its version and framing", emulator.CallParts().ValidFraming()),
	)
})
