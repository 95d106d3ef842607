package gateway_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against passing on as whole what an endpoint stopped within the head of its answer.
var _ = Describe("an answer that ends within its head", func() {
	DescribeTable("is a failure, wherever it ends",
		func(service, path, head string) {
			b := newTestbed()
			s := b.add("i-1", service)
			for length := range len(head) {
				s.SetRawAnswer(head[:length], "")
				id := fmt.Sprintf("a%d", length)
				o := b.call(http.MethodPost, path, id, "body")
				Expect(o.Status).To(Equal(http.StatusBadGateway), "after %q", head[:length])
			}
		},
		Entry("of a call", emulator.PlainService, emulator.CallPath, emulator.SuccessHead+"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n"),
		Entry("of a call in chunks", emulator.PlainService, emulator.CallPath, emulator.SuccessHead+"Transfer-Encoding: chunked\r\n\r\n"),
		Entry("of a call whose lines end without carriage returns", emulator.PlainService, emulator.CallPath, strings.ReplaceAll(emulator.SuccessHead, "\r", "")+"Content-Length: 5\n\n"),
		Entry("of a stream", emulator.ModelService, emulator.StreamPath, streamHead+"Transfer-Encoding: chunked\r\n\r\n"),
	)
})
